// Package reqid forms request ids. An id names the entry that owns the request,
// so that any other entry can relay a re-attachment to it.
package reqid

import (
	"strconv"
	"strings"
)

const separator = "~"

// Make returns the id of a request owned by entry. The two random words must
// come from a cryptographic source.
func Make(entry string, hi, lo uint64) string {
	return entry + separator + strconv.FormatUint(hi, 36) + "." + strconv.FormatUint(lo, 36)
}

// Owner returns the entry that owns the request; ok is false for a malformed id.
func Owner(id string) (entry string, ok bool) {
	i := strings.LastIndex(id, separator)
	if i <= 0 || i == len(id)-1 || len(id) > MaxLength {
		return "", false
	}
	return id[:i], true
}

// MaxLength is the greatest length of an id, in bytes.
const MaxLength = 128
