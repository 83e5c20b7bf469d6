package upstream

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

const (
	headerContentLength    = "Content-Length"
	headerTransferEncoding = "Transfer-Encoding"
)

// errUnclearEnd means that the head of a response does not say unmistakably where its body ends.
var errUnclearEnd = errors.New("upstream: unclear where the response ends")

// readHead reads the head of a response. A server in trouble may send bytes without end.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limit.start(maxHeadBytes)
	defer c.limit.stop()
	resp, err := c.parseHead(method)
	if err == nil {
		return resp, nil
	}
	if c.limit.err != nil {
		// The head is cut. What the parser says of its last line is of no use.
		err = c.limit.err
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return nil, errors.Wrap(err, "read response head")
}

func (c *conn) parseHead(method string) (*http.Response, error) {
	if err := c.checkProtocol(); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	return resp, checkHead(resp)
}

// checkHead returns an error for a response of another protocol, for one whose status is none, and
// for one that names its framing in a way that http.ReadResponse ignores: with a space before the
// colon. No request asks for another protocol, so that 101 is no status of its response either.
func checkHead(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return errors.Newf("response of the protocol %.20q", resp.Proto)
	}
	if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols {
		return errors.Newf("invalid status %.20q", resp.Status)
	}
	for name := range resp.Header {
		if !strings.HasSuffix(name, " ") {
			continue
		}
		switch http.CanonicalHeaderKey(strings.TrimRight(name, " ")) {
		case headerContentLength, headerTransferEncoding:
			return errors.Wrapf(errUnclearEnd, "header %q", name)
		}
	}
	return nil
}

var (
	oldProtocol = []byte("HTTP/1.0 ")
	codingLine  = []byte("\n" + strings.ToLower(headerTransferEncoding))
)

// checkProtocol waits for the next response. It returns an error if that is one of HTTP/1.0 with a
// transfer coding, which that version does not have: http.ReadResponse takes the coded bytes for
// the body.
func (c *conn) checkProtocol() error {
	p, err := c.reader.Peek(len(oldProtocol))
	if err != nil || !bytes.Equal(p, oldProtocol) {
		return err
	}
	if bytes.Contains(bytes.ToLower(c.peekHead()), codingLine) {
		return errors.Wrap(errUnclearEnd, "transfer coding in HTTP/1.0")
	}
	return nil
}

// peekHead returns the head of the next response, or the beginning of a head that does not fit in
// the reader or does not end.
func (c *conn) peekHead() []byte {
	for {
		p, _ := c.reader.Peek(c.reader.Buffered())
		for _, end := range []string{"\n\r\n", "\n\n"} {
			if i := bytes.Index(p, []byte(end)); i >= 0 {
				return p[:i]
			}
		}
		if _, err := c.reader.Peek(len(p) + 1); err != nil {
			return p
		}
	}
}
