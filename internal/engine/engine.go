// Package engine implements the clients of the backend servers: model engines, which
// stream their results, and services, which send one response.
package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/httpcheck"
)

// Limits of the connections to a server. Each call opens its own connection: a
// connection that was kept open may be dead without notice, and a call that must not
// be sent twice would be lost on it.
const (
	// DialTimeout is the timeout for establishing a connection.
	DialTimeout = time.Second
	// SilenceTimeout is the time without data after which the connection of a stream
	// is presumed lost.
	SilenceTimeout = 750 * time.Millisecond
)

// notRunHeader is set to "true" in the response of a server that did not execute the
// call.
const notRunHeader = "Not-Run"

// Call is one attempt at a server.
type Call struct {
	// ID identifies the attempt to the server.
	ID string
	// Name is the name of the call at the server. It is used only for services.
	Name  string
	Input []byte
	// Model, Prefix, MaxTokens and Priority are used only for model engines.
	Model     string
	Prefix    uint64
	MaxTokens uint32
	Priority  int32
	// BeforeSend is called at most once, immediately before the first byte is sent to
	// the server. If it returns a code other than OK, nothing is sent and the call ends
	// with that code.
	BeforeSend func() result.Code
}

// Chunk is one part of a result.
type Chunk struct {
	Data   []byte
	Tokens uint32
}

// Emit receives the next chunk of a result. If it returns a code other than OK, the
// call ends with that code.
type Emit func(Chunk) result.Code

// Outcome is the result of a call or an order. Ran tells whether the server executed
// it.
type Outcome struct {
	Code    result.Code
	Message string
	Ran     result.Ran
}

// Server is a client of one backend server.
type Server interface {
	// Run sends a call to the server and emits the result until the call or ctx ends.
	Run(ctx context.Context, c Call, emit Emit) Outcome
	// Cancel asks the server to stop the call with that id.
	Cancel(ctx context.Context, id string) error
}

func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: httpcheck.Transport(&http.Transport{
			DialContext:        dialGated,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func successOutcome() Outcome { return Outcome{Code: result.OK, Ran: result.RanYes} }

// contextOutcome is the outcome of a call whose context ended.
func contextOutcome(ctx context.Context, ran result.Ran) Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Outcome{Code: result.DeadlineExceeded, Message: "the time budget was exhausted before the server finished the call", Ran: ran}
	}
	return Outcome{Code: result.Cancelled, Message: "the attempt was cancelled", Ran: ran}
}

// errorStatusOutcome is the outcome of a call that was answered with an error status.
func errorStatusOutcome(resp *http.Response) Outcome {
	o := Outcome{Code: result.ServerFailed, Message: "the server responded with status " + resp.Status, Ran: result.RanUnknown}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(notRunHeader) == "true" {
		o.Ran = result.RanNo
	}
	return o
}
