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

	"github.com/magnoliawheel/magnoliawheel/internal/bounded"
	"github.com/magnoliawheel/magnoliawheel/internal/httpcheck"
)

// Limits of requests to the platform.
const (
	// requestTimeout bounds a request, not counting the time a read waits for records.
	requestTimeout = 5 * time.Second
	// MaxResponseBytes bounds the body of a response.
	MaxResponseBytes = 64 << 20
	// maxIdleConns bounds the idle connections to one service.
	maxIdleConns = 4
	// idleConnTimeout is the time after which an idle connection is closed.
	idleConnTimeout = 30 * time.Second
)

// Traffic counts the requests and bytes of the clients that share it.
type Traffic struct {
	// Requests counts requests; SentBytes and ReceivedBytes count bytes on the
	// connections.
	Requests, SentBytes, ReceivedBytes atomic.Uint64
}

// ClientOption configures a client of the platform.
type ClientOption func(*http.Client)

// WithTraffic makes a client count its requests and bytes in t.
func WithTraffic(t *Traffic) ClientOption {
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
	c.traffic.ReceivedBytes.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.SentBytes.Add(uint64(n))
	return n, err
}

func newClient(opts []ClientOption) *http.Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	c := &http.Client{Transport: transport}
	for _, o := range opts {
		o(c)
	}
	httpcheck.CheckConnections(transport)
	c.Transport = httpcheck.Responses(c.Transport)
	return c
}

// withTimeout bounds a request that the server may hold for up to wait.
func withTimeout(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, requestTimeout+wait)
}

// readJSON reads a response body of at most MaxResponseBytes to its end and decodes it.
func readJSON(body io.Reader, v any) error {
	data, err := bounded.ReadAll(body, MaxResponseBytes)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	return errors.Wrap(json.Unmarshal(data, v), "decode response")
}

// closeBody closes a body after reading the rest of a short one, so that the connection
// can be reused.
func closeBody(body io.ReadCloser) {
	const maxDrainBytes = 4 << 10
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}
