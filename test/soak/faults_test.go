package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
)

const (
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 150 * time.Millisecond
	// maxFaultDuration limits the duration that is drawn for a fault. Some faults multiply
	// it.
	maxFaultDuration = 1500 * time.Millisecond
	// maxLinkDelay limits the delay that a fault adds to a connection.
	maxLinkDelay = 300 * time.Millisecond
	// drainDuration is how long a server keeps serving after its record is marked as
	// draining.
	drainDuration = 4 * time.Second
)

// injector injects faults drawn from a seeded random source. Faults overlap, but each entry
// is subject to one process fault, such as a kill or a pause, at a time.
type injector struct {
	fleet        *fleet
	rng          *rand.Rand
	activeFaults sync.WaitGroup
	// processLocks serialize the process faults of each entry.
	processLocks map[*entry]*sync.Mutex

	mu sync.Mutex
	// revokedAt is the time at which each key was revoked.
	revokedAt map[string]time.Time
	log       []string
}

func newInjector(f *fleet, seed uint64) *injector {
	in := &injector{fleet: f, rng: rand.New(rand.NewPCG(seed, 2)), processLocks: map[*entry]*sync.Mutex{}, revokedAt: map[string]time.Time{}}
	for _, e := range f.entries {
		in.processLocks[e] = &sync.Mutex{}
	}
	return in
}

// fault is a kind of fault that is drawn in proportion to its weight. inject returns a
// description of the fault and a function that runs it until it has ended.
type fault struct {
	name   string
	weight int
	inject func(in *injector, duration time.Duration) (description string, run func())
}

var faults = []fault{
	{"delay", 3, (*injector).delay},
	{"reset", 3, (*injector).reset},
	{"silence", 3, (*injector).silence},
	{"kill entry", 2, (*injector).kill},
	{"kill all entries", 1, (*injector).killAll},
	{"pause entry", 2, (*injector).pause},
	{"terminate entry", 2, (*injector).terminate},
	{"reload entry", 1, (*injector).reload},
	{"store unavailable", 2, (*injector).storeUnavailable},
	{"store drops responses to appends", 1, (*injector).storeDropsResponses},
	{"store expires records", 1, (*injector).storeExpiresRecords},
	{"store is restored from a copy", 2, (*injector).storeRestored},
	{"server misbehaves", 3, (*injector).misbehave},
	{"server breaks off answers without a length", 3, (*injector).breakOff},
	{"server crashes", 2, (*injector).crashServer},
	{"server drains", 2, (*injector).drainServer},
	{"key added", 4, (*injector).addKey},
	{"key revoked", 4, (*injector).revokeKey},
}

// run injects faults for the duration d and waits until all of them have ended.
func (in *injector) run(d time.Duration) {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	begin := time.Now()
	for time.Since(begin) < d {
		n := in.rng.IntN(total)
		for _, f := range faults {
			if n -= f.weight; n < 0 {
				in.startFault(f, time.Since(begin))
				break
			}
		}
		time.Sleep(time.Duration(in.rng.Int64N(int64(2 * meanFaultInterval))))
	}
	in.activeFaults.Wait()
}

func (in *injector) startFault(f fault, elapsed time.Duration) {
	description, run := f.inject(in, time.Duration(in.rng.Int64N(int64(maxFaultDuration))))
	in.mu.Lock()
	in.log = append(in.log, fmt.Sprintf("%6d ms %s %s", elapsed.Milliseconds(), f.name, description))
	in.mu.Unlock()
	in.activeFaults.Go(run)
}

func (in *injector) randomEntry() *entry { return in.fleet.entries[in.rng.IntN(len(in.fleet.entries))] }

// randomServer returns a random one of the active servers.
func (in *injector) randomServer() *server {
	in.fleet.mu.Lock()
	defer in.fleet.mu.Unlock()
	n := in.rng.IntN(len(in.fleet.activeServers))
	for _, s := range in.fleet.allServers {
		if in.fleet.activeServers[s.ID] == nil {
			continue
		}
		if n == 0 {
			return in.fleet.activeServers[s.ID]
		}
		n--
	}
	panic("no active server")
}

// randomLink returns the relay in front of an entry's client port, the store, an entry's
// peer port or a server, and a description of it.
func (in *injector) randomLink() (*harness.Relay, string) {
	e := in.randomEntry()
	switch in.rng.IntN(4) {
	case 0:
		return e.clientRelay, "clients to " + e.name
	case 1:
		return e.storeRelay, e.name + " to the store"
	case 2:
		return e.peerRelay, "entries to " + e.name
	}
	s := in.randomServer()
	return s.relay, "entries to " + s.ID
}

func (in *injector) delay(duration time.Duration) (string, func()) {
	l, name := in.randomLink()
	extra := time.Duration(in.rng.Int64N(int64(maxLinkDelay)))
	return name, func() {
		l.AddDelay(extra)
		time.Sleep(duration)
		l.AddDelay(-extra)
	}
}

func (in *injector) reset(time.Duration) (string, func()) {
	l, name := in.randomLink()
	return name, l.Reset
}

func (in *injector) silence(duration time.Duration) (string, func()) {
	l, name := in.randomLink()
	directions := [][]harness.Direction{{harness.Upstream}, {harness.Downstream}, {harness.Upstream, harness.Downstream}}[in.rng.IntN(3)]
	return fmt.Sprint(name, " ", directions), func() {
		l.SetSilent(true, directions...)
		time.Sleep(duration)
		l.SetSilent(false, directions...)
	}
}

// withProcessLock returns a function that runs f while no other process fault affects the
// entry.
func (in *injector) withProcessLock(e *entry, f func()) func() {
	return func() {
		in.processLocks[e].Lock()
		defer in.processLocks[e].Unlock()
		f()
	}
}

func (in *injector) kill(downtime time.Duration) (string, func()) {
	e := in.randomEntry()
	return e.name, in.withProcessLock(e, func() { e.killAndRestart(downtime) })
}

// killAndRestart kills the process and starts it again after the downtime.
func (e *entry) killAndRestart(downtime time.Duration) {
	p, _ := e.currentProcess()
	p.Kill()
	time.Sleep(downtime)
	e.start()
}

func (in *injector) killAll(downtime time.Duration) (string, func()) {
	return "", func() {
		var wg sync.WaitGroup
		for _, e := range in.fleet.entries {
			wg.Go(in.withProcessLock(e, func() { e.killAndRestart(downtime) }))
		}
		wg.Wait()
	}
}

func (in *injector) pause(duration time.Duration) (string, func()) {
	e := in.randomEntry()
	return e.name, in.withProcessLock(e, func() {
		p, _ := e.currentProcess()
		_ = p.Freeze()
		time.Sleep(2 * duration)
		_ = p.Resume()
	})
}

func (in *injector) terminate(downtime time.Duration) (string, func()) {
	e := in.randomEntry()
	return e.name, in.withProcessLock(e, func() {
		p, _ := e.currentProcess()
		_ = p.Terminate()
		<-p.Exited()
		time.Sleep(downtime)
		e.start()
	})
}

func (in *injector) reload(time.Duration) (string, func()) {
	e := in.randomEntry()
	return e.name, in.withProcessLock(e, func() {
		// A process that does not listen yet may not handle signals yet either.
		e.waitUntilResponding()
		p, _ := e.currentProcess()
		_ = p.Reload()
	})
}

// storeUnavailable makes the store answer every request with 503.
func (in *injector) storeUnavailable(duration time.Duration) (string, func()) {
	return "", func() {
		in.fleet.store.SetStatusOverride(func(string) int { return http.StatusServiceUnavailable })
		time.Sleep(4 * duration)
		in.fleet.store.SetStatusOverride(nil)
	}
}

// storeDropsResponses makes the store execute appends and close the connections without a
// response.
func (in *injector) storeDropsResponses(duration time.Duration) (string, func()) {
	return "", func() {
		in.fleet.store.DropResponses(func(path string) bool { return strings.HasSuffix(path, "append") })
		time.Sleep(duration)
		in.fleet.store.DropResponses(nil)
	}
}

// storeExpiresRecords removes the records of the configuration and of the servers from the
// log that entries read by offset.
func (in *injector) storeExpiresRecords(time.Duration) (string, func()) {
	return "", func() {
		in.fleet.store.ExpireRecords(platform.ConfigTopic)
		in.fleet.store.ExpireRecords(platform.ServersTopic)
	}
}

// storeRestored restores the store from a copy that is up to maxFaultDuration old. The
// operator and the servers write again a little later.
func (in *injector) storeRestored(age time.Duration) (string, func()) {
	rewriteDelay := time.Duration(in.rng.Int64N(int64(time.Second)))
	return "", func() {
		older := in.fleet.store.Copy()
		time.Sleep(age)
		in.fleet.store.Restore(older)
		time.Sleep(rewriteDelay)
		in.fleet.rewriteRecords()
	}
}

// misbehave makes a server answer requests in one of the ways listed in misbehaviours.
func (in *injector) misbehave(duration time.Duration) (string, func()) {
	m := misbehaviours[in.rng.IntN(len(misbehaviours))]
	s := in.randomServer()
	return s.ID + " " + m.name, func() { m.apply(s, duration) }
}

// breakOff makes a server break off its answers, which end with their connections.
func (in *injector) breakOff(duration time.Duration) (string, func()) {
	s := in.randomServer()
	return s.ID, func() { misbehaviour{executes: true, answer: s.breakOffUntilClose}.apply(s, duration) }
}

// misbehaviour is a way in which a server misbehaves. If executes is set, the server
// records the request as executed.
type misbehaviour struct {
	name     string
	executes bool
	answer   func(w http.ResponseWriter, r *http.Request)
}

// apply makes a server misbehave for the given time.
func (m misbehaviour) apply(s *server, duration time.Duration) {
	s.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		if m.executes && r.URL.Path != platform.StageRunPath && r.URL.Path != platform.StageFreePath {
			s.RecordRequest(r)
		}
		m.answer(w, r)
		return true
	})
	time.Sleep(duration)
	s.SetHandler(nil)
}

var misbehaviours = []misbehaviour{
	{"hangs", true, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
	{"resets", false, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
	{"executes and resets", true, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
	{"returns 500", true, func(w http.ResponseWriter, _ *http.Request) {
		standin.SetSignature(w.Header(), "x")
		w.WriteHeader(http.StatusInternalServerError)
	}},
	{"reports not executed", false, func(w http.ResponseWriter, _ *http.Request) {
		standin.SetNotExecuted(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
	}},
	{"wants no requests for a time", false, func(w http.ResponseWriter, _ *http.Request) { standin.Refuse(w, "0.7") }},
	{"truncates the answer", true, func(w http.ResponseWriter, _ *http.Request) {
		standin.SetSignature(w.Header(), "x")
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	}},
	{"omits the signature", true, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("anything"))
	}},
}

// breakOffUntilClose breaks off an answer that ends with its connection: after an event of a
// stream and a part of the next, or within the JSON of a stage call. For other answers it resets the connection,
// since nothing else would show the break.
func (s *server) breakOffUntilClose(w http.ResponseWriter, r *http.Request) {
	standin.SetSignature(w.Header(), "x")
	switch r.URL.Path {
	case standin.PathStream, standin.PathResumable:
		standin.SetUntilClose(w.Header())
		w.Header().Set("Content-Type", "text/event-stream")
		next := standin.LastEventID(r.Header) + 1
		_, _ = fmt.Fprintf(w, "%sid: %d\nda", s.Event(next, standin.RequestID(r.Header)), next+1)
	case platform.StageRunPath:
		standin.SetUntilClose(w.Header())
		_, _ = w.Write([]byte(`{"items":[{"handle":"h`))
	default:
		standin.ResetUntilClose(w, "x", "half")
	}
}

// startSuccessor excludes a random server from further faults, starts another server of the
// same service, and returns the excluded one.
func (in *injector) startSuccessor() *server {
	s := in.randomServer()
	in.fleet.mu.Lock()
	delete(in.fleet.activeServers, s.ID)
	in.fleet.mu.Unlock()
	in.fleet.addServer(s.service)
	return s
}

// crashServer ends a server abruptly after a successor has started. Its record is removed
// later.
func (in *injector) crashServer(duration time.Duration) (string, func()) {
	s := in.startSuccessor()
	return s.ID, func() {
		s.CloseClientConnections()
		_ = s.Listener.Close()
		time.Sleep(duration)
		in.fleet.removeServer(s)
	}
}

// drainServer drains a server after a successor has started: its record is marked as
// draining, and removed once drainDuration has passed.
func (in *injector) drainServer(time.Duration) (string, func()) {
	s := in.startSuccessor()
	return s.ID, func() {
		s.SetHandler(func(w http.ResponseWriter, _ *http.Request) bool {
			standin.SetLeaving(w.Header())
			return false
		})
		in.fleet.putServerRecord(s, true)
		time.Sleep(drainDuration)
		in.fleet.removeServer(s)
	}
}

// addKey adds an API key in a new version of the configuration.
func (in *injector) addKey(time.Duration) (string, func()) {
	name := ""
	in.fleet.updateKeys(func(keys []string) []string {
		name = fmt.Sprint("key-", in.fleet.configVersion)
		return append(keys, name)
	})
	return name, func() {}
}

// revokeKey removes the oldest API key in a new version of the configuration, unless it is
// the only one.
func (in *injector) revokeKey(time.Duration) (string, func()) {
	name := ""
	in.fleet.updateKeys(func(keys []string) []string {
		if len(keys) < 2 {
			return keys
		}
		name = keys[0]
		in.fleet.revokedKeys = append(in.fleet.revokedKeys, name)
		return append([]string(nil), keys[1:]...)
	})
	in.mu.Lock()
	defer in.mu.Unlock()
	if name != "" {
		in.revokedAt[name] = time.Now()
	}
	return name, func() {}
}
