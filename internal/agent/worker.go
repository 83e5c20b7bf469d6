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

// Limits and retention periods of the worker.
const (
	// defaultConcurrency and defaultQueueLimit apply while there is no schema.
	defaultConcurrency = 8
	defaultQueueLimit  = 64
	// defaultRetention is how long results are kept while there is no schema.
	defaultRetention = 30 * time.Second
	// tombstoneRetention exceeds the longest budget plus the longest idle time of a
	// connection, so that no duplicate of a Run can arrive after it.
	tombstoneRetention = 15 * time.Minute
	// replayRetention and maxClosedAttempts limit the records of ended attempts in
	// the ledger.
	replayRetention   = time.Minute
	maxClosedAttempts = 1 << 16
	// baseReserveBytes is the memory reserved for the result of each call, and
	// reserveBytesPerToken that for each requested token.
	baseReserveBytes     = 4 << 10
	reserveBytesPerToken = 8
	// expireInterval is the time between two passes that remove expired attempts
	// and results.
	expireInterval = 250 * time.Millisecond
	// logRepeatInterval is the minimum time between two log lines about the same
	// fault.
	logRepeatInterval = 10 * time.Second
	// heldKeySweepInterval is the time between two passes that remove expired keys.
	heldKeySweepInterval = time.Minute
)

// task holds the state of an attempt that the ledger does not record.
type task struct {
	id         ledger.ID
	req        *wire.RunRequest
	deadline   time.Time
	acceptedAt time.Time
	startedAt  time.Time
	endedAt    time.Time
	tokens     uint64
	checksum   *xxhash.Digest
	// cancel stops the call at the server; nil while it is not running.
	cancel      context.CancelFunc
	subscribers map[chan struct{}]struct{}
	// preparing is set while the input is fetched or the key is claimed, and
	// claiming until the claim is decided. claim is the claim that holds the key;
	// nil if there is none.
	preparing, claiming bool
	claim               *claims.Record

	// fetchedBytes and fetchedRegion are the size and origin of an input that was
	// fetched from another agent.
	fetchedBytes  uint64
	fetchedRegion string
}

// worker queues the accepted attempts, executes them at the server, and keeps
// their results until they are acknowledged.
type worker struct {
	process *Process
	log     logr.Logger
	// limitedLog is for messages that a fault may repeat at a high rate.
	limitedLog    *telemetry.RateLimitedLogger
	engineClient  *engine.ModelClient
	serviceClient *engine.ServiceClient
	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup

	mu     sync.Mutex
	ledger *ledger.Ledger
	queue  *fairqueue.Queue
	// queueLimit limits the queue, and separately the tasks in preparation.
	queueLimit int
	limiter    *limit.Limiter
	tasks      map[ledger.ID]*task
	claimer    *claimer
	// heldKeys records the idempotency keys that are held by attempts of this
	// process.
	heldKeys map[claims.Key]heldKey
	// runningCount is the number of slots at the server that are in use.
	runningCount int
	// preparingCount is the number of tasks whose input is being fetched or whose
	// key is being claimed.
	preparingCount int
	leavingReasons leavingReason
	timing         timing
	models         modelList
	// changed is signalled when a task ends or a result is acknowledged.
	changed chan struct{}
}

func newWorker(p *Process) *worker {
	ctx, cancel := context.WithCancel(context.Background())
	return &worker{
		process: p, log: p.log.WithName("work"), limitedLog: telemetry.NewRateLimitedLogger(p.log.WithName("work"), logRepeatInterval), ctx: ctx, cancel: cancel,
		engineClient:  engine.NewModelClient(p.settings.Server.URL),
		serviceClient: engine.NewServiceClient(p.settings.Server.URL),
		ledger: ledger.New(ledger.Options{
			MaxBytes: p.settings.Limits.KeptBytes, ResultRetention: defaultRetention,
			TombstoneRetention: tombstoneRetention, ReplayRetention: replayRetention, MaxClosedAttempts: maxClosedAttempts,
		}),
		queue:      fairqueue.New(fairqueue.Policy(p.settings.Limits.QueuePolicy), defaultQueueLimit),
		queueLimit: defaultQueueLimit,
		limiter:    limit.New(limit.Options{Min: 1, Max: defaultConcurrency}),
		tasks:      map[ledger.ID]*task{},
		changed:    make(chan struct{}, 1),
		claimer:    newClaimer(ctx, p.log, p.platformLog),
		heldKeys:   map[claims.Key]heldKey{},
	}
}

// applyConfig applies the limits of the current schema. The caller holds mu.
func (w *worker) applyConfig() {
	s := w.process.config.Current().Schema
	if s == nil {
		return
	}
	if d := s.Limits.ResultRetention.AsDuration(); d > 0 {
		w.ledger.SetResultRetention(d)
	}
	if pool := s.Pool(w.process.settings.Server.Pool); pool != nil {
		w.limiter.SetMax(pool.ConcurrencyLimit)
		w.queueLimit = pool.QueueLimit
		w.queue.SetLimit(pool.QueueLimit)
	}
}

// refuseAttempt records that an attempt never runs. The caller holds mu.
func (w *worker) refuseAttempt(now time.Time, id ledger.ID, o ledger.Outcome) {
	w.ledger.Refuse(now, id, o)
	w.process.metrics.countEnded(o.Code)
	w.removeTask(id)
}

// removeTask removes a task and notifies its subscribers. If the attempt did
// not run, its claim is released. The caller holds mu.
func (w *worker) removeTask(id ledger.ID) {
	if t := w.tasks[id]; t != nil {
		delete(w.tasks, id)
		t.notifySubscribers()
		if a := w.ledger.Get(id); t.claim != nil && a != nil && a.State == ledger.NotRun {
			w.releaseClaim(t.claim)
		}
	}
	w.notifyChanged()
}

// notifyChanged wakes the goroutine that waits for the worker to drain.
func (w *worker) notifyChanged() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// dispatch refuses the calls that the queue dropped, and starts queued calls up
// to the concurrency limit. The caller holds mu.
func (w *worker) dispatch(now time.Time) {
	for _, d := range w.queue.TakeDropped(now, nil) {
		o := ledger.Outcome{Code: result.BudgetSpent, Ran: result.RanNo}
		if d.Reason == fairqueue.Displaced {
			o = ledger.Outcome{Code: result.CustomerOverShare, Ran: result.RanNo, RetryAfter: w.timing.perCall}
		}
		w.refuseAttempt(now, d.Key.(ledger.ID), o)
	}
	for w.runningCount < w.limiter.Limit() {
		item, ok := w.queue.Pop(now)
		if !ok {
			return
		}
		t := w.tasks[item.Key.(ledger.ID)]
		w.runningCount++
		w.wg.Go(func() { w.runTask(t) })
	}
}

// expireLoop removes expired attempts, results and keys until ctx ends.
func (w *worker) expireLoop(ctx context.Context) {
	lastSweep := time.Now()
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			w.expire(now)
			if now.Sub(lastSweep) >= heldKeySweepInterval {
				lastSweep = now
				w.mu.Lock()
				w.expireHeldKeys(now)
				w.mu.Unlock()
			}
		}
	}
}

// expire removes expired results, applies the current configuration, starts
// queued calls, and updates the gauges.
func (w *worker) expire(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range w.ledger.Expire(now) {
		w.removeTask(id)
	}
	w.applyConfig()
	w.dispatch(now)
	w.process.metrics.running.Update(float64(w.runningCount))
	w.process.metrics.queued.Update(float64(w.queue.Len()))
	w.process.metrics.limit.Update(float64(w.limiter.Limit()))
	w.process.metrics.keptBytes.Update(float64(w.ledger.UsedBytes()))
	w.process.metrics.recordedAttempts.Update(float64(w.ledger.Len()))
}
