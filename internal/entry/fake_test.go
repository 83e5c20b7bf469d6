package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

const testSecret = "a secret of at least sixteen bytes"

const testSchema = `
[[region]]
name = "r1"
zones = ["z1"]

[[pool]]
name = "encoders"
kind = "encoder"
concurrency = 8
queue = 64

[[pool]]
name = "engines"
kind = "engine"
concurrency = 8
queue = 64
models = ["m"]

[[pool]]
name = "filers"
kind = "service"
concurrency = 8
queue = 64

[[pipeline]]
name = "draft"
[[pipeline.stage]]
name = "encode"
pool = "encoders"
call = "encode"
idempotent = true
typical = "1ms"
[[pipeline.stage]]
name = "generate"
pool = "engines"
call = "generate"
idempotent = true
model = "m"
max_tokens = 8
answer = true
typical = "1ms"
[[pipeline.stage]]
name = "file"
pool = "filers"
call = "file"
idempotent = false
answer = true
typical = "1ms"

[[pipeline]]
name = "ask"
[[pipeline.stage]]
name = "generate"
pool = "engines"
call = "generate"
idempotent = true
model = "m"
max_tokens = 8
answer = true
typical = "1ms"

[[call]]
name = "draft"
pipeline = "draft"
deadline = "3s"
max_body_bytes = 1024

[[call]]
name = "ask"
pipeline = "ask"
deadline = "3s"
max_body_bytes = 1024
max_answer_bytes = 64

[[customer]]
name = "acme"
key_sha256 = "%s"
weight = 1

[[customer]]
name = "other"
key_sha256 = "%s"
weight = 1
`

func sha256Hex(s string) string {
	h := sha256.Sum256([]byte(s))
	return hex.EncodeToString(h[:])
}

func parseSchema(t testing.TB) *schema.Schema {
	t.Helper()
	s, err := schema.Parse([]byte(fmt.Sprintf(testSchema, sha256Hex("acme-key"), sha256Hex("other-key"))))
	assert.NilError(t, err)
	return s
}

// staticSource is a configuration source that changes only when set is called.
type staticSource struct {
	mu       sync.Mutex
	snapshot *configlog.Snapshot
}

func (s *staticSource) Current() *configlog.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

func (s *staticSource) set(snap *configlog.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = snap
}

// ObserveOffset and WaitReady do nothing: the configuration is always ready.
func (s *staticSource) ObserveOffset(string, uint64)    {}
func (s *staticSource) WaitReady(context.Context) error { return nil }

// staticView is a membership view that changes only when a test edits it.
type staticView struct {
	mu      sync.Mutex
	servers map[string][]routing.Server
	entries []membership.Instance
	version uint64
	leaving []string
}

func (v *staticView) Servers(pool string) []routing.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.servers[pool]
}

func (v *staticView) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version
}

func (v *staticView) Instances() []membership.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.entries
}

// RecordIncarnation does nothing, because the instances do not restart.
func (v *staticView) RecordIncarnation(string, uint64) {}

// Leaving records the instance.
func (v *staticView) MarkLeaving(id string, _ uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = append(v.leaving, id)
}
