package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/claims"
	"github.com/magnoliawheel/magnoliawheel/core/fairqueue"
	"github.com/magnoliawheel/magnoliawheel/core/ledger"
	"github.com/magnoliawheel/magnoliawheel/core/limit"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/engine"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/internal/telemetry"
)

// Bounds of the work in hand.
const (
	// defaultConcurrency and defaultQueue apply while no schema is in force.
	defaultConcurrency = 8
	defaultQueue       = 64
	// defaultRetention applies while no schema is in force.
	defaultRetention = 30 * time.Second
	// tombstoneRetention outlasts the longest budget and the longest idle time of
	// a connection, so that no copy of a Run can arrive after it.
	tombstoneRetention = 15 * time.Minute
	replayRetention    = time.Minute
	maxRemembered      = 1 << 16
	// reserveBytes is the memory set aside for the result of a plain call, and
	// tokenBytes for each token of a generation.
	reserveBytes = 4 << 10
	tokenBytes   = 8
	// expireInterval is the time between two sweeps for what expired.
	expireInterval = 250 * time.Millisecond
	// logInterval is the least time between two lines of one message about a fault.
	logInterval = 10 * time.Second
	// sweepInterval is the time between two sweeps for keys that are too old.
	sweepInterval = time.Minute
)

// task is the process's part of an attempt that the ledger holds.
type task struct {
	id       ledger.ID
	req      *wire.RunRequest
	deadline time.Time
	accepted time.Time
	began    time.Time
	ended    time.Time
	tokens   uint64
	checksum *xxhash.Digest
	// cancel stops the call at the server; nil while it does not run.
	cancel  context.CancelFunc
	readers map[chan struct{}]struct{}
	// preparing is set before the task is queued, claiming while the claim of its
	// key is not settled; claim is the one that holds.
	preparing, claiming bool
	claim               *claims.Record

	fetchedBytes  uint64
	fetchedRegion string
}

// work holds the calls in hand: those that wait, those at the server, and the
// results that wait for their acknowledgement.
type work struct {
	p   *Process
	log logr.Logger
	// limited is for lines that a fault may repeat.
	limited *telemetry.RateLimitedLogger
	model   *engine.ModelClient
	plain   *engine.ServiceClient
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu     sync.Mutex
	ledger *ledger.Ledger
	queue  *fairqueue.Queue
	// queueLimit bounds the queue, and the tasks that are being prepared.
	queueLimit int
	limiter    *limit.Limiter
	tasks      map[ledger.ID]*task
	claims     *claimer
	// held holds the keys that attempts of this process hold.
	held    map[claims.Key]heldKey
	running int
	// preparing is the number of tasks that wait for their input or their claim.
	preparing int
	leaving   leavingReason
	// timing is the smoothed time at the server.
	timing timing
	models modelList
	// changed is signalled when work ends or a result is acknowledged.
	changed chan struct{}
}

func newWork(p *Process) *work {
	ctx, cancel := context.WithCancel(context.Background())
	return &work{
		p: p, log: p.log.WithName("work"), limited: telemetry.NewRateLimitedLogger(p.log.WithName("work"), logInterval), ctx: ctx, cancel: cancel,
		model: engine.NewModelClient(p.settings.Server.URL),
		plain: engine.NewServiceClient(p.settings.Server.URL),
		ledger: ledger.New(ledger.Options{
			MaxBytes: p.settings.Limits.KeptBytes, ResultRetention: defaultRetention,
			TombstoneRetention: tombstoneRetention, ReplayRetention: replayRetention, MaxClosedAttempts: maxRemembered,
		}),
		queue:      fairqueue.New(fairqueue.Policy(p.settings.Limits.QueuePolicy), defaultQueue),
		queueLimit: defaultQueue,
		limiter:    limit.New(limit.Options{Min: 1, Max: defaultConcurrency}),
		tasks:      map[ledger.ID]*task{},
		changed:    make(chan struct{}, 1),
		claims:     newClaimer(ctx, p.log, p.plog),
		held:       map[claims.Key]heldKey{},
	}
}

// applyConfig takes the bounds of the schema in force. The caller holds mu.
func (w *work) applyConfig() {
	s := w.p.config.Current().Schema
	if s == nil {
		return
	}
	if d := s.Limits.ResultRetention.AsDuration(); d > 0 {
		w.ledger.SetResultRetention(d)
	}
	if pool := s.Pool(w.p.settings.Server.Pool); pool != nil {
		w.limiter.SetMax(pool.ConcurrencyLimit)
		w.queueLimit = pool.QueueLimit
		w.queue.SetLimit(pool.QueueLimit)
	}
}

// refuse records that an attempt never runs. The caller holds mu.
func (w *work) refuse(now time.Time, id ledger.ID, o ledger.Outcome) {
	w.ledger.Refuse(now, id, o)
	w.p.metrics.ended(o.Code)
	w.drop(id)
}

// drop wakes the readers of an attempt that left the work. The caller holds mu.
func (w *work) drop(id ledger.ID) {
	if t := w.tasks[id]; t != nil {
		delete(w.tasks, id)
		t.wake()
		if a := w.ledger.Get(id); t.claim != nil && a != nil && a.State == ledger.NotRun {
			w.release(t.claim)
		}
	}
	w.notify()
}

func (w *work) notify() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// dispatch refuses the calls that left the queue unserved and starts as many
// others as the limit allows. The caller holds mu.
func (w *work) dispatch(now time.Time) {
	for _, d := range w.queue.TakeDropped(now, nil) {
		o := ledger.Outcome{Code: result.BudgetSpent, Ran: result.RanNo}
		if d.Reason == fairqueue.Displaced {
			o = ledger.Outcome{Code: result.CustomerOverShare, Ran: result.RanNo, RetryAfter: w.timing.service}
		}
		w.refuse(now, d.Key.(ledger.ID), o)
	}
	for w.running < w.limiter.Limit() {
		it, ok := w.queue.Pop(now)
		if !ok {
			return
		}
		t := w.tasks[it.Key.(ledger.ID)]
		w.running++
		w.wg.Go(func() { w.run(t) })
	}
}

// expireLoop drops what outlived its time until ctx ends.
func (w *work) expireLoop(ctx context.Context) {
	swept := time.Now()
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			w.expire(now)
			if now.Sub(swept) >= sweepInterval {
				swept = now
				w.mu.Lock()
				w.forgetKeys(now)
				w.mu.Unlock()
			}
		}
	}
}

func (w *work) expire(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range w.ledger.Expire(now) {
		w.drop(id)
	}
	w.applyConfig()
	w.dispatch(now)
	w.p.metrics.running.Update(float64(w.running))
	w.p.metrics.queued.Update(float64(w.queue.Len()))
	w.p.metrics.limit.Update(float64(w.limiter.Limit()))
	w.p.metrics.kept.Update(float64(w.ledger.UsedBytes()))
	w.p.metrics.known.Update(float64(w.ledger.Len()))
}
