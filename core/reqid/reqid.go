// Package reqid generates and parses request IDs. An ID contains the name of the entry
// that owns the request, so that any other entry can relay a reattachment to it.
package reqid

import (
	"strconv"
	"strings"
)

// separator separates the entry from the random part.
const separator = "~"

// New returns the ID of a request owned by entry. hi and lo must be random words from a
// cryptographic source.
func New(entry string, hi, lo uint64) string {
	return entry + separator + strconv.FormatUint(hi, 36) + "." + strconv.FormatUint(lo, 36)
}

// Owner returns the entry that owns the request; ok is false for a malformed ID.
func Owner(id string) (entry string, ok bool) {
	i := strings.LastIndex(id, separator)
	if i <= 0 || i == len(id)-1 || len(id) > MaxLength {
		return "", false
	}
	return id[:i], true
}

// MaxLength is the maximum length of an ID in bytes.
const MaxLength = 128
