package gateway

import (
	"net/http"
	"sync"
	"time"
)

// deliveryPartBytes is the size of the parts in which a whole response is written; the rate of
// its client is measured after each of them.
const deliveryPartBytes = 64 << 10

// delivery writes a response that is held as a whole. It may fail from another goroutine while a
// write is under way.
type delivery struct {
	w          http.ResponseWriter
	controller *http.ResponseController

	mu sync.Mutex
	// closed is set once the delivery no longer uses the response.
	closed bool
	err    error
}

func newDelivery(w http.ResponseWriter) *delivery {
	return &delivery{w: w, controller: http.NewResponseController(w)}
}

// write writes body. After each part it calls written with the size of the part.
func (d *delivery) write(body []byte, written func(n int)) error {
	for len(body) > 0 {
		if err := d.beginPart(); err != nil {
			return err
		}
		part := body[:min(len(body), deliveryPartBytes)]
		n, err := d.w.Write(part)
		written(n)
		if err != nil {
			return d.reason(err)
		}
		body = body[len(part):]
	}
	return nil
}

// beginPart extends the time in which the client must accept something.
func (d *delivery) beginPart() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err == nil {
		_ = d.controller.SetWriteDeadline(time.Now().Add(clientStallTimeout))
	}
	return d.err
}

// fail ends the delivery and the write that is under way.
func (d *delivery) fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.err != nil {
		return
	}
	d.err = err
	_ = d.controller.SetWriteDeadline(time.Unix(1, 0))
}

// reason returns why the delivery has failed, which may be other than the error of the write.
func (d *delivery) reason(err error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return d.err
	}
	return err
}

// close makes the delivery not use the response any more.
func (d *delivery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
}
