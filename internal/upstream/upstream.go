// Package upstream carries one request to one server over HTTP/1.1 and tells
// whether the server may have got it. It never sends a request twice.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Do.
var (
	// ErrNotSent means that the server can't have got the request.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrBroken means that the server may have got the request and gave no whole answer.
	ErrBroken = errors.New("upstream: no answer")
)

const (
	// firstDial and secondDial bound the two tries to connect. The first one is
	// short, since a lost opening packet is sent again only after a second.
	firstDial  = 350 * time.Millisecond
	secondDial = 650 * time.Millisecond
	// maxIdle is how long an unused connection is kept.
	maxIdle = 3 * time.Second
	// idlePerAddress bounds the unused connections to one server.
	idlePerAddress = 3
	// maxStrayAnswers bounds the answers to other requests that are passed over.
	maxStrayAnswers = 3
	// maxStrayBytes bounds the body of such an answer.
	maxStrayBytes = 1 << 20
	bufferBytes   = 4 << 10
)

// Request is a request to one server.
type Request struct {
	Address string
	Method  string
	// Target is the path with the query, as it goes on the wire.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Reuse allows a connection that was used before. The server may close such
	// a connection while the request is on its way.
	Reuse bool
	// Matches tells whether an answer belongs to the request; nil takes any.
	Matches func(http.Header) bool
}

// Response is an answer. Its body must be closed.
type Response struct {
	*http.Response
}

// Client keeps connections to servers. It is safe for concurrent use.
type Client struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns a client without connections.
func New() *Client { return &Client{idle: map[string][]*conn{}} }

type conn struct {
	net.Conn
	r     *bufio.Reader
	since time.Time
}

// Do sends the request and returns the head of the answer. When ctx ends the
// connection is closed, also while the body is read.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, error) {
	cn, err := c.conn(ctx, req)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	resp, err := exchange(cn, req)
	if err != nil {
		stop()
		_ = cn.Close()
		if ctx.Err() != nil {
			err = errors.WithSecondaryError(ctx.Err(), err)
		}
		return nil, errors.Mark(err, ErrBroken)
	}
	resp.Body = &body{ReadCloser: resp.Body, client: c, conn: cn, address: req.Address, stop: stop, keep: req.Reuse && !resp.Close}
	return &Response{resp}, nil
}

func (c *Client) conn(ctx context.Context, req *Request) (*conn, error) {
	if req.Reuse {
		if cn := c.take(req.Address); cn != nil {
			return cn, nil
		}
	}
	raw, err := dial(ctx, req.Address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, r: bufio.NewReaderSize(raw, bufferBytes)}, nil
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: firstDial, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", address)
	var timeout net.Error
	if err != nil && ctx.Err() == nil && errors.As(err, &timeout) && timeout.Timeout() {
		d.Timeout = secondDial
		raw, err = d.DialContext(ctx, "tcp", address)
	}
	return raw, errors.Wrap(err, "connect")
}

// take returns an unused connection on which nothing has arrived, or nil.
func (c *Client) take(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for len(list) > 0 {
		cn := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[address] = list
		if time.Since(cn.since) < maxIdle && cn.r.Buffered() == 0 {
			return cn
		}
		_ = cn.Close()
	}
	delete(c.idle, address)
	return nil
}

func (c *Client) put(address string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= idlePerAddress {
		_ = cn.Close()
		return
	}
	cn.since = time.Now()
	c.idle[address] = append(c.idle[address], cn)
}

// exchange writes the request and reads the head of its answer.
func exchange(cn *conn, req *Request) (*http.Response, error) {
	if _, err := cn.Write(encode(req)); err != nil {
		return nil, errors.Wrap(err, "write")
	}
	for range maxStrayAnswers {
		resp, err := http.ReadResponse(cn.r, &http.Request{Method: req.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read head")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if req.Matches == nil || req.Matches(resp.Header) {
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
		if err != nil || n == maxStrayBytes || resp.Close {
			return nil, errors.New("answer to another request")
		}
	}
	return nil, errors.New("answers to other requests")
}

func encode(req *Request) []byte {
	var b bytes.Buffer
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.Write(&b)
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(req.Body)
	return b.Bytes()
}

// body returns the connection once the body was read to its end, and closes it otherwise.
type body struct {
	io.ReadCloser
	client  *Client
	conn    *conn
	address string
	stop    func() bool
	keep    bool
	whole   bool
	closed  bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if stopped := b.stop(); stopped && b.whole && b.keep && b.conn.r.Buffered() == 0 {
		b.client.put(b.address, b.conn)
		return nil
	}
	return b.conn.Close()
}
