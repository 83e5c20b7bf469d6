// Package responsescan finds, in the bytes that a server sends, what is no HTTP/1 response although
// the parser of net/http accepts it. That parser drops header lines whose name holds a blank, and
// joins lines that begin with a blank to the line before, whatever they hold: a field that frames the
// body, states that the request was not run, or names its request is then missing or another one. The
// same holds for the fields behind the chunks of a body.
package responsescan

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Errors returned by Scanner.Scan.
var (
	// ErrProtocol means that the response is of another protocol than HTTP/1.
	ErrProtocol = errors.New("response of another protocol")
	// ErrStatus means that the status is none that the response to a request can have.
	ErrStatus = errors.New("invalid status")
	// ErrField means that the name of a header field holds bytes that no name has. A line that
	// begins with a blank and holds a colon is such a field, unless it continues the line before.
	// Nothing distinguishes the two.
	ErrField = errors.New("malformed header field")
	// ErrFraming means that the response does not say unmistakably where its body ends.
	ErrFraming = errors.New("transfer coding in HTTP/1.0")
)

const (
	statusContinue           = 100
	statusSwitchingProtocols = 101
	statusOK                 = 200
	statusNoContent          = 204
	statusNotModified        = 304
)

// CheckStatus returns ErrStatus for a status below 100, and for 101, which answers a request for
// another protocol.
func CheckStatus(status int) error {
	if status < statusContinue || status == statusSwitchingProtocols {
		return fmt.Errorf("%w %03d", ErrStatus, status)
	}
	return nil
}

// CheckName returns ErrField unless name can be the name of a header field.
func CheckName(name string) error {
	for i := range len(name) {
		if !isTokenByte[name[i]] {
			return fmt.Errorf("%w %.64q", ErrField, name)
		}
	}
	if name == "" {
		return fmt.Errorf("%w without a name", ErrField)
	}
	return nil
}

// isTokenByte holds the bytes that the name of a field may consist of (RFC 9110, section 5.6.2).
var isTokenByte = func() (set [256]bool) {
	const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789" + letters) {
		set[b] = true
	}
	return set
}()

// part is the part of a response that the next byte belongs to.
type part uint8

const (
	// unchecked bytes are of a body, or of no response.
	unchecked part = iota
	statusLine
	headerLine
	// chunkLine holds the size of a chunk, chunkData the chunk, chunkEnd the end of its last line.
	chunkLine
	chunkData
	chunkEnd
	trailerLine
)

// Scanner checks the bytes of a connection as they are read. Its zero value checks nothing until
// Begin is called.
type Scanner struct {
	part part
	line line
	// interim is set in a head after which another one follows; http10 in one of that version; bodyless
	// in one after which there is no body; chunked in one that announces chunks.
	interim, http10, bodyless, chunked bool
	// chunkLeft is the number of bytes of the chunk that are to come.
	chunkLeft uint64
	err       error
}

// Begin makes the next byte the first one of a response.
func (s *Scanner) Begin() { *s = Scanner{part: statusLine} }

// Scan checks the next bytes. From the first error on it returns that one until Begin is called.
func (s *Scanner) Scan(p []byte) error {
	for len(p) > 0 && s.err == nil && s.part != unchecked {
		if s.part == chunkData {
			p = p[s.skipChunk(len(p)):]
			continue
		}
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			s.line.add(p)
			break
		}
		s.line.add(p[:end])
		p = p[end+1:]
		s.err = s.endLine()
		s.line = line{}
	}
	return s.err
}

// skipChunk passes over at most n bytes of a chunk and returns their number.
func (s *Scanner) skipChunk(n int) int {
	skipped := min(uint64(n), s.chunkLeft)
	s.chunkLeft -= skipped
	if s.chunkLeft == 0 {
		s.part = chunkEnd
	}
	return int(skipped)
}

// endLine handles a whole line.
func (s *Scanner) endLine() error {
	text := s.line.text()
	switch s.part {
	case statusLine:
		return s.handleStatus(text)
	case chunkLine:
		s.beginChunk(text)
		return nil
	case chunkEnd:
		s.part = chunkLine
		return nil
	}
	if len(text) == 0 {
		s.endFields()
		return nil
	}
	return s.handleField(text)
}

// endFields handles the empty line after a head or a trailer.
func (s *Scanner) endFields() {
	switch {
	case s.part == trailerLine:
		s.part = unchecked
	case s.interim:
		s.part = statusLine
	case s.chunked && !s.bodyless:
		s.part = chunkLine
	default:
		s.part = unchecked
	}
}

// beginChunk handles the line before a chunk. One without a size the parser refuses.
func (s *Scanner) beginChunk(text []byte) {
	size, _, _ := bytes.Cut(text, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 64)
	switch {
	case err != nil:
		s.part = unchecked
	case n == 0:
		s.part = trailerLine
	default:
		s.part, s.chunkLeft = chunkData, n
	}
}

var (
	http1Prefix  = []byte("HTTP/1.")
	http10Prefix = []byte("HTTP/1.0 ")
	codingName   = []byte("Transfer-Encoding")
)

// handleStatus handles the first line of a response.
func (s *Scanner) handleStatus(text []byte) error {
	if !bytes.HasPrefix(text, http1Prefix) {
		return fmt.Errorf("%w: %.20q", ErrProtocol, text)
	}
	_, rest, _ := bytes.Cut(text, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, err := strconv.Atoi(string(code))
	if err != nil {
		return fmt.Errorf("%w %.20q", ErrStatus, code)
	}
	s.part, s.interim, s.http10 = headerLine, status < statusOK, bytes.HasPrefix(text, http10Prefix)
	s.chunked, s.bodyless = false, status == statusNoContent || status == statusNotModified
	return CheckStatus(status)
}

// handleField handles a line of a head or a trailer.
func (s *Scanner) handleField(text []byte) error {
	if !s.line.hasColon {
		// The line continues the one before, or the parser refuses it.
		return nil
	}
	if s.line.malformedName {
		return fmt.Errorf("%w %.64q", ErrField, text)
	}
	name, _, _ := bytes.Cut(text, []byte(":"))
	if s.part != headerLine || !bytes.EqualFold(name, codingName) {
		return nil
	}
	if s.http10 {
		return ErrFraming
	}
	// The parser refuses any other coding.
	s.chunked = true
	return nil
}

// keptLineBytes is the part of a line that is kept. It holds the longest name, status or size that
// has a meaning.
const keptLineBytes = 64

// line is a line of which the bytes arrive in parts.
type line struct {
	// start holds the first bytes, size is the number of all.
	start [keptLineBytes]byte
	size  int
	// hasColon is set once there is a colon. malformedName is set if there is no name before it, or
	// one that no field has.
	hasColon, malformedName bool
}

func (l *line) add(p []byte) {
	if l.size < len(l.start) {
		copy(l.start[l.size:], p)
	}
	if !l.hasColon {
		l.addName(p)
	}
	l.size += len(p)
}

// addName checks bytes before the colon.
func (l *line) addName(p []byte) {
	for i, b := range p {
		if b == ':' {
			l.hasColon = true
			l.malformedName = l.malformedName || l.size+i == 0
			return
		}
		l.malformedName = l.malformedName || !isTokenByte[b]
	}
}

// text returns the first bytes of the line, without the carriage return at its end.
func (l *line) text() []byte {
	if l.size > len(l.start) {
		return l.start[:]
	}
	return bytes.TrimSuffix(l.start[:l.size], []byte("\r"))
}
