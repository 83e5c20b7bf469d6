package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// identityBytes is the number of bytes of a request's identity.
const identityBytes = 12

// Identity returns the identity of a request: a hash of its method, its host, its target, its customer
// and its body. Each attempt of a client has an ID of its own, but the same identity.
func Identity(method, host, target, customer string, body []byte) string {
	h := sha256.New()
	for _, field := range []string{method, host, target, customer} {
		_ = binary.Write(h, binary.BigEndian, uint32(len(field)))
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:identityBytes])
}
