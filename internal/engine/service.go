package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// pieceBytes bounds one chunk of a plain result.
const pieceBytes = 64 << 10

// pieces holds buffers for the reading of results.
var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// Service is an encoder, retriever, reranker or plain service. Its calls are
// sent once and never repeated.
type Service struct {
	base   string
	client *http.Client
}

// NewService returns a client of the service at a base URL.
func NewService(base string) *Service { return &Service{base: base, client: newClient()} }

// Run sends the call. When the connection is lost the outcome is unknown.
func (s *Service) Run(ctx context.Context, c Call, emit Emit) Outcome {
	g := &gate{begin: c.Begin}
	req, err := http.NewRequestWithContext(withGate(ctx, g), http.MethodPost, s.base+"/v1/calls/"+url.PathEscape(c.Name), bytes.NewReader(c.Input))
	if err != nil {
		return Outcome{Code: result.Internal, Message: err.Error(), Ran: result.RanNo}
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	req.Header.Set("Request-Id", c.ID)
	resp, err := s.client.Do(req)
	if err != nil {
		return lost(ctx, g, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusedOrFailed(resp)
	}
	return copyBody(ctx, resp.Body, emit)
}

// Cancel does nothing: a plain service cannot stop a call.
func (s *Service) Cancel(context.Context, string) error { return nil }

// lost is the outcome of a call without an answer.
func lost(ctx context.Context, g *gate, err error) Outcome {
	sent, code := g.passed()
	if code != result.OK {
		return Outcome{Code: code, Ran: result.RanNo}
	}
	ran := result.RanNo
	if sent {
		ran = result.RanUnknown
	}
	if ctx.Err() != nil {
		return ended(ctx, ran)
	}
	return Outcome{Code: result.ServerFailed, Message: err.Error(), Ran: ran}
}

// copyBody hands the body on in pieces. A body that is cut gives an error, since
// its length or its last part is missing.
func copyBody(ctx context.Context, body io.Reader, emit Emit) Outcome {
	buf := pieces.Get().(*[pieceBytes]byte)
	defer pieces.Put(buf)
	piece := buf[:]
	for {
		n, err := fill(body, piece)
		if n > 0 {
			if code := emit(Chunk{Data: bytes.Clone(piece[:n])}); code != result.OK {
				return Outcome{Code: code, Ran: result.RanYes}
			}
		}
		switch {
		case err == io.EOF:
			return ok()
		case err != nil && ctx.Err() != nil:
			return ended(ctx, result.RanYes)
		case err != nil:
			return Outcome{Code: result.ServerFailed, Message: "the result was cut: " + err.Error(), Ran: result.RanYes}
		}
	}
}

// fill reads until the buffer is full or the reader gives an error.
func fill(r io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var m int
		m, err = r.Read(buf[n:])
		n += m
	}
	return n, err
}
