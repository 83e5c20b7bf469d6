package gateway

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/bounded"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
)

// trackedBodyBytes is the size of a request body from which the rate of its server is measured.
// A smaller one is written at once, into the buffers of the connection.
const trackedBodyBytes = 64 << 10

// readRequestBody reads the body of a request. It counts in the memory for request bodies until
// releaseBody is called or the request ends.
func (g *Gateway) readRequestBody(w http.ResponseWriter, hr *http.Request, req *request, limit int64) error {
	if hr.ContentLength == 0 {
		return nil
	}
	body, release, err := g.uploads.Read(w, hr, req.log, limit)
	if err != nil {
		return err
	}
	req.body, req.release = body, release
	req.onEnd = append(req.onEnd, release)
	return nil
}

// refuseForMemory refuses a request for whose body there is no memory. The rest of the body is
// not read.
func refuseForMemory() *refusal {
	return &refusal{code: result.Overloaded, retryAfter: busyRetryAfter, cause: "memory for request bodies is exhausted", closeConnection: true}
}

// releaseBody gives the memory of the body back once no server needs it any more.
func (r *request) releaseBody() {
	r.body = nil
	if r.release != nil {
		r.release()
	}
}

// abandon gives the memory of the body back while it is sent; the request is not sent again. It
// may be called from any goroutine.
func (r *request) abandon() {
	r.abandoned.Store(true)
	r.release()
}

// sendTo sends a request to a server. If the memory for request bodies is exhausted, the server
// that reads a large body most slowly relative to its size loses the request.
func (g *Gateway) sendTo(ctx context.Context, req *request, srv placement.Server, inputs []string, priority int) (*upstream.Response, error) {
	encoded := g.encodeRequest(req, srv, inputs, priority)
	if len(req.body) < trackedBodyBytes {
		return g.Upstream.Do(ctx, encoded)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	req.onEnd = append(req.onEnd, func() { cancel(nil) })
	reader := g.requests.join(req.log, req.abandon, cancel)
	defer reader.leave()
	reader.resize(len(req.body))
	encoded.OnBodyWritten = func(n int) { reader.written(n, n) }
	resp, err := g.Upstream.Do(ctx, encoded)
	if err != nil && errors.Is(context.Cause(ctx), errSlowReader) {
		err = errors.Wrap(err, "request "+errSlowReader.Error())
	}
	return resp, err
}

// isBudgetSpent reports whether there was no memory for a body.
func isBudgetSpent(err error) bool { return errors.Is(err, bounded.ErrBudgetSpent) }
