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

// Options sets up a Sync.
type Options struct {
	// Log is the platform's log.
	Log platform.Log
	// Peers returns the addresses of the other instances.
	Peers func() []string
	Pool  *rpc.Pool
	// Self and Incarnation name this process; Address is where peers reach it.
	Self        string
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
	// timeout bounds one meeting with a peer.
	timeout time.Duration
	// behind holds the address of a peer that is known to be ahead.
	behind chan string
	// advanced is signalled when records were folded.
	advanced chan struct{}

	neighbors neighbors
	// times belongs to the checkpoint loop.
	times [2]recordTime
	// alarms counts contents that differed at one offset.
	alarms    atomic.Uint64
	lastAlarm atomic.Int64

	mu      sync.Mutex
	recent  recentRecords
	digests digestRing
	// moved is closed and replaced whenever the offset grows.
	moved chan struct{}
}

var _ Source = (*Sync)(nil)

var errDiffers = errors.New("confsync: configuration differs at one offset")

// New returns a Sync with nothing in force.
func New(o Options) *Sync {
	s := &Sync{
		opts: o, log: o.Logger.WithName("config"),
		ready: make(chan struct{}), behind: make(chan string, 1), advanced: make(chan struct{}, 1),
		moved: make(chan struct{}), timeout: exchangeTimeout,
	}
	s.current.Store(configlog.Empty())
	return s
}

// Current implements Source.
func (s *Sync) Current() *configlog.Snapshot { return s.current.Load() }

// Learn implements Source.
func (s *Sync) Learn(addr string, offset uint64) {
	if offset <= s.Current().Offset {
		return
	}
	select {
	case s.behind <- addr:
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

// WaitOffset returns once the offset is in force here or ctx ends.
func (s *Sync) WaitOffset(ctx context.Context, offset uint64) error {
	for {
		s.mu.Lock()
		moved := s.moved
		s.mu.Unlock()
		if s.Current().Offset >= offset {
			return nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// fold takes in records; those at or before the current offset are skipped, and
// those after a gap are left out.
func (s *Sync) fold(records []platform.Record) {
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
		s.checkCheckpoint(&outcome)
	}
	if snap.Offset > before {
		s.publish(snap)
	}
}

// publish puts a snapshot in force. The caller holds the mutex.
func (s *Sync) publish(snap *configlog.Snapshot) {
	s.current.Store(snap)
	close(s.moved)
	s.moved = make(chan struct{})
	if snap.Schema != nil {
		select {
		case <-s.ready:
		default:
			close(s.ready)
		}
	}
	select {
	case s.advanced <- struct{}{}:
	default:
	}
}

// install puts a whole state in force if it is newer than the current one.
func (s *Sync) install(snap *configlog.Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snap.Offset <= s.current.Load().Offset {
		return false
	}
	s.recent.reset()
	s.digests.add(snap.Offset, snap.Digest())
	s.publish(snap)
	s.log.Info("State taken.", "offset", snap.Offset)
	return true
}

func (s *Sync) logOutcome(o *configlog.Outcome) {
	switch o.Status {
	case configlog.Accepted:
		s.log.Info("Change in force.", "change", o.ID, "author", o.Author, "offset", o.Offset)
	case configlog.Checkpointed:
	default:
		s.log.V(1).Info("Record without effect.", "change", o.ID, "offset", o.Offset, "status", o.Status)
	}
}

// checkCheckpoint raises an alarm if a checkpoint does not agree with the fold at
// its offset. The caller holds the mutex.
func (s *Sync) checkCheckpoint(o *configlog.Outcome) {
	if o.Status != configlog.Checkpointed {
		return
	}
	if own, ok := s.digests.at(o.CheckpointOffset); ok && o.CheckpointDigest != own {
		s.alarm("checkpoint in the log", o.CheckpointOffset, o.CheckpointDigest, own)
	}
}

// alarmInterval is the least time between two log lines about differing contents.
const alarmInterval = time.Minute

// Alarms returns how often another content was seen at an offset folded here.
func (s *Sync) Alarms() uint64 { return s.alarms.Load() }

func (s *Sync) alarm(what string, offset, theirs, own uint64) {
	s.alarms.Add(1)
	now, last := time.Now().UnixNano(), s.lastAlarm.Load()
	if now-last < int64(alarmInterval) || !s.lastAlarm.CompareAndSwap(last, now) {
		return
	}
	s.log.Error(errDiffers, "Configuration differs; nothing is taken over.",
		"seen", what, "offset", offset, "digest", theirs, "own", own)
}
