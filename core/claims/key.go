package claims

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// uuidLength is the length of the text form of a UUID.
const uuidLength = 36

// Key is the hash of a customer's idempotency key for one stage.
type Key [16]byte

// NewKey returns the hash for a customer, its key and the stage's own part.
func NewKey(customer, key, subKey string) Key {
	h := sha256.New()
	for _, part := range []string{customer, key, subKey} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// MarshalText writes the key in hexadecimal.
func (k Key) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, k[:]), nil }

// UnmarshalText reads hexadecimal.
func (k *Key) UnmarshalText(b []byte) error { return decodeHex(k[:], b) }

// decodeHex reads exactly len(dst) bytes in hexadecimal.
func decodeHex(dst, text []byte) error {
	if hex.DecodedLen(len(text)) != len(dst) {
		return errors.New("claims: identifier of the wrong length")
	}
	_, err := hex.Decode(dst, text)
	return err
}

// Partition returns the partition of the claim stream that holds the key.
func (k Key) Partition() int { return int(k[0]) % Partitions }

// Minted returns the time that an idempotency key carries; ok is false if the
// key is not a UUIDv7.
func Minted(key string) (at time.Time, ok bool) {
	if len(key) != uuidLength {
		return time.Time{}, false
	}
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	ms := int64(0)
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// CheckTime judges the time of a key by the clock of this process. An old key may
// have been used and forgotten, so that nothing can be told of its work.
func CheckTime(minted, now time.Time, validity, skew time.Duration) *result.Error {
	if minted.After(now.Add(skew)) {
		return result.New(result.KeyFromFuture, "the key is %s ahead of the clock", minted.Sub(now).Round(time.Millisecond))
	}
	if age := now.Sub(minted); age > validity {
		e := result.New(result.KeyExpired, "the key is %s old, valid are %s", age.Round(time.Second), validity)
		e.Ran, e.Effects = result.RanUnknown, result.RanUnknown
		return e
	}
	return nil
}
