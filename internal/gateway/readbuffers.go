package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/readbuffer"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// slowDrainTime is the time for the rest of its data from which a reader is ended for the sake of
// new data. A reader of 16 MiB that has just begun counts as one of 4 s.
const slowDrainTime = 10 * time.Second

// unlimited is for readers whose data is bounded by a budget.
var unlimited = readbuffer.Limits{Total: math.MaxInt64, PerStream: math.MaxInt64}

// errSlowReader marks the end of data whose reader was the slowest relative to its size when
// the memory for all of them was exhausted.
var errSlowReader = errors.New("read most slowly while the memory for buffers is exhausted")

// readBuffers accounts for the data that waits for readers of one kind, and ends the slowest
// of them when their memory is exhausted. It is safe for concurrent use.
type readBuffers struct {
	// kind names the readers in log lines and metrics.
	kind string
	// ended counts the readers that were ended, held is the number of bytes that wait, and paused counts
	// the time for which a stream at its own bound was not read.
	ended  tally.Counter
	held   tally.Gauge
	paused tally.Counter

	mu   sync.Mutex
	pool *readbuffer.Pool
	// readers are those that have joined and were not ended.
	readers map[*readbuffer.Stream]*bufferedReader
}

// bufferedReader is one reader of readBuffers.
type bufferedReader struct {
	buffers *readBuffers
	stream  *readbuffer.Stream
	log     logr.Logger
	// release, if set, is called first when the reader is ended, end in its own goroutine. The
	// data no longer counts.
	release func()
	end     func(error)
}

// endSlowest ends the slowest reader that takes at least slowDrainTime for what it holds, and
// reports whether there was one.
func (b *readBuffers) endSlowest() bool {
	ended := false
	b.change(func(now time.Duration) (readbuffer.Verdict, []*readbuffer.Stream) {
		s := b.pool.EndSlowest(now, slowDrainTime)
		if s == nil {
			return readbuffer.Granted, nil
		}
		ended = true
		return readbuffer.Granted, []*readbuffer.Stream{s}
	})
	return ended
}

// endedReader is a reader that was ended, with what decided it.
type endedReader struct {
	*bufferedReader
	held      int64
	rate      float64
	drainTime time.Duration
}

func newReadBuffers(kind string, limits readbuffer.Limits, scope tally.Scope) *readBuffers {
	scope = scope.Tagged(map[string]string{"kind": kind})
	return &readBuffers{
		kind: kind, ended: scope.Counter("slow_readers_ended"), held: scope.Gauge("buffered_bytes"), paused: scope.Counter("buffer_pauses"),
		pool: readbuffer.NewPool(limits), readers: map[*readbuffer.Stream]*bufferedReader{},
	}
}

// join adds a reader without data. It must leave.
func (b *readBuffers) join(log logr.Logger, release func(), end func(error)) *bufferedReader {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &bufferedReader{buffers: b, stream: b.pool.Join(clock.Now()), log: log, release: release, end: end}
	b.readers[r.stream] = r
	return r
}

// leave removes a reader and its data.
func (r *bufferedReader) leave() {
	b := r.buffers
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pool.Leave(r.stream)
	delete(b.readers, r.stream)
	b.reportHeld()
}

// reserve reserves n bytes within the bound of the reader.
func (r *bufferedReader) reserve(n int) readbuffer.Verdict {
	return r.buffers.change(func(now time.Duration) (readbuffer.Verdict, []*readbuffer.Stream) {
		return r.buffers.pool.Reserve(now, r.stream, int64(n))
	})
}

// resize changes the bytes that the reader holds by n, whatever its bound.
func (r *bufferedReader) resize(n int) readbuffer.Verdict {
	return r.buffers.change(func(now time.Duration) (readbuffer.Verdict, []*readbuffer.Stream) {
		return r.buffers.pool.Resize(now, r.stream, int64(n))
	})
}

// written records that the reader took n bytes, after which freed bytes are no longer held.
func (r *bufferedReader) written(n, freed int) {
	r.buffers.change(func(now time.Duration) (readbuffer.Verdict, []*readbuffer.Stream) {
		r.buffers.pool.Written(now, r.stream, n)
		return r.buffers.pool.Resize(now, r.stream, -int64(freed))
	})
}

// change applies a change to the pool and ends the readers that it ended. The time is read and
// the log written without the lock, which streams that are read slowly share.
func (b *readBuffers) change(apply func(now time.Duration) (readbuffer.Verdict, []*readbuffer.Stream)) readbuffer.Verdict {
	now := clock.Now()
	b.mu.Lock()
	verdict, ended := apply(now)
	readers := make([]endedReader, len(ended))
	for i, s := range ended {
		readers[i] = endedReader{b.readers[s], s.Held(), s.Rate(now), s.DrainTime(now)}
		delete(b.readers, s)
	}
	total, count := b.pool.Held(), len(b.readers)
	b.reportHeld()
	b.mu.Unlock()
	for _, r := range readers {
		b.ended.Inc(1)
		r.log.Info("Slow reader is ended because the memory for buffers is exhausted.", "kind", b.kind, "held_bytes", r.held, "bytes_per_second", r.rate,
			"drain_time", r.drainTime, "total_bytes", total, "limit_bytes", b.pool.Limits().Total, "readers", count)
		if r.release != nil {
			r.release()
		}
		go r.end(errSlowReader)
	}
	return verdict
}

// reportHeld updates the gauge of the held bytes. The caller must hold b.mu.
func (b *readBuffers) reportHeld() { b.held.Update(float64(b.pool.Held())) }

// sleepUntil waits for a signal or the end of ctx, and returns the time waited.
func sleepUntil(ctx context.Context, signal <-chan struct{}) time.Duration {
	start := clock.Now()
	select {
	case <-signal:
	case <-ctx.Done():
	}
	return clock.Now() - start
}
