package confsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// Options configures a Sync.
type Options struct {
	// Log is the platform's log.
	Log platform.Log
	// Peers returns the addresses of the other instances.
	Peers func() []string
	Pool  *rpc.Pool
	// InstanceID and Incarnation identify this process; Address is where peers reach it.
	InstanceID  string
	Incarnation uint64
	Address     string
	Logger      logr.Logger
}

// Sync implements Source and wire.DRPCPeerServer.
type Sync struct {
	wire.DRPCPeerUnimplementedServer
	opts Options
	log  logr.Logger

	current atomic.Pointer[configlog.Snapshot]
	ready   chan struct{}
	// timeout bounds one exchange with a peer.
	timeout time.Duration
	// peerAhead holds the address of a peer that is known to have a higher offset.
	peerAhead chan string
	// recordsApplied wakes pushLoop after the snapshot changed.
	recordsApplied chan struct{}

	neighbors neighbors
	// appendTimes is used only by checkpointLoop.
	appendTimes [2]cachedTime
	// mismatches counts differences from the log, from checkpoints and from peers.
	mismatches      atomic.Uint64
	lastMismatchLog atomic.Int64

	mu      sync.Mutex
	recent  recentRecords
	digests digestRing
	// offsetChanged is closed and replaced whenever the offset grows.
	offsetChanged chan struct{}
}

var _ Source = (*Sync)(nil)

var errDigestMismatch = errors.New("confsync: configuration digest mismatch")

// New returns a Sync without a configuration.
func New(o Options) *Sync {
	s := &Sync{
		opts: o, log: o.Logger.WithName("config"),
		ready: make(chan struct{}), peerAhead: make(chan string, 1), recordsApplied: make(chan struct{}, 1),
		offsetChanged: make(chan struct{}), timeout: exchangeTimeout,
	}
	s.current.Store(configlog.Empty())
	return s
}

// Current implements Source.
func (s *Sync) Current() *configlog.Snapshot { return s.current.Load() }

// ObserveOffset implements Source.
func (s *Sync) ObserveOffset(addr string, offset uint64) {
	if offset <= s.Current().Offset {
		return
	}
	select {
	case s.peerAhead <- addr:
	default:
	}
}

// WaitReady implements Source.
func (s *Sync) WaitReady(ctx context.Context) error {
	select {
	case <-s.ready:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "no schema in force yet")
	}
}

// WaitOffset blocks until the given offset is in force or ctx ends.
func (s *Sync) WaitOffset(ctx context.Context, offset uint64) error {
	for {
		s.mu.Lock()
		changed := s.offsetChanged
		s.mu.Unlock()
		if s.Current().Offset >= offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// applyRecords applies the records that follow the current offset without a gap and
// ignores the others.
func (s *Sync) applyRecords(records []platform.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := s.current.Load()
	before := snap.Offset
	for i := range records {
		r := &records[i]
		if r.Offset != snap.Offset+1 {
			continue
		}
		var outcome configlog.Outcome
		snap, outcome = snap.Apply(r.Offset, r.Data)
		s.recent.add(r.Offset, r.Data)
		s.digests.add(r.Offset, snap.Digest())
		s.logOutcome(&outcome)
		s.compareCheckpoint(&outcome)
	}
	if snap.Offset > before {
		s.publish(snap)
	}
}

// publish puts a snapshot in force and wakes those who wait for it. The caller holds the
// mutex.
func (s *Sync) publish(snap *configlog.Snapshot) {
	s.current.Store(snap)
	close(s.offsetChanged)
	s.offsetChanged = make(chan struct{})
	if snap.Schema != nil {
		select {
		case <-s.ready:
		default:
			close(s.ready)
		}
	}
	select {
	case s.recordsApplied <- struct{}{}:
	default:
	}
}

// installSnapshot puts a snapshot from a peer or checkpoint in force if it is newer than
// the current one. It reports whether it did.
func (s *Sync) installSnapshot(snap *configlog.Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snap.Offset <= s.current.Load().Offset {
		return false
	}
	s.recent.reset()
	s.digests.add(snap.Offset, snap.Digest())
	s.publish(snap)
	s.log.Info("Snapshot installed.", "offset", snap.Offset)
	return true
}

func (s *Sync) logOutcome(o *configlog.Outcome) {
	switch o.Status {
	case configlog.Accepted:
		s.log.Info("Change applied.", "change", o.ID, "author", o.Author, "offset", o.Offset)
	case configlog.Checkpointed:
	default:
		s.log.V(1).Info("Record had no effect.", "change", o.ID, "offset", o.Offset, "status", o.Status)
	}
}

// compareCheckpoint reports a mismatch if the digest in a checkpoint differs from the
// digest computed here at its offset. The caller holds the mutex.
func (s *Sync) compareCheckpoint(o *configlog.Outcome) {
	if o.Status != configlog.Checkpointed {
		return
	}
	if ownDigest, ok := s.digests.at(o.CheckpointOffset); ok && o.CheckpointDigest != ownDigest {
		s.reportMismatch("checkpoint in the log", o.CheckpointOffset, o.CheckpointDigest, ownDigest)
	}
}

// mismatchLogInterval is the minimum time between two log lines about mismatches.
const mismatchLogInterval = time.Minute

// DigestMismatches returns how often the configuration from another source differed from
// the configuration computed here at the same offset.
func (s *Sync) DigestMismatches() uint64 { return s.mismatches.Load() }

// reportMismatch counts a mismatch and logs it at a limited rate.
func (s *Sync) reportMismatch(source string, offset, otherDigest, ownDigest uint64) {
	s.mismatches.Add(1)
	now, last := time.Now().UnixNano(), s.lastMismatchLog.Load()
	if now-last < int64(mismatchLogInterval) || !s.lastMismatchLog.CompareAndSwap(last, now) {
		return
	}
	s.log.Error(errDigestMismatch, "Configuration mismatch; keeping the current configuration.",
		"seen", source, "offset", offset, "digest", otherDigest, "own", ownDigest)
}
