// Package contract tests what the system relies on at its interfaces to the platform. The
// tests run against the stand-ins, or against real services whose base URLs are in
// MAGNOLIAWHEEL_LOG_URL and MAGNOLIAWHEEL_LIST_URL.
package contract

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
	"github.com/magnoliawheel/magnoliawheel/test/standin/instancelist"
	"github.com/magnoliawheel/magnoliawheel/test/standin/platformlog"
)

func startLog(t *testing.T) (log platform.Log, control func(body string)) {
	t.Helper()
	srv, err := platformlog.Start("127.0.0.1:0", platformlog.Config{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = srv.Close() })
	return platform.NewHTTPLog("http://" + srv.Addr()), newControl(t, srv)
}

// newControl returns a function that posts a body with fault switches to a stand-in.
func newControl(t *testing.T, srv *standin.Server) func(body string) {
	return func(body string) {
		t.Helper()
		resp, err := http.Post("http://"+srv.Addr()+"/control", "application/json", bytes.NewBufferString(body))
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
}

// newStreamName returns a unique stream name, so that tests can share a log.
func newStreamName() string { return "contract-" + uuid.NewString() }

func toRecords(texts ...string) [][]byte {
	var list [][]byte
	for _, text := range texts {
		list = append(list, []byte(text))
	}
	return list
}

// checkBatchTexts checks that a batch has consecutive offsets starting at from, and returns
// the texts of its records.
func checkBatchTexts(t *testing.T, b platform.Batch, from uint64) []string {
	t.Helper()
	var list []string
	for i, r := range b.Records {
		assert.Equal(t, r.Offset, from+uint64(i))
		assert.Assert(t, !r.Time.IsZero())
		list = append(list, string(r.Data))
	}
	return list
}

// TestLog tests what every log must do while it works.
func TestLog(t *testing.T) {
	var log platform.Log
	if base := os.Getenv("MAGNOLIAWHEEL_LOG_URL"); base != "" {
		log = platform.NewHTTPLog(base)
	} else {
		log, _ = startLog(t)
	}
	ctx := t.Context()
	for _, tc := range []struct {
		name string
		run  func(t *testing.T, s string)
	}{
		{"offsets start at 1 and are consecutive", func(t *testing.T, s string) {
			for i, batch := range [][][]byte{toRecords("a", "b"), toRecords("c")} {
				first, err := log.Append(ctx, s, batch...)
				assert.NilError(t, err)
				assert.Equal(t, first, uint64(1+2*i))
			}
			b, err := log.Read(ctx, s, 1, 10, 0)
			assert.NilError(t, err)
			assert.DeepEqual(t, checkBatchTexts(t, b, 1), []string{"a", "b", "c"})
			assert.Equal(t, b.Next, uint64(4))
		}},
		{"reads respect the start offset and the limit", func(t *testing.T, s string) {
			_, err := log.Append(ctx, s, toRecords("a", "b", "c")...)
			assert.NilError(t, err)
			b, err := log.Read(ctx, s, 2, 1, 0)
			assert.NilError(t, err)
			assert.DeepEqual(t, checkBatchTexts(t, b, 2), []string{"b"})
		}},
		{"an empty stream has next 1", func(t *testing.T, s string) {
			b, err := log.Read(ctx, s, 1, 10, 0)
			assert.NilError(t, err)
			assert.Equal(t, len(b.Records), 0)
			assert.Equal(t, b.Next, uint64(1))
		}},
		{"a read waits for the first record", func(t *testing.T, s string) {
			got := make(chan platform.Batch, 1)
			go func() {
				b, _ := log.Read(ctx, s, 1, 10, 20*time.Second)
				got <- b
			}()
			_, err := log.Append(ctx, s, toRecords("a")...)
			assert.NilError(t, err)
			assert.DeepEqual(t, checkBatchTexts(t, <-got, 1), []string{"a"})
		}},
		{"streams are independent", func(t *testing.T, s string) {
			_, err := log.Append(ctx, s, toRecords("a")...)
			assert.NilError(t, err)
			first, err := log.Append(ctx, s+"-other", toRecords("b")...)
			assert.NilError(t, err)
			assert.Equal(t, first, uint64(1))
		}},
		{"records may contain any bytes", func(t *testing.T, s string) {
			data := make([]byte, 256)
			for i := range data {
				data[i] = byte(i)
			}
			_, err := log.Append(ctx, s, data, []byte{})
			assert.NilError(t, err)
			b, err := log.Read(ctx, s, 1, 10, 0)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(b.Records[0].Data, data))
			assert.Equal(t, len(b.Records[1].Data), 0)
		}},
		{"concurrent appends get distinct offsets", func(t *testing.T, s string) {
			const writers = 20
			firsts := make(chan uint64, writers)
			for range writers {
				go func() {
					first, _ := log.Append(ctx, s, toRecords("x", "y")...)
					firsts <- first
				}()
			}
			seen := map[uint64]bool{}
			for range writers {
				seen[<-firsts] = true
			}
			assert.Equal(t, len(seen), writers)
			assert.Assert(t, !seen[0])
		}},
	} {
		t.Run(tc.name, func(t *testing.T) { tc.run(t, newStreamName()) })
	}
}

// TestLogFaults tests what the client reports under each fault of the log.
func TestLogFaults(t *testing.T) {
	for _, tc := range []struct {
		name, control string
		// appendErr and readErr are the errors that the client returns under the fault.
		appendErr, readErr error
		// kept is the number of records in the stream in the end, out of the two appended.
		kept int
	}{
		{"down", `{"down":true}`, platform.ErrUnavailable, platform.ErrUnavailable, 1},
		{"answer lost after the write took effect", `{"drop_answers":1}`, platform.ErrOutcomeUnknown, nil, 2},
		{"write applied late", `{"late_writes":1,"late_write_ms":200}`, platform.ErrOutcomeUnknown, nil, 2},
		{"slow", `{"delay_ms":300}`, nil, nil, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log, control := startLog(t)
			ctx, s := t.Context(), newStreamName()
			_, err := log.Append(ctx, s, toRecords("before")...)
			assert.NilError(t, err)
			control(tc.control)
			_, err = log.Append(ctx, s, toRecords("under")...)
			assert.Assert(t, errors.Is(err, tc.appendErr), "%v", err)
			_, err = log.Read(ctx, s, 1, 10, 0)
			assert.Assert(t, errors.Is(err, tc.readErr), "%v", err)
			control(`{"reset":true}`)
			b, err := log.Read(ctx, s, 2, 10, 2*time.Second)
			assert.NilError(t, err)
			assert.Equal(t, len(b.Records), tc.kept-1)
		})
	}
}

func TestLogTruncated(t *testing.T) {
	log, control := startLog(t)
	ctx, s := t.Context(), newStreamName()
	_, err := log.Append(ctx, s, toRecords("a", "b", "c")...)
	assert.NilError(t, err)
	control(`{"truncate_to":1}`)
	b, err := log.Read(ctx, s, 1, 10, 0)
	assert.Assert(t, errors.Is(err, platform.ErrTruncated), "%v", err)
	assert.Equal(t, b.First, uint64(3))
	assert.Equal(t, b.Next, uint64(4))
	b, err = log.Read(ctx, s, b.First, 10, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, checkBatchTexts(t, b, 3), []string{"c"})
}

// TestLogConnectionsFallSilent tests that an append on a silent connection ends, with an
// unknown outcome, and that the next one succeeds.
func TestLogConnectionsFallSilent(t *testing.T) {
	log, control := startLog(t)
	ctx, s := t.Context(), newStreamName()
	_, err := log.Append(ctx, s, toRecords("a")...)
	assert.NilError(t, err)
	control(`{"silence":true}`)
	_, err = log.Append(ctx, s, toRecords("b")...)
	assert.Assert(t, errors.Is(err, platform.ErrOutcomeUnknown), "%v", err)
	_, err = log.Append(ctx, s, toRecords("c")...)
	assert.NilError(t, err)
}

func TestLogUnreachable(t *testing.T) {
	srv, err := platformlog.Start("127.0.0.1:0", platformlog.Config{})
	assert.NilError(t, err)
	log := platform.NewHTTPLog("http://" + srv.Addr())
	assert.NilError(t, srv.Close())
	_, err = log.Append(t.Context(), newStreamName(), toRecords("a")...)
	assert.Assert(t, errors.Is(err, platform.ErrUnavailable), "%v", err)
}

// TestInstanceList tests what every instance list must return.
func TestInstanceList(t *testing.T) {
	if base := os.Getenv("MAGNOLIAWHEEL_LIST_URL"); base != "" {
		checkInstanceList(t, platform.NewHTTPList(base))
		return
	}
	list, control := startInstanceList(t)
	control(instanceListBody("a", "b"))
	checkInstanceList(t, list)
}

// checkInstanceList checks what holds for every list: each instance has a unique id, a role
// and an address. It returns the instances.
func checkInstanceList(t *testing.T, list platform.InstanceList) []membership.Instance {
	t.Helper()
	instances, asOf, err := list.List(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, !asOf.IsZero())
	seen := map[string]bool{}
	for _, i := range instances {
		assert.Assert(t, i.ID != "" && i.Addr != "" && !seen[i.ID], "%+v", i)
		assert.Assert(t, i.Role == membership.RoleEntry || i.Role == membership.RoleAgent, "%+v", i)
		seen[i.ID] = true
	}
	return instances
}

func startInstanceList(t *testing.T) (list platform.InstanceList, control func(body string)) {
	t.Helper()
	srv, err := instancelist.Start("127.0.0.1:0", standin.Faults{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = srv.Close() })
	return platform.NewHTTPList("http://" + srv.Addr()), newControl(t, srv)
}

// instanceListBody returns the body that makes the stand-in list agents with the given ids.
func instanceListBody(ids ...string) string {
	text := ""
	for i, id := range ids {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf(`{"id":%q,"role":"agent","pool":"p","addr":"127.0.0.1:1","zone":"z","region":"r"}`, id)
	}
	return `{"instances":[` + text + `]}`
}

// TestInstanceListFaults tests what the client returns under each fault of the instance
// list.
func TestInstanceListFaults(t *testing.T) {
	for _, tc := range []struct {
		name, control string
		err           error
		instances     int
	}{
		{"down", `{"down":true}`, platform.ErrUnavailable, 0},
		{"answer lost", `{"drop_answers":2}`, platform.ErrUnavailable, 0},
		{"stale", `{"stale":true}`, nil, 2},
		{"slow", `{"delay_ms":200}`, nil, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			list, control := startInstanceList(t)
			control(instanceListBody("a", "b"))
			assert.Equal(t, len(checkInstanceList(t, list)), 2)
			control(tc.control)
			control(instanceListBody("a", "b", "c"))
			instances, _, err := list.List(context.Background())
			assert.Assert(t, errors.Is(err, tc.err), "%v", err)
			assert.Equal(t, len(instances), tc.instances)
			control(`{"reset":true}`)
			assert.Equal(t, len(checkInstanceList(t, list)), 3)
		})
	}
}
