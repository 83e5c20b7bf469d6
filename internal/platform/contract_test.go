package platform

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/test/standin"
	"github.com/magnoliawheel/magnoliawheel/test/standin/instancelist"
	"github.com/magnoliawheel/magnoliawheel/test/standin/platformlog"
)

// sendControl sends a command to the control endpoint of a stand-in service, mostly to
// set its faults.
func sendControl(t *testing.T, addr, command string) {
	t.Helper()
	res, err := http.Post("http://"+addr+"/control", "application/json", bytes.NewBufferString(command))
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.NilError(t, res.Body.Close())
}

// startLog starts a stand-in log and returns a client and the address.
func startLog(t *testing.T) (Log, string) {
	srv, err := platformlog.Start("127.0.0.1:0", platformlog.Config{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = srv.Close() })
	return NewHTTPLog("http://" + srv.Addr() + "/"), srv.Addr()
}

func TestLogAppendsAndReads(t *testing.T) {
	ctx := context.Background()
	log, addr := startLog(t)
	first, err := log.Append(ctx, ConfigStream, []byte("a"), []byte("b"))
	assert.NilError(t, err)
	assert.Equal(t, first, uint64(1))
	first, err = log.Append(ctx, ConfigStream, []byte("c"))
	assert.NilError(t, err)
	assert.Equal(t, first, uint64(3))

	batch, err := log.Read(ctx, ConfigStream, 2, 1, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Records), 1)
	assert.Equal(t, string(batch.Records[0].Data), "b")
	assert.Equal(t, batch.NextOffset, uint64(4))
	assert.Assert(t, !batch.Records[0].Time.IsZero())

	batch, err = log.Read(ctx, ConfigStream, 4, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Records), 0)
	batch, err = log.Read(ctx, "other", 1, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, batch.NextOffset, uint64(1))

	sendControl(t, addr, `{"truncate_to":1}`)
	batch, err = log.Read(ctx, ConfigStream, 1, 10, 0)
	assert.ErrorIs(t, err, ErrTruncated)
	assert.Equal(t, batch.FirstOffset, uint64(3))
	assert.Equal(t, batch.NextOffset, uint64(4))
}

func TestLogReadWaitsForRecords(t *testing.T) {
	log, _ := startLog(t)
	got := make(chan Batch, 1)
	go func() {
		batch, _ := log.Read(context.Background(), ConfigStream, 1, 10, 10*time.Second)
		got <- batch
	}()
	_, err := log.Append(context.Background(), ConfigStream, []byte("a"))
	assert.NilError(t, err)
	assert.Equal(t, len((<-got).Records), 1)
}

// TestAppendOutcomes checks which error Append returns for each way in which a request
// can end, and that it never sends the request twice.
func TestAppendOutcomes(t *testing.T) {
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	for _, tc := range []struct {
		name    string
		handler http.HandlerFunc
		want    error
	}{
		{"503", respond(503, "down"), ErrUnavailable},
		{"500", respond(500, "broken"), ErrOutcomeUnknown},
		{"502 from a proxy", respond(502, ""), ErrOutcomeUnknown},
		{"429", respond(429, ""), ErrOutcomeUnknown},
		{"not JSON", respond(200, "<html>"), ErrOutcomeUnknown},
		{"no offset", respond(200, "{}"), ErrOutcomeUnknown},
		{"connection closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrOutcomeUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var calls atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				tc.handler(w, r)
			}))
			defer srv.Close()
			_, err := NewHTTPLog(srv.URL).Append(context.Background(), ConfigStream, []byte("a"))
			assert.ErrorIs(t, err, tc.want)
			assert.Equal(t, errors.Is(err, ErrUnavailable) && errors.Is(err, ErrOutcomeUnknown), false)
			assert.Equal(t, calls.Load(), int64(1))
		})
	}
}

func TestAppendTimeoutIsOutcomeUnknown(t *testing.T) {
	log, addr := startLog(t)
	sendControl(t, addr, `{"delay_ms":60000}`)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := log.Append(ctx, ConfigStream, []byte("a"))
	assert.ErrorIs(t, err, ErrOutcomeUnknown)
}

// TestAppendOnReusedConnectionIsNotSentTwice guards against the transport's own retry of
// a request whose reused connection is closed without a response.
func TestAppendOnReusedConnectionIsNotSentTwice(t *testing.T) {
	log, addr := startLog(t)
	ctx := context.Background()
	_, err := log.Append(ctx, ConfigStream, []byte("a"))
	assert.NilError(t, err)
	sendControl(t, addr, `{"drop_answers":1}`)
	_, err = log.Append(ctx, ConfigStream, []byte("b"))
	assert.ErrorIs(t, err, ErrOutcomeUnknown)
	batch, err := log.Read(ctx, ConfigStream, 1, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Records), 2)
}

func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	log, addr := startLog(t)
	_, err := log.Append(context.Background(), ConfigStream, []byte("a"))
	assert.NilError(t, err)
	sendControl(t, addr, `{"silence":true}`)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err = log.Read(ctx, ConfigStream, 1, 10, 0)
	assert.ErrorIs(t, err, ErrUnavailable)
	batch, err := log.Read(context.Background(), ConfigStream, 1, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Records), 1)
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	_, err := NewHTTPLog(srv.URL).Append(context.Background(), ConfigStream, []byte("a"))
	assert.ErrorIs(t, err, ErrUnavailable)
	_, err = NewHTTPLog(srv.URL).Read(context.Background(), ConfigStream, 1, 1, 0)
	assert.ErrorIs(t, err, ErrUnavailable)
	_, _, err = NewHTTPList(srv.URL).List(context.Background())
	assert.ErrorIs(t, err, ErrUnavailable)
}

func TestInvalidReadResponseIsUnavailable(t *testing.T) {
	for name, body := range map[string]string{
		"not JSON":           "<html>",
		"gap":                `{"records":[{"offset":1,"data":""},{"offset":3,"data":""}],"first":1,"next":4}`,
		"wrong first offset": `{"records":[{"offset":2,"data":""}],"first":1,"next":3}`,
		"truncated":          `{"records":[{"offset":1`,
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		_, err := NewHTTPLog(srv.URL).Read(context.Background(), ConfigStream, 1, 10, 0)
		assert.ErrorIs(t, err, ErrUnavailable, name)
		srv.Close()
	}
}

func TestListIsTransferredOnceWhileUnchanged(t *testing.T) {
	srv, err := instancelist.Start("127.0.0.1:0", standin.Faults{})
	assert.NilError(t, err)
	defer func() { _ = srv.Close() }()
	sendControl(t, srv.Addr(), `{"instances":[{"id":"a1","role":"agent","pool":"engines","addr":"127.0.0.1:1","zone":"z","region":"r","leaving":true}]}`)
	var traffic Traffic
	list := NewHTTPList("http://"+srv.Addr(), WithTraffic(&traffic))
	ctx := context.Background()
	got, asOf, err := list.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(got), 1)
	assert.Assert(t, got[0].Leaving)
	assert.Assert(t, !asOf.IsZero())
	confirmed, confirmedAsOf, err := list.List(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, confirmed, got)
	assert.Assert(t, confirmedAsOf.After(asOf), "the time of an unchanged list must advance")
	assert.Equal(t, traffic.Requests.Load(), uint64(2))

	sendControl(t, srv.Addr(), `{"down":true}`)
	_, _, err = list.List(ctx)
	assert.ErrorIs(t, err, ErrUnavailable)
}
