package responsescan

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// scanIn scans a response in parts of the given size.
func scanIn(text []byte, size int) error {
	var s Scanner
	s.Begin()
	for len(text) > 0 {
		n := min(size, len(text))
		if err := s.Scan(text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// TestScanner checks heads that arrive in parts of any size.
func TestScanner(t *testing.T) {
	const ok, end = "HTTP/1.1 200 OK\r\n", "Content-Length: 0\r\n\r\n"
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n"
	tests := []struct {
		text string
		want error
	}{
		{ok + end, nil},
		{"HTTP/1.1 200\n\n", nil},
		{"HTTP/1.0 200 OK\r\n" + end, nil},
		{ok + "A: b c: d\r\nE:\r\n f\r\n" + end, nil},
		{ok + end + "Not Checked: a\r\n", nil},
		{"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + ok + end + "Not Checked: a\r\n", nil},
		{"HTTP/2.0 200 OK\r\n" + end, ErrProtocol},
		{"\r\n" + ok + end, ErrProtocol},
		{"HTTP/1.1 000 OK\r\n" + end, ErrStatus},
		{"HTTP/1.1 099 OK\r\n" + end, ErrStatus},
		{"HTTP/1.1 101 Switching Protocols\r\n" + end, ErrStatus},
		{"HTTP/1.1" + strings.Repeat(" ", 2*keptLineBytes) + "000 OK\r\n" + end, ErrStatus},
		{"HTTP/1.1\r\n" + end, ErrStatus},
		{ok + "A b: c\r\n" + end, ErrField},
		{ok + "A : c\r\n" + end, ErrField},
		{ok + "A: b\r\n C: d\r\n" + end, ErrField},
		{ok + "A: b\r\n\tC: d\r\n" + end, ErrField},
		{ok + ": c\r\n" + end, ErrField},
		{ok + "A\x00: c\r\n" + end, ErrField},
		{ok + strings.Repeat("a", 2*keptLineBytes) + " b: c\r\n" + end, ErrField},
		{"HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\n" + ok + end, ErrField},
		{"HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "A b: c\r\n" + end, ErrField},
		{chunks + "0\r\nA: b\r\n c\r\n\r\nNot Checked: a\r\n", nil},
		{chunks + "A;x=y\r\nA b: c\r\n\r\n\r\n0\r\n\r\nNot Checked: a\r\n", nil},
		{chunks + "no size\r\nNot Checked: a\r\n", nil},
		{"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nNot Checked: a\r\n\r\n", nil},
		{chunks + "0\r\nA b: c\r\n\r\n", ErrField},
		{chunks + "0\r\nA: b\r\n C: d\r\n\r\n", ErrField},
		{chunks + "3\r\nown\r\n00 ;x=y\r\nA: b\r\nC : d\r\n\r\n", ErrField},
		{"HTTP/1.1 103 Early Hints\r\n\r\n" + chunks + "0\r\nA b: c\r\n\r\n", ErrField},
		{"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n" + end, ErrFraming},
	}
	for _, tt := range tests {
		for size := 1; size <= len(tt.text); size++ {
			err := scanIn([]byte(tt.text), size)
			assert.Assert(t, errors.Is(err, tt.want) && (tt.want != nil || err == nil), "%q in parts of %d: %v", tt.text, size, err)
		}
	}
}

// TestScannerChecksOnlyAfterBegin checks a connection with several responses.
func TestScannerChecksOnlyAfterBegin(t *testing.T) {
	var s Scanner
	bad := []byte("HTTP/1.1 200 OK\r\nA b: c\r\n\r\n")
	assert.NilError(t, s.Scan(bad))
	for range 2 {
		s.Begin()
		assert.ErrorIs(t, s.Scan(bad), ErrField)
		assert.ErrorIs(t, s.Scan([]byte("more")), ErrField)
		s.Begin()
		assert.NilError(t, s.Scan([]byte("HTTP/1.1 200 OK\r\nA: c\r\n\r\n")))
		assert.NilError(t, s.Scan(bad))
	}
}

// FuzzScanner checks that what the scanner says does not depend on how the bytes arrive, that it
// accepts every response of sound names, and that a response which it and the parser accept has
// only sound names.
func FuzzScanner(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 0\r\n\r\n"), 3)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA b: c\r\n d: e\r\n\r\n"), 1)
	f.Add([]byte("HTTP/1.0 000 \r\nTransfer-Encoding : chunked\n\n"), 7)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\nA: b\r\nC d: e\r\n\r\n"), 5)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		whole, parts := scanIn(text, max(1, len(text))), scanIn(text, max(1, min(size, len(text))))
		assert.Equal(t, whole == nil, parts == nil, "%v, %v", whole, parts)
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		if err != nil {
			return
		}
		if whole == nil {
			assert.NilError(t, CheckStatus(resp.StatusCode))
			_, err = io.Copy(io.Discard, resp.Body)
			for name := range resp.Header {
				assert.NilError(t, CheckName(name))
			}
			for name := range resp.Trailer {
				assert.Assert(t, err != nil || CheckName(name) == nil, "%q", name)
			}
			return
		}
		// What the parser made of the response is sound once it is written again.
		if CheckStatus(resp.StatusCode) != nil {
			return
		}
		for name := range resp.Header {
			if CheckName(name) != nil {
				delete(resp.Header, name)
			}
		}
		resp.Body, resp.ContentLength, resp.TransferEncoding, resp.Trailer = http.NoBody, 0, nil, nil
		resp.ProtoMajor, resp.ProtoMinor = 1, 1
		var again bytes.Buffer
		if resp.Write(&again) == nil {
			assert.NilError(t, scanIn(again.Bytes(), max(1, min(size, again.Len()))), "%q", again.Bytes())
		}
	})
}
