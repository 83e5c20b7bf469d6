// Package engine is the stand-in for a streaming model engine. It simulates continuous
// batching with a limited token rate, priorities, a bounded prefix cache, and KV cache
// export and import. Streams can be resumed and cancelled. Load reports and cache
// events can lag, cache events can be lost, and the check of fencing numbers in orders
// can be switched off.
package engine

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

// Config configures an engine.
type Config struct {
	Name string
	// TokensPerSecond is shared by all running streams; 0 means 2000.
	TokensPerSecond float64
	// StreamTokensPerSecond limits each stream; 0 means 200.
	StreamTokensPerSecond float64
	// Slots is the number of streams that run at a time; 0 means 16.
	Slots int
	// PrefillTime is the time before the first token of an input whose prefix is not
	// cached; 0 means 40 ms. The prefill of a cached prefix takes a quarter of it.
	PrefillTime time.Duration
	// MaxCachedPrefixes limits the prefix cache; 0 means 32.
	MaxCachedPrefixes int
	// Models lists the loaded models. If it is empty, the engine accepts every model.
	Models []string
	Faults standin.Faults
	// Sink receives the execution records; it may be nil.
	Sink io.Writer
}

const (
	defaultTokensPerSecond       = 2000
	defaultStreamTokensPerSecond = 200
	defaultSlots                 = 16
	defaultPrefillTime           = 40 * time.Millisecond
	defaultMaxCachedPrefixes     = 32
	// cachedPrefillRatio is the ratio of the prefill time of a cached prefix to PrefillTime.
	cachedPrefillRatio = 0.25
	// stepInterval is the interval between two steps of the batch.
	stepInterval = 5 * time.Millisecond
	// streamRetention is how long a stream can be resumed after it ended.
	streamRetention = time.Minute
)

// engine is a simulated model engine. The mutex guards the fields below it.
type engine struct {
	conf     Config
	switches *standin.FaultSwitches
	recorder *standin.Recorder

	mu                   sync.Mutex
	streams              map[string]*stream
	waiting              []*stream
	running              []*stream
	models               []string // an empty list accepts every model
	role                 string
	highestFencingNumber uint64
	orders               []orderRequest
	cache                prefixCache
	loadSamples          []loadSample
	tokensProduced       float64
	wake                 chan struct{} // starts runBatchLoop when a stream is queued
}

// stream is one generation. It is guarded by the engine's mutex.
type stream struct {
	id           string
	executionSeq int
	priority     int
	prefix       string
	texts        []string
	// emitted is the number of texts that were generated so far.
	emitted int
	// remainingPrefill is the time left until the first token.
	remainingPrefill time.Duration
	// tokenCredit accumulates fractions of tokens between steps.
	tokenCredit float64
	outcome     standin.Outcome
	endedAt     time.Time
	changed     chan struct{}
}

// Start starts the engine on addr.
func Start(addr string, conf Config) (*standin.Server, error) {
	setDefaults(&conf)
	e := &engine{
		conf:     conf,
		switches: standin.NewFaultSwitches(conf.Faults),
		recorder: standin.NewRecorder(conf.Name, conf.Sink),
		streams:  map[string]*stream{},
		models:   conf.Models,
		cache:    newPrefixCache(conf.MaxCachedPrefixes),
		wake:     make(chan struct{}, 1),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.handleGenerate)
	mux.HandleFunc("GET /v1/streams/{id...}", e.handleResume)
	mux.HandleFunc("DELETE /v1/streams/{id...}", e.handleCancel)
	mux.HandleFunc("GET /v1/load", e.handleLoad)
	mux.HandleFunc("GET /v1/cache-events", e.handleCacheEvents)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("GET /v1/orders", e.handleListOrders)
	mux.HandleFunc("GET /v1/kv/{prefix}", e.handleExportKV)
	mux.HandleFunc("PUT /v1/kv/{prefix}", e.handleImportKV)
	srv := &standin.Server{Switches: e.switches, Recorder: e.recorder}
	if err := standin.Serve(addr, srv, mux); err != nil {
		return nil, err
	}
	go e.runBatchLoop()
	return srv, nil
}

// setDefaults replaces unset limits by their defaults.
func setDefaults(c *Config) {
	if c.TokensPerSecond <= 0 {
		c.TokensPerSecond = defaultTokensPerSecond
	}
	if c.StreamTokensPerSecond <= 0 {
		c.StreamTokensPerSecond = defaultStreamTokensPerSecond
	}
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.PrefillTime <= 0 {
		c.PrefillTime = defaultPrefillTime
	}
	if c.MaxCachedPrefixes <= 0 {
		c.MaxCachedPrefixes = defaultMaxCachedPrefixes
	}
}

// runBatchLoop steps the batch while there are waiting or running streams.
func (e *engine) runBatchLoop() {
	for range e.wake {
		lastStep := time.Now()
		for {
			time.Sleep(stepInterval)
			now := time.Now()
			if !e.step(now, now.Sub(lastStep)) {
				break
			}
			lastStep = now
		}
	}
}

// step advances all running streams by dt and reports whether any streams are waiting
// or running.
func (e *engine) step(now time.Time, dt time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	dt = time.Duration(float64(dt) / e.switches.Get().EffectiveSlowFactor())
	rate := min(e.conf.StreamTokensPerSecond, e.conf.TokensPerSecond/float64(max(1, len(e.running))))
	for _, s := range slices.Clone(e.running) {
		e.advance(s, now, dt, rate)
	}
	e.recordLoadSample(now)
	e.removeExpiredStreams(now)
	return len(e.running)+len(e.waiting) > 0
}

// admit moves waiting streams into free slots, those of the highest priority first.
func (e *engine) admit() {
	for len(e.running) < e.conf.Slots && len(e.waiting) > 0 {
		next := 0
		for i, s := range e.waiting {
			if s.priority > e.waiting[next].priority {
				next = i
			}
		}
		s := e.waiting[next]
		e.waiting = slices.Delete(e.waiting, next, next+1)
		s.remainingPrefill = e.conf.PrefillTime
		if e.cache.touch(s.prefix, time.Now(), e.switches.Get()) {
			s.remainingPrefill = time.Duration(float64(s.remainingPrefill) * cachedPrefillRatio)
		}
		e.running = append(e.running, s)
	}
}

// advance spends dt on the prefill of a stream and then on generating tokens.
func (e *engine) advance(s *stream, now time.Time, dt time.Duration, rate float64) {
	if s.remainingPrefill > 0 {
		prefillTime := min(s.remainingPrefill, dt)
		s.remainingPrefill -= prefillTime
		dt -= prefillTime
	}
	s.tokenCredit += dt.Seconds() * rate
	n := min(int(s.tokenCredit), len(s.texts)-s.emitted)
	if n > 0 {
		s.tokenCredit -= float64(n)
		s.emitted += n
		e.tokensProduced += float64(n)
		s.notify()
	}
	if s.emitted == len(s.texts) {
		e.finish(s, standin.Completed, now)
	}
}

// finish removes a stream from the batch and records its outcome. The stream remains
// available to clients that resume it until streamRetention has passed.
func (e *engine) finish(s *stream, outcome standin.Outcome, now time.Time) {
	isSameStream := func(o *stream) bool { return o == s }
	e.running = slices.DeleteFunc(e.running, isSameStream)
	e.waiting = slices.DeleteFunc(e.waiting, isSameStream)
	s.outcome, s.endedAt = outcome, now
	outputBytes := 0
	for _, t := range s.texts[:s.emitted] {
		outputBytes += len(t)
	}
	e.recorder.End(s.executionSeq, outcome, outputBytes, s.emitted)
	s.notify()
}

// removeExpiredStreams deletes streams that ended more than streamRetention ago.
func (e *engine) removeExpiredStreams(now time.Time) {
	for id, s := range e.streams {
		if s.outcome != standin.Started && now.Sub(s.endedAt) > streamRetention {
			delete(e.streams, id)
		}
	}
}

// notify wakes the handlers that wait for a change of the stream.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
