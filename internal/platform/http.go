package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
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

// Traffic counts what the clients that it is given to send and receive.
type Traffic struct {
	// Requests counts calls; Sent and Received count bytes on the connections.
	Requests, Sent, Received atomic.Uint64
}

// Option sets up a client of the platform.
type Option func(*http.Client)

// WithTraffic counts the traffic of the client.
func WithTraffic(t *Traffic) Option {
	return func(c *http.Client) {
		transport := c.Transport.(*http.Transport)
		transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn, traffic: t}, nil
		}
		c.Transport = &countingTransport{next: transport, traffic: t}
	}
}

type countingTransport struct {
	next    http.RoundTripper
	traffic *Traffic
}

// RoundTrip implements http.RoundTripper.
func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.traffic.Requests.Add(1)
	return c.next.RoundTrip(r)
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(uint64(n))
	return n, err
}

func newClient(opts []Option) *http.Client {
	c := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}}
	for _, o := range opts {
		o(c)
	}
	return c
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
