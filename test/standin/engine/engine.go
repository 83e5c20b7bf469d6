// Package engine is the stand-in for a streaming model engine: continuous
// batching with a bounded token rate, a bounded prefix cache, priorities, resume
// and cancel of streams, late load reports, late cache events with gaps, orders
// with or without a check of fencing numbers, and KV cache export and import.
package engine

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

// Config sets up an engine.
type Config struct {
	Name string
	// TokensPerSecond is shared by the running streams; 0 means 2000.
	TokensPerSecond float64
	// StreamTokensPerSecond bounds one stream; 0 means 200.
	StreamTokensPerSecond float64
	// Slots is the number of streams that run at a time; 0 means 16.
	Slots int
	// Prefill is the time before the first token of an input whose prefix is not
	// cached; 0 means 40 ms. A cached prefix takes a quarter of it.
	Prefill time.Duration
	// CachePrefixes bounds the prefix cache; 0 means 32.
	CachePrefixes int
	// Models lists what is loaded; empty accepts every model.
	Models []string
	Faults standin.Faults
	// Sink gets the record of executions; it may be nil.
	Sink io.Writer
}

const (
	defaultRate       = 2000
	defaultStreamRate = 200
	defaultSlots      = 16
	defaultPrefill    = 40 * time.Millisecond
	defaultPrefixes   = 32
	cachedShare       = 0.25
	stepInterval      = 5 * time.Millisecond
	streamRetention   = time.Minute
)

type engine struct {
	conf     Config
	switches *standin.Switches
	recorder *standin.Recorder

	mu       sync.Mutex
	streams  map[string]*stream
	waiting  []*stream
	running  []*stream
	models   []string
	role     string
	fence    uint64
	orders   []orderRequest
	cache    prefixCache
	samples  []loadSample
	produced float64
	wake     chan struct{}
}

// stream is one generation. It is guarded by the engine's mutex.
type stream struct {
	id       string
	seq      int
	priority int
	prefix   string
	texts    []string
	// emitted is how many texts are out.
	emitted int
	// prefill is the work left before the first token.
	prefill time.Duration
	credit  float64
	outcome standin.Outcome
	ended   time.Time
	changed chan struct{}
}

// Start serves the engine on addr.
func Start(addr string, conf Config) (*standin.Server, error) {
	fill(&conf)
	e := &engine{
		conf:     conf,
		switches: standin.NewSwitches(conf.Faults),
		recorder: standin.NewRecorder(conf.Name, conf.Sink),
		streams:  map[string]*stream{},
		models:   conf.Models,
		cache:    newPrefixCache(conf.CachePrefixes),
		wake:     make(chan struct{}, 1),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.generate)
	mux.HandleFunc("GET /v1/streams/{id...}", e.resume)
	mux.HandleFunc("DELETE /v1/streams/{id...}", e.cancel)
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("GET /v1/cache-events", e.cacheEvents)
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("GET /v1/orders", e.listOrders)
	mux.HandleFunc("GET /v1/kv/{prefix}", e.exportKV)
	mux.HandleFunc("PUT /v1/kv/{prefix}", e.importKV)
	srv := &standin.Server{Switches: e.switches, Recorder: e.recorder}
	if err := standin.Serve(addr, srv, mux); err != nil {
		return nil, err
	}
	go e.loop()
	return srv, nil
}

func fill(c *Config) {
	if c.TokensPerSecond <= 0 {
		c.TokensPerSecond = defaultRate
	}
	if c.StreamTokensPerSecond <= 0 {
		c.StreamTokensPerSecond = defaultStreamRate
	}
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.Prefill <= 0 {
		c.Prefill = defaultPrefill
	}
	if c.CachePrefixes <= 0 {
		c.CachePrefixes = defaultPrefixes
	}
}

// loop advances the batch while there are streams.
func (e *engine) loop() {
	for range e.wake {
		last := time.Now()
		for {
			time.Sleep(stepInterval)
			now := time.Now()
			if !e.step(now, now.Sub(last)) {
				break
			}
			last = now
		}
	}
}

// step advances all running streams by dt and tells whether any is left.
func (e *engine) step(now time.Time, dt time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	dt = time.Duration(float64(dt) / e.switches.Get().Factor())
	rate := min(e.conf.StreamTokensPerSecond, e.conf.TokensPerSecond/float64(max(1, len(e.running))))
	for _, s := range slices.Clone(e.running) {
		e.advance(s, now, dt, rate)
	}
	e.sample(now)
	e.expire(now)
	return len(e.running)+len(e.waiting) > 0
}

// admit fills the batch with the waiting streams of the highest priority.
func (e *engine) admit() {
	for len(e.running) < e.conf.Slots && len(e.waiting) > 0 {
		best := 0
		for i, s := range e.waiting {
			if s.priority > e.waiting[best].priority {
				best = i
			}
		}
		s := e.waiting[best]
		e.waiting = slices.Delete(e.waiting, best, best+1)
		s.prefill = e.conf.Prefill
		if e.cache.touch(s.prefix, time.Now(), e.switches.Get()) {
			s.prefill = time.Duration(float64(s.prefill) * cachedShare)
		}
		e.running = append(e.running, s)
	}
}

func (e *engine) advance(s *stream, now time.Time, dt time.Duration, rate float64) {
	if s.prefill > 0 {
		spent := min(s.prefill, dt)
		s.prefill -= spent
		dt -= spent
	}
	s.credit += dt.Seconds() * rate
	n := min(int(s.credit), len(s.texts)-s.emitted)
	if n > 0 {
		s.credit -= float64(n)
		s.emitted += n
		e.produced += float64(n)
		s.notify()
	}
	if s.emitted == len(s.texts) {
		e.finish(s, standin.Completed, now)
	}
}

func (e *engine) finish(s *stream, outcome standin.Outcome, now time.Time) {
	same := func(o *stream) bool { return o == s }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	s.outcome, s.ended = outcome, now
	size := 0
	for _, t := range s.texts[:s.emitted] {
		size += len(t)
	}
	e.recorder.End(s.seq, outcome, size, s.emitted)
	s.notify()
}

func (e *engine) expire(now time.Time) {
	for id, s := range e.streams {
		if s.outcome != standin.Started && now.Sub(s.ended) > streamRetention {
			delete(e.streams, id)
		}
	}
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
