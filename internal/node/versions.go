package node

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
	"github.com/magnoliawheel/magnoliawheel/core/streamversion"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/internal/watch"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// versionPollInterval is the time between two checks whether the records of versions are
	// to be changed because time has passed or this entry has begun to place requests.
	versionPollInterval = 500 * time.Millisecond
	// versionCallTimeout bounds a call that reads or writes the records.
	versionCallTimeout = 2 * time.Second
)

// versionBackoff gives the times between consecutive failed calls.
var versionBackoff = backoff.Policy{Initial: 100 * time.Millisecond, Max: 2 * time.Second}

// versionRecorder keeps in the store which software versions may have begun the streams that
// can still be resumed, so that entries which start later know them. Every entry reads the
// records when it starts; an entry that places requests writes them.
type versionRecorder struct {
	store   *platform.Store
	planner *planner.Planner
	log     logr.Logger
	// isFirstStart is set if the whole system starts for the first time: unless there is a
	// record, no stream can have begun before.
	isFirstStart bool
	// places reports whether this entry places requests.
	places func() bool
	// serversLoaded reports whether the records of servers were read. The versions are read only
	// then, so that no server comes and goes between the two.
	serversLoaded func() bool
	// serversOverdue reports whether the store has not confirmed the servers for too long. No
	// versions are written then: one that seems to have ended may have come back.
	serversOverdue func() bool
	// onUsable is called when servers that had to wait for a record may be used: it was written,
	// or could not be.
	onUsable func()
	wake     chan struct{}
	// known is set while the planner has applied the records, which were read in era.
	known atomic.Bool
	era   int64
	// rejected are the records that cannot be used.
	rejected *watch.Rejections

	mu sync.Mutex
	// missed counts the calls of serversMissed.
	missed int
}

// errServersMissed means that the records of versions were read before servers were missed.
var errServersMissed = errors.New("servers were missed meanwhile")

// versionRecord is the value of a record; its key is the name of the service. Era is the era of
// the store in which it was written.
type versionRecord struct {
	Versions []string `json:"versions"`
	Era      int64    `json:"era"`
}

func newVersionRecorder(store *platform.Store, p *planner.Planner, log logr.Logger) *versionRecorder {
	return &versionRecorder{
		store: store, planner: p, log: log, wake: make(chan struct{}, 1),
		rejected: watch.NewRejections(log, "Record of versions rejected."),
	}
}

// notify makes the recorder check at once whether the records are to be changed.
func (r *versionRecorder) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// serversMissed makes the recorder read the records again, because servers may have come and
// gone unnoticed.
func (r *versionRecorder) serversMissed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.missed++
	r.planner.ServersMissed()
	r.known.Store(false)
	r.notify()
}

// run reads the records and changes them when needed, until ctx ends.
func (r *versionRecorder) run(ctx context.Context) {
	syncRepeatedly(ctx, r.log, r.sync, r.onUsable, func() { r.wait(ctx) })
}

// syncRepeatedly calls sync until ctx ends: after wait if it succeeded, and else after a backoff
// and onFailure.
func syncRepeatedly(ctx context.Context, log logr.Logger, sync func(context.Context) error, onFailure, wait func()) {
	for failures := 0; ctx.Err() == nil; {
		err := sync(ctx)
		if err == nil {
			failures = 0
			wait()
			continue
		}
		log.Info("Records not synchronized with the store.", "failures", failures, "cause", err.Error())
		clock.Sleep(ctx, versionBackoff.Delay(failures))
		onFailure()
		failures++
	}
}

// wait waits until the records may have to be read or written.
func (r *versionRecorder) wait(ctx context.Context) {
	era, restored := r.store.Era()
	if era != r.era {
		// The store may have lost records, and those that it has may be old ones.
		r.known.Store(false)
		return
	}
	timer := time.NewTimer(versionPollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.wake:
	case <-restored:
	case <-timer.C:
	}
}

// sync reads the records if they are not known or must be changed, and writes those to change.
func (r *versionRecorder) sync(ctx context.Context) error {
	if !r.serversLoaded() {
		return nil
	}
	mayWrite := r.mayWrite() && len(r.planner.VersionsDue(0)) > 0
	if r.known.Load() && !mayWrite {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, versionCallTimeout)
	defer cancel()
	end, err := r.read(ctx)
	if err != nil || !r.mayWrite() {
		return err
	}
	return r.write(ctx, end)
}

func (r *versionRecorder) mayWrite() bool { return r.places() && !r.serversOverdue() }

// read passes the records on to the planner and returns the end of the topic.
func (r *versionRecorder) read(ctx context.Context) (platform.Position, error) {
	r.mu.Lock()
	missedBefore := r.missed
	r.mu.Unlock()
	keyed, end, err := r.store.Newest(ctx, platform.VersionsTopic)
	if err != nil {
		return platform.Position{}, errors.Wrap(err, "read")
	}
	var records []streamversion.StoredVersions
	for _, rec := range keyed {
		versions, err := decodeVersions(rec)
		if err != nil {
			r.rejected.Add(rec, err)
			continue
		}
		records = append(records, versions)
	}
	return end, r.learn(records, end, missedBefore)
}

// learn passes records on to the planner, unless servers were missed since missed had the given
// value.
func (r *versionRecorder) learn(records []streamversion.StoredVersions, end platform.Position, missedBefore int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.missed != missedBefore {
		return errServersMissed
	}
	if r.isFirstStart && end.Offset == 0 && end.Era == 0 {
		r.planner.ObservedFromStart()
	}
	r.planner.LearnVersions(records, end.Era)
	r.era = end.Era
	if !r.known.Swap(true) {
		r.log.Info("Versions of streams read.", "records", records, "end", end.Offset, "era", end.Era, "first_start", r.isFirstStart)
	}
	return nil
}

// write writes the records that are due, if the topic still has the given end.
func (r *versionRecorder) write(ctx context.Context, end platform.Position) error {
	for _, due := range r.planner.VersionsDue(end.Era) {
		value, err := json.Marshal(versionRecord{Versions: due.Versions, Era: due.Era})
		if err != nil {
			return errors.Wrap(err, "encode")
		}
		position, err := r.store.AppendKeyed(ctx, platform.VersionsTopic, due.Pool, value, platform.AppendCondition{ExpectedEnd: &end})
		if err != nil {
			return errors.Wrapf(err, "write versions of %s", due.Pool)
		}
		end.Offset = position.Offset + 1
		r.planner.VersionsStored(due)
		r.log.Info("Versions of streams stored.", "pool", due.Pool, "versions", due.Versions, "offset", position.Offset, "era", due.Era)
		r.onUsable()
	}
	return nil
}
