package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of calls to the platform.
const (
	// requestTimeout bounds a call, without the time a read waits for records.
	requestTimeout = 5 * time.Second
	// MaxBatchBytes bounds the body of one answer.
	MaxBatchBytes = 64 << 20
	// maxIdleConns bounds the unused connections to one service.
	maxIdleConns = 4
	// idleConnTimeout closes unused connections.
	idleConnTimeout = 30 * time.Second
)

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		// A connection that went silent is not noticed by the transport; the
		// timeout of each call closes it, and the next call opens a new one.
		ForceAttemptHTTP2: false,
	}}
}

// withTimeout bounds a call that may wait for up to wait at the server.
func withTimeout(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, requestTimeout+wait)
}

// readJSON decodes the body of a response of bounded size.
func readJSON(body io.Reader, v any) error {
	dec := json.NewDecoder(io.LimitReader(body, MaxBatchBytes))
	return errors.Wrap(dec.Decode(v), "decode answer")
}

// closeBody reads what is left of a short body, so that the connection is kept.
func closeBody(body io.ReadCloser) {
	const rest = 4 << 10
	_, _ = io.CopyN(io.Discard, body, rest)
	_ = body.Close()
}
