// Package upstream sends one request to one server over HTTP/1.1 and reports whether
// the server may have received it. It never sends a request twice.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Errors returned by Do.
var (
	// ErrNotSent means that the server can't have received the request.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrNoResponse means that the server may have received the request, but sent no
	// valid response head.
	ErrNoResponse = errors.New("upstream: no response")
)

const (
	// firstDialTimeout and secondDialTimeout bound the two attempts to connect. The
	// first one is short, since TCP retransmits a lost SYN only after a second.
	firstDialTimeout  = 350 * time.Millisecond
	secondDialTimeout = 650 * time.Millisecond
	// maxIdleTime is how long an idle connection is kept.
	maxIdleTime = 3 * time.Second
	// maxIdlePerAddress bounds the idle connections to one server.
	maxIdlePerAddress = 3
	// maxStrayResponses bounds the responses to other requests that are skipped.
	maxStrayResponses = 3
	// maxStrayBytes bounds the body of a skipped response.
	maxStrayBytes   = 1 << 20
	readBufferBytes = 4 << 10
	// maxDigests bounds the responses of a connection that are compared with the next one.
	maxDigests = 8
	// bodyPartBytes is the size of the parts in which the body of a request is written.
	bodyPartBytes = 64 << 10
)

// Request is a request to one server.
type Request struct {
	Address string
	Method  string
	// Target is the path with the query, as sent in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// OnBodyWritten, if set, is called with the size of each part of the body that was written.
	OnBodyWritten func(n int)
	// ReuseConnection allows an idle connection. The server may close it while the
	// request is being sent.
	ReuseConnection bool
	// Matches reports whether a response belongs to the request; nil accepts any.
	Matches func(http.Header) bool
}

// Response is the response of a server. Its body must be closed.
type Response struct {
	*http.Response
	body *responseBody
}

// Repeats reports whether an earlier response on the same connection had the same body. It is
// valid once the body was read to its end. A server may send a second copy of a response where
// the next one is expected; without an ID in responses that must differ, only this shows it.
func (r *Response) Repeats() bool { return r.body.repeats }

// Discard makes the connection not be used again.
func (r *Response) Discard() { r.body.reusable = false }

// Framing is how a response marks the end of its body.
type Framing uint8

// The framings of a response.
const (
	// Sized responses name the length of their body.
	Sized Framing = iota
	// Chunked responses mark the last chunk.
	Chunked
	// UntilClose responses end with their connection, so that HTTP does not show whether
	// the body is complete.
	UntilClose
)

// String implements fmt.Stringer.
func (f Framing) String() string {
	switch f {
	case Sized:
		return "sized"
	case Chunked:
		return "chunked"
	case UntilClose:
		return "until close"
	}
	return "unknown"
}

// Framing returns how the response marks the end of its body.
func (r *Response) Framing() Framing {
	switch {
	case r.ContentLength >= 0:
		return Sized
	case len(r.TransferEncoding) > 0:
		return Chunked
	}
	return UntilClose
}

// Client sends requests and keeps idle connections. It is safe for concurrent use.
type Client struct {
	mu        sync.Mutex
	idleConns map[string][]*conn
}

// New returns a client without connections.
func New() *Client { return &Client{idleConns: map[string][]*conn{}} }

type conn struct {
	net.Conn
	reader    *bufio.Reader
	limit     *limitedReader
	idleSince time.Time
	// digests are those of the bodies of the newest responses.
	digests []uint64
}

// recordBody records the digest of a body, and reports whether a response before it had the
// same one.
func (c *conn) recordBody(digest uint64) bool {
	repeats := slices.Contains(c.digests, digest)
	c.digests = append(c.digests, digest)
	c.digests = c.digests[max(0, len(c.digests)-maxDigests):]
	return repeats
}

func newConn(raw net.Conn) *conn {
	limit := &limitedReader{Conn: raw}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(limit, readBufferBytes), limit: limit}
}

// Do sends the request and returns the head of the response. The connection is closed
// when ctx ends, even while the body is being read.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, error) {
	cn, err := c.connect(ctx, req)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	stopCloseOnCancel := context.AfterFunc(ctx, func() { _ = cn.Close() })
	resp, err := exchange(cn, req)
	if err != nil {
		stopCloseOnCancel()
		_ = cn.Close()
		if ctx.Err() != nil {
			err = errors.WithSecondaryError(ctx.Err(), err)
		}
		return nil, errors.Mark(err, ErrNoResponse)
	}
	body := &responseBody{
		ReadCloser: resp.Body, client: c, conn: cn, address: req.Address, stopCloseOnCancel: stopCloseOnCancel,
		reusable: req.ReuseConnection && !resp.Close, digest: xxhash.New(),
	}
	resp.Body = body
	return &Response{resp, body}, nil
}

func (c *Client) connect(ctx context.Context, req *Request) (*conn, error) {
	if req.ReuseConnection {
		if cn := c.takeIdle(req.Address); cn != nil {
			return cn, nil
		}
	}
	raw, err := dial(ctx, req.Address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: firstDialTimeout, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", address)
	var timeout net.Error
	if err != nil && ctx.Err() == nil && errors.As(err, &timeout) && timeout.Timeout() {
		d.Timeout = secondDialTimeout
		raw, err = d.DialContext(ctx, "tcp", address)
	}
	return raw, errors.Wrap(err, "connect")
}

// exchange writes the request and reads the head of its response.
func exchange(cn *conn, req *Request) (*http.Response, error) {
	if err := writeRequest(cn, req); err != nil {
		return nil, errors.Wrap(err, "write request")
	}
	for range maxStrayResponses {
		resp, err := cn.readHead(req.Method)
		if err != nil {
			return nil, err
		}
		if req.Matches == nil || req.Matches(resp.Header) {
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
		if err != nil || n == maxStrayBytes || resp.Close {
			return nil, errors.New("response to another request")
		}
	}
	return nil, errors.New("too many responses to other requests")
}

// writeRequest writes the head and the first part of the body together, without a copy of the
// body, and then the other parts.
func writeRequest(cn *conn, req *Request) error {
	first := req.Body[:min(len(req.Body), bodyPartBytes)]
	buffers := net.Buffers{encodeHead(req), first}
	if _, err := buffers.WriteTo(cn.Conn); err != nil {
		return err
	}
	req.bodyWritten(len(first))
	for rest := req.Body[len(first):]; len(rest) > 0; {
		n, err := cn.Write(rest[:min(len(rest), bodyPartBytes)])
		if err != nil {
			return err
		}
		req.bodyWritten(n)
		rest = rest[n:]
	}
	return nil
}

func (r *Request) bodyWritten(n int) {
	if r.OnBodyWritten != nil && n > 0 {
		r.OnBodyWritten(n)
	}
}

func encodeHead(req *Request) []byte {
	var b bytes.Buffer
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.Write(&b)
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// responseBody makes its connection idle on Close if it was read to the end, and closes
// the connection otherwise.
type responseBody struct {
	io.ReadCloser
	client            *Client
	conn              *conn
	address           string
	stopCloseOnCancel func() bool
	reusable          bool
	readToEnd         bool
	closed            bool
	// digest is that of the bytes read so far; repeats is set at the end of the body.
	digest  *xxhash.Digest
	repeats bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.reusable {
		return n, err
	}
	_, _ = b.digest.Write(p[:n])
	if err == io.EOF && !b.readToEnd {
		b.readToEnd = true
		b.repeats = b.conn.recordBody(b.digest.Sum64())
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if stopped := b.stopCloseOnCancel(); stopped && b.readToEnd && b.reusable && b.conn.reader.Buffered() == 0 {
		b.client.putIdle(b.address, b.conn)
		return nil
	}
	return b.conn.Close()
}
