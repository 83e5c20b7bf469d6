package claims

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// uuidLength is the length of the canonical text form of a UUID.
const uuidLength = 36

// Key is the hash of a customer, an idempotency key and a stage.
type Key [16]byte

// NewKey returns the hash of a customer, its idempotency key and the subkey that is
// specific to the stage.
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

// MarshalText implements encoding.TextMarshaler in hexadecimal.
func (k Key) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, k[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(b []byte) error { return decodeHex(k[:], b) }

// decodeHex decodes exactly len(dst) bytes from hexadecimal.
func decodeHex(dst, text []byte) error {
	if hex.DecodedLen(len(text)) != len(dst) {
		return errors.New("claims: wrong length of a hexadecimal identifier")
	}
	_, err := hex.Decode(dst, text)
	return err
}

// Partition returns the number of the claim stream for the key.
func (k Key) Partition() int { return int(k[0]) % NumPartitions }

// KeyTime returns the time in an idempotency key; ok is false if the key is not a
// UUIDv7 in canonical form.
func KeyTime(key string) (t time.Time, ok bool) {
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

// CheckKeyTime checks the time of a key against the clock of this process. An expired
// key may have been used before and its claim removed, so it is not known whether its
// work ran.
func CheckKeyTime(keyTime, now time.Time, validity, skew time.Duration) *result.Error {
	if keyTime.After(now.Add(skew)) {
		return result.New(result.KeyFromFuture, "the time of the key is %s in the future", keyTime.Sub(now).Round(time.Millisecond))
	}
	if age := now.Sub(keyTime); age > validity {
		e := result.New(result.KeyExpired, "the key is %s old; keys are valid for %s", age.Round(time.Second), validity)
		e.Ran, e.Effects = result.RanUnknown, result.RanUnknown
		return e
	}
	return nil
}
