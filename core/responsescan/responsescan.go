// Package responsescan finds, in the bytes that a server sends, what is no HTTP/1 response although
// the parser of net/http accepts it. That parser drops header lines whose name holds a blank, and
// joins lines that begin with a blank to the line before, whatever they hold: a field that frames the
// body, states that the request was not run, or names its request is then missing or another one.
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
)

// Scanner checks the bytes of a connection as they are read. Its zero value checks nothing until
// Begin is called.
type Scanner struct {
	part part
	line line
	// interim is set in a head after which another one follows; http10 in one of that version.
	interim, http10 bool
	err             error
}

// Begin makes the next byte the first one of a response.
func (s *Scanner) Begin() { *s = Scanner{part: statusLine, line: line{start: s.line.start[:0]}} }

// Scan checks the next bytes. From the first error on it returns that one until Begin is called.
func (s *Scanner) Scan(p []byte) error {
	for len(p) > 0 && s.err == nil && s.part != unchecked {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			s.line.add(p)
			break
		}
		s.line.add(p[:end])
		p = p[end+1:]
		s.err = s.endLine()
		s.line.reset()
	}
	return s.err
}

// endLine handles a whole line.
func (s *Scanner) endLine() error {
	text := s.line.text()
	switch {
	case s.part == statusLine:
		return s.handleStatus(text)
	case len(text) == 0:
		s.part = unchecked
		if s.interim {
			s.part = statusLine
		}
		return nil
	}
	return s.handleField(text)
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
	return CheckStatus(status)
}

// handleField handles a header line.
func (s *Scanner) handleField(text []byte) error {
	if !s.line.hasColon {
		// The line continues the one before, or the parser refuses it.
		return nil
	}
	if s.line.malformedName {
		return fmt.Errorf("%w %.64q", ErrField, text)
	}
	name, _, _ := bytes.Cut(text, []byte(":"))
	if s.http10 && bytes.EqualFold(name, codingName) {
		return ErrFraming
	}
	return nil
}

// keptLineBytes is the part of a line that is kept. It holds the longest name, status or size that
// has a meaning.
const keptLineBytes = 64

// line is a line of which the bytes arrive in parts.
type line struct {
	// start holds the first bytes, size is the number of all.
	start []byte
	size  int
	// hasColon is set once there is a colon. malformedName is set if there is no name before it, or
	// one that no field has.
	hasColon, malformedName bool
}

func (l *line) reset() { *l = line{start: l.start[:0]} }

func (l *line) add(p []byte) {
	l.start = append(l.start, p[:min(len(p), keptLineBytes-len(l.start))]...)
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
	if l.size == len(l.start) {
		return bytes.TrimSuffix(l.start, []byte("\r"))
	}
	return l.start
}
