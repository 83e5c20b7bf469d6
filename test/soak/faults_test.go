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
	// meanFaultInterval is the mean time between the beginnings of two faults.
	meanFaultInterval = 150 * time.Millisecond
	// maxFaultDuration bounds the time that a fault lasts.
	maxFaultDuration = 1500 * time.Millisecond
	// maxLinkDelay bounds the time by which a link delays what passes.
	maxLinkDelay = 300 * time.Millisecond
	// drainDuration is how long a server serves on after it said that it leaves.
	drainDuration = 4 * time.Second
)

// injector injects faults by a seed. Faults overlap; an entry has one signal at a time.
type injector struct {
	fleet       *fleet
	rng     *rand.Rand
	activeFaults sync.WaitGroup
	signalLocks    map[*entry]*sync.Mutex

	mu sync.Mutex
	// revokedAt holds when each key was taken away.
	revokedAt map[string]time.Time
	log     []string
}

func newInjector(f *fleet, seed uint64) *injector {
	in := &injector{fleet: f, rng: rand.New(rand.NewPCG(seed, 2)), signalLocks: map[*entry]*sync.Mutex{}, revokedAt: map[string]time.Time{}}
	for _, e := range f.entries {
		in.signalLocks[e] = &sync.Mutex{}
	}
	return in
}

// fault is one kind of fault; for lasts how long it may last.
type fault struct {
	name   string
	weight int
	inject func(in *injector, lasts time.Duration) (what string, run func())
}

var faults = []fault{
	{"delay", 3, (*injector).delay},
	{"reset", 3, (*injector).reset},
	{"silence", 3, (*injector).silence},
	{"kill", 2, (*injector).kill},
	{"kill all", 1, (*injector).killAll},
	{"pause", 2, (*injector).pause},
	{"stop", 2, (*injector).stop},
	{"reload", 1, (*injector).reload},
	{"store away", 2, (*injector).storeUnavailable},
	{"store loses answers", 1, (*injector).storeDropsResponses},
	{"store compacted", 1, (*injector).storeExpiresRecords},
	{"server misbehaves", 3, (*injector).misbehave},
	{"server replaced", 2, (*injector).crashServer},
	{"server leaves", 2, (*injector).drainServer},
	{"key added", 4, (*injector).addKey},
	{"key taken away", 4, (*injector).revokeKey},
}

// run injects faults for a time and waits until all have ended.
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

func (in *injector) startFault(f fault, at time.Duration) {
	what, run := f.inject(in, time.Duration(in.rng.Int64N(int64(maxFaultDuration))))
	in.mu.Lock()
	in.log = append(in.log, fmt.Sprintf("%6d ms %s %s", at.Milliseconds(), f.name, what))
	in.mu.Unlock()
	in.activeFaults.Go(run)
}

func (in *injector) randomEntry() *entry { return in.fleet.entries[in.rng.IntN(len(in.fleet.entries))] }

func (in *injector) randomServer() *server {
	in.fleet.mu.Lock()
	defer in.fleet.mu.Unlock()
	n := in.rng.IntN(len(in.fleet.servers))
	for _, s := range in.fleet.all {
		if in.fleet.servers[s.ID] == nil {
			continue
		}
		if n == 0 {
			return in.fleet.servers[s.ID]
		}
		n--
	}
	panic("no server")
}

// randomLink returns a link to an entry, between entries, to the store or to a server.
func (in *injector) randomLink() (*harness.Relay, string) {
	e := in.randomEntry()
	switch in.rng.IntN(4) {
	case 0:
		return e.clients, "callers to " + e.name
	case 1:
		return e.store, e.name + " to the store"
	case 2:
		return e.peers, "entries to " + e.name
	}
	s := in.randomServer()
	return s.link, "entries to " + s.ID
}

func (in *injector) delay(duration time.Duration) (string, func()) {
	l, name := in.randomLink()
	by := time.Duration(in.rng.Int64N(int64(maxLinkDelay)))
	return name, func() {
		l.AddDelay(by)
		time.Sleep(duration)
		l.AddDelay(-by)
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

// withSignalLock runs f alone with the signals of an entry.
func (in *injector) withSignalLock(e *entry, f func()) func() {
	return func() {
		in.signalLocks[e].Lock()
		defer in.signalLocks[e].Unlock()
		f()
	}
}

func (in *injector) kill(downtime time.Duration) (string, func()) {
	e := in.randomEntry()
	return e.name, in.withSignalLock(e, func() { e.killAndRestart(downtime) })
}

// killAndRestart kills the process and starts it again later.
func (e *entry) killAndRestart(d time.Duration) {
	p, _ := e.now()
	p.Kill()
	time.Sleep(d)
	e.start()
}

func (in *injector) killAll(downtime time.Duration) (string, func()) {
	return "", func() {
		var all sync.WaitGroup
		for _, e := range in.fleet.entries {
			all.Go(in.withSignalLock(e, func() { e.killAndRestart(downtime) }))
		}
		all.Wait()
	}
}

func (in *injector) pause(duration time.Duration) (string, func()) {
	e := in.randomEntry()
	return e.name, in.withSignalLock(e, func() {
		p, _ := e.now()
		_ = p.Freeze()
		time.Sleep(2 * duration)
		_ = p.Resume()
	})
}

func (in *injector) stop(downtime time.Duration) (string, func()) {
	e := in.randomEntry()
	return e.name, in.withSignalLock(e, func() {
		p, _ := e.now()
		_ = p.Terminate()
		<-p.Exited()
		time.Sleep(downtime)
		e.start()
	})
}

func (in *injector) reload(time.Duration) (string, func()) {
	e := in.randomEntry()
	return e.name, in.withSignalLock(e, func() {
		// Before it listens, the process may not have begun to take signals.
		e.waitAnswers()
		p, _ := e.now()
		_ = p.Reload()
	})
}

func (in *injector) storeUnavailable(duration time.Duration) (string, func()) {
	return "", func() {
		in.fleet.store.SetStatusOverride(func(string) int { return http.StatusServiceUnavailable })
		time.Sleep(4 * duration)
		in.fleet.store.SetStatusOverride(nil)
	}
}

func (in *injector) storeDropsResponses(lasts time.Duration) (string, func()) {
	return "", func() {
		in.fleet.store.DropResponses(func(path string) bool { return strings.HasSuffix(path, "append") })
		time.Sleep(lasts)
		in.fleet.store.DropResponses(nil)
	}
}

func (in *injector) storeExpiresRecords(time.Duration) (string, func()) {
	return "", func() {
		in.fleet.store.ExpireRecords(platform.ConfigTopic)
		in.fleet.store.ExpireRecords(platform.ServersTopic)
	}
}

// misbehave lets a server fail in one of several ways.
func (in *injector) misbehave(lasts time.Duration) (string, func()) {
	s := in.randomServer()
	misbehaviour := misbehaviours[in.rng.IntN(len(misbehaviours))]
	return s.ID + " " + misbehaviour.name, func() {
		s.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
			if misbehaviour.runs && r.URL.Path != platform.StageRunPath && r.URL.Path != platform.StageFreePath {
				s.RecordRequest(r)
			}
			misbehaviour.answer(w, r)
			return true
		})
		time.Sleep(lasts)
		s.SetHandler(nil)
	}
}

// misbehaviours are the ways in which a server misbehaves; runs tells whether it runs
// the request.
var misbehaviours = []struct {
	name   string
	runs   bool
	answer func(w http.ResponseWriter, r *http.Request)
}{
	{"hangs", true, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
	{"resets", false, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
	{"runs and resets", true, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
	{"fails", true, func(w http.ResponseWriter, _ *http.Request) {
		standin.SetSignature(w.Header(), "x")
		w.WriteHeader(http.StatusInternalServerError)
	}},
	{"did not run", false, func(w http.ResponseWriter, _ *http.Request) {
		standin.SetNotExecuted(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
	}},
	{"answers without end", true, func(w http.ResponseWriter, _ *http.Request) {
		standin.SetSignature(w.Header(), "x")
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	}},
	{"answers without a seal", true, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("anything"))
	}},
}

// startSuccessor takes a server out of those that faults choose, and starts one in its place.
func (in *injector) startSuccessor() *server {
	s := in.randomServer()
	in.fleet.mu.Lock()
	delete(in.fleet.servers, s.ID)
	in.fleet.mu.Unlock()
	in.fleet.add(s.service)
	return s
}

// crashServer lets a server crash; another one follows.
func (in *injector) crashServer(lasts time.Duration) (string, func()) {
	s := in.startSuccessor()
	return s.ID, func() {
		s.CloseClientConnections()
		_ = s.Listener.Close()
		time.Sleep(lasts)
		in.fleet.remove(s)
	}
}

// drainServer lets a server drainServer in order; another one follows.
func (in *injector) drainServer(time.Duration) (string, func()) {
	s := in.startSuccessor()
	return s.ID, func() {
		in.fleet.record(s, true)
		time.Sleep(drainDuration)
		in.fleet.remove(s)
	}
}

func (in *injector) addKey(time.Duration) (string, func()) {
	name := ""
	in.fleet.changeKeys(func(keys []string) []string {
		name = fmt.Sprint("key-", in.fleet.version)
		return append(keys, name)
	})
	return name, func() {}
}

// revokeKey takes the oldest key away that is not the last one.
func (in *injector) revokeKey(time.Duration) (string, func()) {
	name := ""
	in.fleet.changeKeys(func(keys []string) []string {
		if len(keys) < 2 {
			return keys
		}
		name = keys[0]
		in.fleet.once = append(in.fleet.once, name)
		return append([]string(nil), keys[1:]...)
	})
	in.mu.Lock()
	defer in.mu.Unlock()
	if name != "" {
		in.revokedAt[name] = time.Now()
	}
	return name, func() {}
}
