package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
)

// chunkBytes is the maximum size of a chunk of a service's result.
const chunkBytes = 64 << 10

// chunkBuffers holds buffers for reading results.
var chunkBuffers = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// ServiceClient is a client of an encoder, retriever, reranker or other service. A call
// is sent once and never repeated.
type ServiceClient struct {
	baseURL    string
	httpClient *http.Client
}

// NewServiceClient returns a client of the service at the base URL.
func NewServiceClient(baseURL string) *ServiceClient {
	return &ServiceClient{baseURL: baseURL, httpClient: newHTTPClient()}
}

// Run sends the call and emits the response body. If the connection is lost before the
// response, it is unknown whether the service executed the call.
func (s *ServiceClient) Run(ctx context.Context, c Call, emit Emit) Outcome {
	g := &sendGate{beforeSend: c.BeforeSend}
	req, err := http.NewRequestWithContext(withSendGate(ctx, g), http.MethodPost, s.baseURL+"/v1/calls/"+url.PathEscape(c.Name), bytes.NewReader(c.Input))
	if err != nil {
		return Outcome{Code: result.Internal, Message: err.Error(), Ran: result.RanNo}
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	req.Header.Set("Request-Id", c.ID)
	resp, err := s.httpClient.Do(req)
	if err != nil {
		return requestErrorOutcome(ctx, g, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errorStatusOutcome(resp)
	}
	if (&upstream.Response{Response: resp}).Framing() == upstream.UntilClose {
		return Outcome{Code: result.ServerFailed, Message: "the result has neither a length nor chunks, so that its end cannot be told from a lost connection", Ran: result.RanYes}
	}
	return copyBody(ctx, resp.Body, emit)
}

// Cancel does nothing, because a service cannot stop a call.
func (s *ServiceClient) Cancel(context.Context, string) error { return nil }

// requestErrorOutcome is the outcome of a request that failed with err before there was
// a whole response that it could go by.
func requestErrorOutcome(ctx context.Context, g *sendGate, err error) Outcome {
	sent, code := g.status()
	if code != result.OK {
		return Outcome{Code: code, Ran: result.RanNo}
	}
	ran := result.RanNo
	if sent {
		ran = result.RanUnknown
	}
	if ctx.Err() != nil {
		return contextOutcome(ctx, ran)
	}
	return Outcome{Code: result.ServerFailed, Message: err.Error(), Ran: ran}
}

// copyBody emits the body in chunks. Reading a truncated body returns an error, since
// it is shorter than its Content-Length or lacks the last part of the chunked encoding.
func copyBody(ctx context.Context, body io.Reader, emit Emit) Outcome {
	buf := chunkBuffers.Get().(*[chunkBytes]byte)
	defer chunkBuffers.Put(buf)
	chunk := buf[:]
	for {
		n, err := readFull(body, chunk)
		if n > 0 {
			if code := emit(Chunk{Data: bytes.Clone(chunk[:n])}); code != result.OK {
				return Outcome{Code: code, Ran: result.RanYes}
			}
		}
		switch {
		case err == io.EOF:
			return successOutcome()
		case err != nil && ctx.Err() != nil:
			return contextOutcome(ctx, result.RanYes)
		case err != nil:
			return Outcome{Code: result.ServerFailed, Message: "the result was truncated: " + err.Error(), Ran: result.RanYes}
		}
	}
}

// readFull reads until the buffer is full or the reader returns an error.
func readFull(r io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var m int
		m, err = r.Read(buf[n:])
		n += m
	}
	return n, err
}
