// Package engine holds the clients of the backend servers: model engines, which
// stream, and plain services, which answer once.
package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Limits of the connections to a server. Each call opens its own connection: one
// that was kept open may have gone silent, and then a call that must not be
// repeated would be lost on it.
const (
	// DialTimeout bounds connecting.
	DialTimeout = time.Second
	// SilenceTimeout is how long a stream of an engine may be silent before its
	// connection is presumed lost.
	SilenceTimeout = 750 * time.Millisecond
	// maxHeaderBytes bounds the headers of an answer.
	maxHeaderBytes = 64 << 10
)

// notRunHeader is set to "true" by a server that did not run a call.
const notRunHeader = "Not-Run"

// Call is one attempt to hand to a server.
type Call struct {
	// ID names the attempt towards the server.
	ID string
	// Name is the name of the call at the server.
	Name  string
	Input []byte
	// Model, Prefix, MaxTokens and Priority are only for engines.
	Model     string
	Prefix    uint64
	MaxTokens uint32
	Priority  int32
	// Begin is called immediately before the first byte is sent to the server, once
	// at most. With another code than OK nothing is sent and the call ends with it.
	Begin func() result.Code
}

// Chunk is a part of a result.
type Chunk struct {
	Data   []byte
	Tokens uint32
}

// Emit takes the next part of a result. With another code than OK the call ends
// with that code.
type Emit func(Chunk) result.Code

// Outcome is how a call ended.
type Outcome struct {
	Code    result.Code
	Message string
	Ran     result.Ran
}

// Server is a backend server.
type Server interface {
	// Run calls the server until the call ends or ctx does.
	Run(ctx context.Context, c Call, emit Emit) Outcome
	// Cancel asks the server to stop a call.
	Cancel(ctx context.Context, id string) error
}

func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func ok() Outcome { return Outcome{Code: result.OK, Ran: result.RanYes} }

// ended is the outcome of a call whose context ended.
func ended(ctx context.Context, ran result.Ran) Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Outcome{Code: result.DeadlineExceeded, Message: "the budget ran out at the server", Ran: ran}
	}
	return Outcome{Code: result.Cancelled, Message: "the attempt was cancelled", Ran: ran}
}

// refusedOrFailed is the outcome of an answer whose status is an error.
func refusedOrFailed(resp *http.Response) Outcome {
	o := Outcome{Code: result.ServerFailed, Message: "the server answered " + resp.Status, Ran: result.RanUnknown}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(notRunHeader) == "true" {
		o.Ran = result.RanNo
	}
	return o
}
