package adminapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Role is the permission level of a key.
type Role string

// The roles; RoleWrite includes RoleRead.
const (
	RoleRead  Role = "read"
	RoleWrite Role = "write"
)

// bearerPrefix precedes the key in the Authorization header (RFC 6750).
const bearerPrefix = "Bearer "

// SetAuthorization sets the administration key of a request.
func SetAuthorization(r *http.Request, key string) { r.Header.Set("Authorization", bearerPrefix+key) }

// Keys holds the administration keys.
type Keys struct{ keys []key }

type key struct {
	role Role
	name string
	hash [sha256.Size]byte
}

// LoadKeys reads a key file: each line has a role, a name and a key. Empty lines and
// lines that start with # are skipped. Without a path there are no keys, and every
// request is rejected.
func LoadKeys(path string) (*Keys, error) {
	if path == "" {
		return &Keys{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read administration keys")
	}
	return ParseKeys(string(text))
}

// ParseKeys parses the text of a key file.
func ParseKeys(text string) (*Keys, error) {
	k := &Keys{}
	for lineIndex, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 3 {
			return nil, errors.Newf("administration keys, line %d: expected a role, a name and a key", lineIndex+1)
		}
		role := Role(fields[0])
		if role != RoleRead && role != RoleWrite {
			return nil, errors.Newf("administration keys, line %d: the role must be read or write", lineIndex+1)
		}
		k.keys = append(k.keys, key{role: role, name: fields[1], hash: sha256.Sum256([]byte(fields[2]))})
	}
	return k, nil
}

// authorize returns the name that belongs to the key of a request, or an error if the
// key is missing, unknown or lacks the required role.
func (k *Keys) authorize(r *http.Request, requiredRole Role) (string, *result.Error) {
	sentKey, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return "", result.New(result.AdminUnauthorized, "header Authorization: Bearer KEY is missing")
	}
	hash := sha256.Sum256([]byte(sentKey))
	for i := range k.keys {
		if subtle.ConstantTimeCompare(hash[:], k.keys[i].hash[:]) != 1 {
			continue
		}
		if requiredRole == RoleWrite && k.keys[i].role != RoleWrite {
			return "", result.New(result.AdminForbidden, "the key of %s has the role read", k.keys[i].name)
		}
		return k.keys[i].name, nil
	}
	return "", result.New(result.AdminUnauthorized, "the key is unknown")
}

type operatorKey struct{}

func withOperator(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, operatorKey{}, name)
}

// Operator returns the name that belongs to the key of a request. ctx is the context of
// a request to a registered route.
func Operator(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
