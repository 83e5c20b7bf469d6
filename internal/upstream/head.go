package upstream

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes bounds the head of a response together with those of the interim responses before it.
const maxHeadBytes = 64 << 10

// readHead reads the head of a response and passes over interim responses. A server in trouble may
// send bytes without end.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limit.start(maxHeadBytes)
	defer c.limit.stop()
	resp, err := c.parseHead(method)
	for err == nil && resp.StatusCode < http.StatusOK {
		resp, err = c.parseHead(method)
	}
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

// parseHead parses the next head. Bytes of it may be in the reader already, behind a response that
// was skipped.
func (c *conn) parseHead(method string) (*http.Response, error) {
	c.limit.scanner.Begin()
	begun, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err = c.limit.scanner.Scan(begun); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}
