package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// streamEvents is the number of events of a stream in these tests.
const streamEvents = 3

// wholeStream returns the events of a stream whose first one is of request began, and the
// others of request resumed.
func wholeStream(began, resumed string) string {
	return fmt.Sprintf("id: 1\ndata: token 1 of %s\n\n", began) + restOfStream(resumed)
}

// restOfStream returns the events of a stream after the first one.
func restOfStream(id string) string {
	events := ""
	for i := 2; i <= streamEvents; i++ {
		events += fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", i, i, id)
	}
	return events
}

// startVersion starts a model server that runs the given version of its software.
func (f *fleet) startVersion(id, version string) *standin.Server {
	s := f.startServer("model", id, streamEvents)
	f.store.Put(platform.ServersTopic, id, standin.VersionedServerRecord("model", s.Address(), version, false))
	return s
}

// startBreakingServer starts a server that breaks off its streams after the first event, once
// breakOff is closed.
func (f *fleet) startBreakingServer(id, version string, breakOff <-chan struct{}) *standin.Server {
	s := f.startVersion(id, version)
	s.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		request := s.RecordRequest(r)
		standin.SetSignature(w.Header(), s.ID)
		_, _ = fmt.Fprintf(w, "id: 1\ndata: token 1 of %s\n\nid: 2\n", request)
		w.(http.Flusher).Flush()
		select {
		case <-breakOff:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	})
	return s
}

// waitServers waits until all entries know the given number of model servers.
func (f *fleet) waitServers(n int, entries ...*runningEntry) {
	for _, e := range entries {
		eventually(f.t, "the servers are known", func() bool { return len(e.servers.Usable("model")) == n })
	}
}

// beginStream begins a stream, calls then after its first event, and closes the
// connection.
func (e *runningEntry) beginStream(requestID string, then func()) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.baseURL+standin.PathResumable, http.NoBody)
	assert.NilError(e.fleet.t, err)
	req.Host = standin.Host
	keyedCall(standin.PathResumable, requestID, "key-1").SetOn(req.Header)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(e.fleet.t, err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadFull(resp.Body, make([]byte, len("id: 1\n")))
	assert.NilError(e.fleet.t, err)
	then()
}

// resumeCall returns a request that takes a stream up after its first event.
func resumeCall(requestID, stream string) clientCall {
	c := keyedCall(standin.PathResumable, requestID, "key-1")
	c.extraHeader = http.Header{}
	standin.SetResumes(c.extraHeader, stream, "1")
	return c
}

// TestEntryResumesStreamAtItsSoftwareVersion guards against one response with events of two
// software versions: the server that began it breaks off, and one of another version would
// be chosen.
func TestEntryResumesStreamAtItsSoftwareVersion(t *testing.T) {
	for _, sameVersionServes := range []bool{true, false} {
		t.Run(fmt.Sprint("same version serves=", sameVersionServes), func(t *testing.T) {
			f := newFleet(t)
			f.putConfig()
			breakOff := make(chan struct{})
			began := f.startBreakingServer("m5", "v1", breakOff)
			e := f.startEntry("e1", 0).waitReady().waitRegistered()
			got := make(chan reply)
			go func() { got <- e.do(keyedCall(standin.PathResumable, "r", "key-1")) }()
			eventually(t, "the stream began", func() bool { return len(began.ExecutedRequests()) > 0 })
			other := f.startVersion("m1", "v2")
			servers := 2
			if sameVersionServes {
				f.startVersion("m9", "v1")
				servers++
			}
			f.waitServers(servers, e)
			close(breakOff)
			r := <-got
			assert.Equal(t, len(other.ExecutedRequests()), 0, "the stream went on at another version")
			assert.Equal(t, r.err == nil, sameVersionServes)
			if sameVersionServes {
				assert.Equal(t, r.body, wholeStream("r", "r"))
			}
		})
	}
}

// TestClientResumesStreamAtItsSoftwareVersion guards against a client that gets events of two
// software versions over its attempts, whichever entries served, placed or were stopped in
// between.
func TestClientResumesStreamAtItsSoftwareVersion(t *testing.T) {
	tests := []struct {
		name string
		// began and resumed are the entries that the client uses, stopped those that are
		// stopped in between. Entry 0 places the requests of all while it is there.
		began, resumed int
		stopped        []int
	}{
		{"same entry", 1, 1, nil},
		{"began at the placing entry", 0, 1, nil},
		{"resumed at the placing entry", 1, 0, nil},
		{"neither places", 1, 2, nil},
		{"entry that served is stopped", 1, 2, []int{1}},
		{"entry that placed is stopped", 1, 2, []int{0}},
		{"entry that served and placed is stopped", 0, 2, []int{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t)
			f.putConfig()
			began := f.startBreakingServer("m5", "v1", nil)
			var entries []*runningEntry
			for i := range 3 {
				entries = append(entries, f.startEntry(fmt.Sprint("e", i), 0).waitReady().waitRegistered())
			}
			f.waitServers(1, entries...)
			entries[tt.began].beginStream("r", func() {
				// The stream is open until all know the other servers.
				f.startVersion("m1", "v2")
				f.startVersion("m9", "v1")
				f.putServerRecord("model", "m5", began.Address(), true)
				f.waitServers(2, entries...)
			})
			for _, i := range tt.stopped {
				entries[i].stop()
				<-entries[i].done
			}
			got := entries[tt.resumed].do(resumeCall("s", "r"))
			assert.NilError(t, got.err)
			assert.Equal(t, len(f.servers["m1"].ExecutedRequests()), 0, "the stream went on at another version")
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Equal(t, got.body, restOfStream("s"))
		})
	}
}

// TestStreamNameWithoutEventIsIgnored guards against a request that names a stream, but begins
// anew, replacing what is known of that stream.
func TestStreamNameWithoutEventIsIgnored(t *testing.T) {
	f := newFleet(t)
	f.putConfig()
	began := f.startBreakingServer("m5", "v1", nil)
	e := f.startEntry("e1", 0).waitReady().waitRegistered()
	f.waitServers(1, e)
	e.beginStream("r", func() {
		f.startVersion("m1", "v2")
		f.startVersion("m9", "v1")
		f.putServerRecord("model", "m5", began.Address(), true)
		f.waitServers(2, e)
	})
	// Servers of a version that the store does not hold yet begin no streams.
	anew := 0
	eventually(t, "a new stream begins at another version", func() bool {
		anew++
		call := keyedCall(standin.PathResumable, fmt.Sprint("s", anew), "key-1")
		call.extraHeader = http.Header{}
		standin.SetResumes(call.extraHeader, "r", "")
		assert.NilError(t, e.do(call).err)
		return len(f.servers["m1"].ExecutedRequests()) == 1
	})
	assert.Equal(t, e.do(resumeCall("u", "r")).body, restOfStream("u"))
	assert.Equal(t, len(f.servers["m1"].ExecutedRequests()), 1)
}

// TestUnknownStreamIsResumedOnlyAmongOneVersion guards against a guess: if no entry knows
// which version began a stream, it goes on only if all servers run the same one.
func TestUnknownStreamIsResumedOnlyAmongOneVersion(t *testing.T) {
	for _, version := range []string{"v1", "v2"} {
		t.Run("v1 and "+version, func(t *testing.T) {
			f := newFleet(t)
			f.putConfig()
			f.startVersion("m1", "v1")
			f.startVersion("m2", version)
			e := f.startEntry("e1", 0).waitReady().waitRegistered()
			f.waitServers(2, e)
			got := e.do(resumeCall("s", "unknown"))
			assert.NilError(t, got.err)
			if version == "v1" {
				assert.Equal(t, got.body, restOfStream("s"))
				return
			}
			assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
			assert.Assert(t, got.header.Get("Retry-After") != "")
			assert.Equal(t, len(f.servers["m1"].ExecutedRequests())+len(f.servers["m2"].ExecutedRequests()), 0)
		})
	}
}
