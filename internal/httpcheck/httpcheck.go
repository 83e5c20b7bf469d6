// Package httpcheck makes clients of net/http refuse what responsescan finds to be no HTTP/1
// response, which net/http itself accepts.
package httpcheck

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/responsescan"
)

// maxHeadBytes bounds the heads of a response, unless the transport has a limit of its own.
const maxHeadBytes = 64 << 10

// Transport makes t check the bytes of responses, and returns what clients use in its place. It must
// be called before t is used.
func Transport(t *http.Transport) http.RoundTripper {
	CheckConnections(t)
	return Responses(t)
}

// CheckConnections makes the connections that t opens check the responses to requests that are made
// through Responses, and bounds their heads. Connections with TLS are not checked.
func CheckConnections(t *http.Transport) {
	if t.MaxResponseHeaderBytes == 0 {
		t.MaxResponseHeaderBytes = maxHeadBytes
	}
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// conn checks the bytes that it reads.
type conn struct {
	net.Conn

	mu      sync.Mutex
	scanner responsescan.Scanner
}

// beginResponse makes the next byte the first one of a response. A transport reads ahead, so it must
// be called before the request is written.
func (c *conn) beginResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.Begin()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if scanErr := c.scanner.Scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

// Responses returns a transport that makes the requests of next. It refuses responses whose status,
// or whose names of fields, show after parsing that they are none. Where next does not check its
// connections, that is all there is to see.
func Responses(next http.RoundTripper) http.RoundTripper { return &transport{next} }

type transport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.beginResponse()
		}
	}})
	resp, err := t.next.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err = checkHead(resp); err != nil {
		_ = resp.Body.Close()
		return nil, errors.Wrap(err, "read response head")
	}
	resp.Body = &body{resp.Body, resp}
	return resp, nil
}

// CloseIdleConnections closes the connections of next that are not in use.
func (t *transport) CloseIdleConnections() {
	if closer, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

func checkHead(resp *http.Response) error {
	if err := responsescan.CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	return checkNames(resp.Header)
}

func checkNames(h http.Header) error {
	for name := range h {
		if err := responsescan.CheckName(name); err != nil {
			return err
		}
	}
	return nil
}

// body is a body that ends with an error if the names of the trailer are malformed.
type body struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if trailerErr := checkNames(b.resp.Trailer); trailerErr != nil {
			return n, errors.Wrap(trailerErr, "read trailer")
		}
	}
	return n, err
}
