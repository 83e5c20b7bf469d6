package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"math"
	"strings"
)

const (
	// identityBytes is the number of bytes of a request's identity.
	identityBytes = 12
	// identityPrefix distinguishes identities from parts of prompts.
	identityPrefix = "request:"
)

// Request is what makes a request the same as another one. Each attempt of a client has an ID
// of its own, but the same values here.
type Request struct {
	Method, Host, Target, Customer string
	Body                           []byte
	// SharedParts are the IDs of the parts of its prompt that other prompts may share, if the
	// body does not hold the prompt.
	SharedParts []string
}

// Identity returns a hash of the request.
func (r *Request) Identity() string {
	h := sha256.New()
	for _, field := range append([]string{r.Method, r.Host, r.Target, r.Customer}, r.SharedParts...) {
		writeLength(h, uint32(len(field)))
		_, _ = io.WriteString(h, field)
	}
	// No field is as long as the mark before the body, so that a part is never taken for it.
	writeLength(h, math.MaxUint32)
	_, _ = h.Write(r.Body)
	return identityPrefix + hex.EncodeToString(h.Sum(nil)[:identityBytes])
}

func writeLength(w io.Writer, n uint32) {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	_, _ = w.Write(b[:])
}

// Elements returns the elements of a request: its identity, if it is known, and the parts of
// its prompt that other prompts may share.
func Elements(identity string, sharedParts []string) []string {
	elements := make([]string, 0, 1+len(sharedParts))
	if isIdentity(identity) {
		elements = append(elements, identity)
	}
	for _, part := range sharedParts {
		if !isIdentity(part) {
			elements = append(elements, part)
		}
	}
	return elements
}

func isIdentity(element string) bool { return strings.HasPrefix(element, identityPrefix) }

// identityOf returns the identity among the elements of a request, which is the first one.
func identityOf(elements []string) (string, bool) {
	if len(elements) == 0 || !isIdentity(elements[0]) {
		return "", false
	}
	return elements[0], true
}
