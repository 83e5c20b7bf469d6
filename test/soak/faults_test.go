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
	// faultPause is the mean time between the beginnings of two faults.
	faultPause = 150 * time.Millisecond
	// longestFault bounds the time that a fault lasts.
	longestFault = 1500 * time.Millisecond
	// longestDelay bounds the time by which a link delays what passes.
	longestDelay = 300 * time.Millisecond
	// drainTime is how long a server serves on after it said that it leaves.
	drainTime = 4 * time.Second
)

// injector injects faults by a seed. Faults overlap; an entry has one signal at a time.
type injector struct {
	f       *fleet
	rng     *rand.Rand
	running sync.WaitGroup
	busy    map[*entry]*sync.Mutex

	mu sync.Mutex
	// revoked holds when each key was taken away.
	revoked map[string]time.Time
	log     []string
}

func newInjector(f *fleet, seed uint64) *injector {
	in := &injector{f: f, rng: rand.New(rand.NewPCG(seed, 2)), busy: map[*entry]*sync.Mutex{}, revoked: map[string]time.Time{}}
	for _, e := range f.entries {
		in.busy[e] = &sync.Mutex{}
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
	{"store away", 2, (*injector).storeAway},
	{"store loses answers", 1, (*injector).storeLoses},
	{"store compacted", 1, (*injector).storeCompacted},
	{"server misbehaves", 3, (*injector).misbehave},
	{"server replaced", 2, (*injector).replace},
	{"server leaves", 2, (*injector).leave},
	{"key added", 4, (*injector).addKey},
	{"key taken away", 4, (*injector).revoke},
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
				in.start(f, time.Since(begin))
				break
			}
		}
		time.Sleep(time.Duration(in.rng.Int64N(int64(2 * faultPause))))
	}
	in.running.Wait()
}

func (in *injector) start(f fault, at time.Duration) {
	what, run := f.inject(in, time.Duration(in.rng.Int64N(int64(longestFault))))
	in.mu.Lock()
	in.log = append(in.log, fmt.Sprintf("%6d ms %s %s", at.Milliseconds(), f.name, what))
	in.mu.Unlock()
	in.running.Go(run)
}

func (in *injector) anyEntry() *entry { return in.f.entries[in.rng.IntN(len(in.f.entries))] }

func (in *injector) anyServer() *server {
	in.f.mu.Lock()
	defer in.f.mu.Unlock()
	n := in.rng.IntN(len(in.f.servers))
	for _, s := range in.f.all {
		if in.f.servers[s.ID] == nil {
			continue
		}
		if n == 0 {
			return in.f.servers[s.ID]
		}
		n--
	}
	panic("no server")
}

// anyLink returns a link to an entry, between entries, to the store or to a server.
func (in *injector) anyLink() (*harness.Relay, string) {
	e := in.anyEntry()
	switch in.rng.IntN(4) {
	case 0:
		return e.clients, "callers to " + e.name
	case 1:
		return e.store, e.name + " to the store"
	case 2:
		return e.peers, "entries to " + e.name
	}
	s := in.anyServer()
	return s.link, "entries to " + s.ID
}

func (in *injector) delay(lasts time.Duration) (string, func()) {
	l, name := in.anyLink()
	by := time.Duration(in.rng.Int64N(int64(longestDelay)))
	return name, func() {
		l.Delay(by)
		time.Sleep(lasts)
		l.Delay(-by)
	}
}

func (in *injector) reset(time.Duration) (string, func()) {
	l, name := in.anyLink()
	return name, l.Reset
}

func (in *injector) silence(lasts time.Duration) (string, func()) {
	l, name := in.anyLink()
	ways := [][]harness.Way{{harness.Up}, {harness.Down}, {harness.Up, harness.Down}}[in.rng.IntN(3)]
	return fmt.Sprint(name, " ", ways), func() {
		l.SetSilent(true, ways...)
		time.Sleep(lasts)
		l.SetSilent(false, ways...)
	}
}

// signalled runs f alone with the signals of an entry.
func (in *injector) signalled(e *entry, f func()) func() {
	return func() {
		in.busy[e].Lock()
		defer in.busy[e].Unlock()
		f()
	}
}

func (in *injector) kill(lasts time.Duration) (string, func()) {
	e := in.anyEntry()
	return e.name, in.signalled(e, func() { e.killFor(lasts) })
}

// killFor kills the process and starts it again later.
func (e *entry) killFor(d time.Duration) {
	p, _ := e.now()
	p.Kill()
	time.Sleep(d)
	e.start()
}

func (in *injector) killAll(lasts time.Duration) (string, func()) {
	return "", func() {
		var all sync.WaitGroup
		for _, e := range in.f.entries {
			all.Go(in.signalled(e, func() { e.killFor(lasts) }))
		}
		all.Wait()
	}
}

func (in *injector) pause(lasts time.Duration) (string, func()) {
	e := in.anyEntry()
	return e.name, in.signalled(e, func() {
		p, _ := e.now()
		_ = p.Freeze()
		time.Sleep(2 * lasts)
		_ = p.Thaw()
	})
}

func (in *injector) stop(lasts time.Duration) (string, func()) {
	e := in.anyEntry()
	return e.name, in.signalled(e, func() {
		p, _ := e.now()
		_ = p.Terminate()
		<-p.Exited()
		time.Sleep(lasts)
		e.start()
	})
}

func (in *injector) reload(time.Duration) (string, func()) {
	e := in.anyEntry()
	return e.name, in.signalled(e, func() {
		// Before it listens, the process may not have begun to take signals.
		e.waitAnswers()
		p, _ := e.now()
		_ = p.Reload()
	})
}

func (in *injector) storeAway(lasts time.Duration) (string, func()) {
	return "", func() {
		in.f.store.SetStatusOverride(func(string) int { return http.StatusServiceUnavailable })
		time.Sleep(4 * lasts)
		in.f.store.SetStatusOverride(nil)
	}
}

func (in *injector) storeLoses(lasts time.Duration) (string, func()) {
	return "", func() {
		in.f.store.DropResponses(func(path string) bool { return strings.HasSuffix(path, "append") })
		time.Sleep(lasts)
		in.f.store.DropResponses(nil)
	}
}

func (in *injector) storeCompacted(time.Duration) (string, func()) {
	return "", func() {
		in.f.store.ExpireRecords(platform.ConfigTopic)
		in.f.store.ExpireRecords(platform.ServersTopic)
	}
}

// misbehave lets a server fail in one of several ways.
func (in *injector) misbehave(lasts time.Duration) (string, func()) {
	s := in.anyServer()
	way := misbehaviours[in.rng.IntN(len(misbehaviours))]
	return s.ID + " " + way.name, func() {
		s.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
			if way.runs && r.URL.Path != platform.StageRunPath && r.URL.Path != platform.StageFreePath {
				s.RecordRequest(r)
			}
			way.answer(w, r)
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

// succeed takes a server out of those that faults choose, and starts one in its place.
func (in *injector) succeed() *server {
	s := in.anyServer()
	in.f.mu.Lock()
	delete(in.f.servers, s.ID)
	in.f.mu.Unlock()
	in.f.add(s.service)
	return s
}

// replace lets a server crash; another one follows.
func (in *injector) replace(lasts time.Duration) (string, func()) {
	s := in.succeed()
	return s.ID, func() {
		s.CloseClientConnections()
		_ = s.Listener.Close()
		time.Sleep(lasts)
		in.f.remove(s)
	}
}

// leave lets a server leave in order; another one follows.
func (in *injector) leave(time.Duration) (string, func()) {
	s := in.succeed()
	return s.ID, func() {
		in.f.record(s, true)
		time.Sleep(drainTime)
		in.f.remove(s)
	}
}

func (in *injector) addKey(time.Duration) (string, func()) {
	name := ""
	in.f.changeKeys(func(keys []string) []string {
		name = fmt.Sprint("key-", in.f.version)
		return append(keys, name)
	})
	return name, func() {}
}

// revoke takes the oldest key away that is not the last one.
func (in *injector) revoke(time.Duration) (string, func()) {
	name := ""
	in.f.changeKeys(func(keys []string) []string {
		if len(keys) < 2 {
			return keys
		}
		name = keys[0]
		in.f.once = append(in.f.once, name)
		return append([]string(nil), keys[1:]...)
	})
	in.mu.Lock()
	defer in.mu.Unlock()
	if name != "" {
		in.revoked[name] = time.Now()
	}
	return name, func() {}
}
