package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/readbuffer"
)

const (
	// chunkBytes is the unit in which a stream's buffer grows: a few dozen events of the
	// usual size.
	chunkBytes = 4 << 10
	// clientStallTimeout ends a connection whose client accepts nothing at all. A client that
	// reads one byte per second makes room in its receive window only once in many minutes.
	clientStallTimeout = 15 * time.Minute
	// lastDeliveryTimeout is how long the data before the end of a stream that is broken off
	// may take to the client.
	lastDeliveryTimeout = 10 * time.Second
)

// Reasons for which an outbox ends before it is empty.
var (
	errOutboxClosed    = errors.New("stream ended before its client read it")
	errDeliveryTimeout = errors.New("client read too slowly before the end of a stream that is broken off")
	errProcessEnds     = errors.New("process ends before the client has the whole response")
)

// chunk is a part of a buffer; data[start:end] waits for the client. counted is set if it counts
// in the memory for the buffers of all streams.
type chunk struct {
	data       [chunkBytes]byte
	start, end int
	counted    bool
}

var chunks = sync.Pool{New: func() any { return new(chunk) }}

// outbox is the buffer between the response of a server and a client. One goroutine appends
// to it; another, which it starts, writes to the client, so that a slow client does not slow
// down the reading from the server.
type outbox struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	reader     *bufferedReader
	// onFail is called when the outbox fails.
	onFail func(error)
	// dataReady wakes the writer, spaceFree the goroutine that appends. done is closed when
	// the writer has ended.
	dataReady, spaceFree, done chan struct{}
	started                    bool

	mu    sync.Mutex
	queue []*chunk
	// counted is the number of chunks in queue that are counted.
	counted int
	// maxQueue is the largest length of queue so far.
	maxQueue int
	// complete is set once no more data follows.
	complete bool
	// closed is set once the outbox no longer uses the response.
	closed bool
	err    error
}

func newOutbox(w http.ResponseWriter, buffers *readBuffers, log logr.Logger, onFail func(error)) *outbox {
	o := &outbox{
		w: w, controller: http.NewResponseController(w), onFail: onFail,
		dataReady: make(chan struct{}, 1), spaceFree: make(chan struct{}, 1), done: make(chan struct{}),
	}
	o.reader = buffers.join(log, nil, o.fail)
	return o
}

// append adds a copy of p. If the stream has reached its own bound, it waits until the client
// has taken something, and returns the time waited. The head of the response must have been
// written.
func (o *outbox) append(ctx context.Context, p []byte) (paused time.Duration, err error) {
	if !o.started {
		o.started = true
		go o.writeAll()
	}
	for {
		p = p[o.fill(p):]
		wake(o.dataReady)
		if len(p) == 0 {
			return paused, o.failure()
		}
		switch verdict, counted := o.reserve(); verdict {
		case readbuffer.Granted:
			o.grow(counted)
		case readbuffer.Pause:
			o.reader.buffers.paused.Inc(1)
			paused += sleepUntil(ctx, o.spaceFree)
		case readbuffer.Ended:
			return paused, errors.Mark(errSlowReader, errClientConnection)
		}
		if err := o.failure(); err != nil {
			return paused, err
		}
		if ctx.Err() != nil {
			return paused, context.Cause(ctx)
		}
	}
}

// reserve reserves memory for a chunk. The first one is part of the fixed memory of a stream, as
// the buffers of its connections are, so that a stream whose client reads well needs none of
// the memory that all share, and no lock that others hold.
func (o *outbox) reserve() (verdict readbuffer.Verdict, counted bool) {
	o.mu.Lock()
	empty := len(o.queue) == 0
	o.mu.Unlock()
	if empty {
		return readbuffer.Granted, false
	}
	return o.reader.reserve(chunkBytes), true
}

// fill copies as much of p as the last chunk has space for, and returns the number of bytes.
func (o *outbox) fill(p []byte) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) == 0 {
		return 0
	}
	last := o.queue[len(o.queue)-1]
	n := copy(last.data[last.end:], p)
	last.end += n
	return n
}

// grow adds an empty chunk, for which memory was reserved.
func (o *outbox) grow(counted bool) {
	c := chunks.Get().(*chunk)
	c.start, c.end, c.counted = 0, 0, counted
	o.mu.Lock()
	defer o.mu.Unlock()
	if counted {
		o.counted++
	}
	o.queue = append(o.queue, c)
	o.maxQueue = max(o.maxQueue, len(o.queue))
}

// writeAll writes to the client until the outbox is complete and empty, or fails.
func (o *outbox) writeAll() {
	defer close(o.done)
	for {
		p, more := o.next()
		if !more {
			return
		}
		if len(p) == 0 {
			<-o.dataReady
			continue
		}
		n, err := o.w.Write(p)
		if flush := o.advance(n); flush && err == nil {
			err = o.controller.Flush()
		}
		if err != nil {
			o.fail(errors.Wrap(err, "write to the client failed"))
		}
	}
}

// next returns the bytes to be written next, and whether more may follow. A write that
// has begun ends when the outbox fails.
func (o *outbox) next() (p []byte, more bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return nil, false
	}
	if o.emptyLocked() {
		return nil, !o.complete
	}
	_ = o.controller.SetWriteDeadline(time.Now().Add(clientStallTimeout))
	first := o.queue[0]
	return first.data[first.start:first.end], true
}

// advance removes n written bytes and reports whether nothing is left.
func (o *outbox) advance(n int) bool {
	o.mu.Lock()
	behind, freed := o.counted > 0, 0
	first := o.queue[0]
	first.start += n
	if first.start == first.end && (first.end == chunkBytes || len(o.queue) == 1) {
		o.queue[0] = nil
		o.queue = o.queue[1:]
		if first.counted {
			o.counted--
			freed = chunkBytes
		}
		chunks.Put(first)
	}
	empty := o.emptyLocked()
	o.mu.Unlock()
	if behind {
		o.reader.written(n, freed)
		wake(o.spaceFree)
	}
	return empty
}

// emptyLocked reports whether no bytes wait. The caller must hold o.mu.
func (o *outbox) emptyLocked() bool {
	return len(o.queue) == 0 || len(o.queue) == 1 && o.queue[0].start == o.queue[0].end
}

// finish marks the data as complete and waits until the client has all of it, or until
// interrupt is closed, for which it then fails with the given error.
func (o *outbox) finish(interrupt <-chan struct{}, reason error) error {
	if !o.started {
		return o.failure()
	}
	o.mu.Lock()
	o.complete = true
	o.mu.Unlock()
	wake(o.dataReady)
	select {
	case <-o.done:
	case <-interrupt:
		o.fail(reason)
		<-o.done
	}
	return o.failure()
}

// fail ends the outbox and the write that is under way.
func (o *outbox) fail(err error) {
	o.mu.Lock()
	first := o.err == nil && !o.closed
	if first {
		o.err = errors.Mark(err, errClientConnection)
		// The deadline stays in the past, so that nothing waits for this client again.
		_ = o.controller.SetWriteDeadline(time.Unix(1, 0))
	}
	err = o.err
	o.mu.Unlock()
	if !first {
		return
	}
	o.onFail(err)
	wake(o.dataReady)
	wake(o.spaceFree)
}

func (o *outbox) failure() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}

// maxHeld returns the largest number of bytes that were held for the client.
func (o *outbox) maxHeld() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.maxQueue * chunkBytes
}

// close ends the writer, unless it has written everything, and frees the buffer. The
// response may be used by the caller again afterwards.
func (o *outbox) close() {
	if o.started {
		select {
		case <-o.done:
		default:
			o.fail(errOutboxClosed)
			<-o.done
		}
	}
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.reader.leave()
}

// wake sends to a channel with space for one signal.
func wake(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
