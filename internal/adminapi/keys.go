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

// Role is what a key allows.
type Role string

// The roles; RoleWrite includes RoleRead.
const (
	RoleRead  Role = "read"
	RoleWrite Role = "write"
)

// bearer precedes the key in the Authorization header (RFC 6750).
const bearer = "Bearer "

// Authorize puts an administration key on a request.
func Authorize(r *http.Request, key string) { r.Header.Set("Authorization", bearer+key) }

// Keys holds the administration keys.
type Keys struct{ list []key }

type key struct {
	role Role
	name string
	hash [sha256.Size]byte
}

// LoadKeys reads a file with a role, a name and a key on each line. Empty lines
// and lines that start with # are skipped. An empty path gives no keys.
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

// ParseKeys reads the lines of a key file.
func ParseKeys(text string) (*Keys, error) {
	k := &Keys{}
	for number, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 3 {
			return nil, errors.Newf("administration keys, line %d: a line has a role, a name and a key", number+1)
		}
		role := Role(fields[0])
		if role != RoleRead && role != RoleWrite {
			return nil, errors.Newf("administration keys, line %d: the role is read or write", number+1)
		}
		k.list = append(k.list, key{role: role, name: fields[1], hash: sha256.Sum256([]byte(fields[2]))})
	}
	return k, nil
}

// check returns the name of the operator, or why the request is not allowed.
func (k *Keys) check(r *http.Request, need Role) (string, *result.Error) {
	sent, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok {
		return "", result.New(result.AdminUnauthorized, "header Authorization: Bearer KEY is missing")
	}
	hash := sha256.Sum256([]byte(sent))
	for i := range k.list {
		if subtle.ConstantTimeCompare(hash[:], k.list[i].hash[:]) != 1 {
			continue
		}
		if need == RoleWrite && k.list[i].role != RoleWrite {
			return "", result.New(result.AdminForbidden, "the key of %s has the role read", k.list[i].name)
		}
		return k.list[i].name, nil
	}
	return "", result.New(result.AdminUnauthorized, "the key is unknown")
}

type operatorKey struct{}

func withOperator(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, operatorKey{}, name)
}

// Operator returns the name that the key of a request belongs to.
func Operator(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
