package peer

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
	"github.com/magnoliawheel/magnoliawheel/core/roster"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/inbound"
	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
)

const (
	// targetReadyPeers is the number of ready entries that an entry keeps sessions to.
	// They are the first ready ones in the order of entries.
	targetReadyPeers = 2
	// maxSessions bounds the sessions while the first entries are not ready, as is the
	// case for all of them while the store is unreachable.
	maxSessions = 8
	// linkCheckInterval is the time between two checks of the sessions.
	linkCheckInterval = 100 * time.Millisecond
	// maxSettlingTime bounds how long requests wait after the start of the process until
	// it is known which entry places them.
	maxSettlingTime = 700 * time.Millisecond
	dialTimeout     = 600 * time.Millisecond
	// maxSearchTime bounds how long requests wait, after the entries that placed them were
	// lost, until it is known which entry does so from now on.
	maxSearchTime = 700 * time.Millisecond
	// searchPollInterval is the time between two checks of that.
	searchPollInterval = 20 * time.Millisecond
	// minReadyTime is how long an entry must have been ready before it replaces one before
	// it that is live but not ready. When the store is back for all, the first entry would
	// otherwise lose its requests to whichever notices first.
	minReadyTime = 500 * time.Millisecond
	// stableSessionTime is the time after which a session that ends does not count as one
	// of several losses in a row.
	stableSessionTime = 10 * time.Second
)

var (
	// redialBackoff is the backoff between attempts to connect to an entry.
	redialBackoff = backoff.Policy{Initial: 500 * time.Millisecond, Max: 4 * time.Second}
	// reuseBackoff is how long a session with an entry that was lost must last before the
	// entry is used again. An entry on a slow machine is lost again and again, and each
	// return moves the requests of all others twice.
	reuseBackoff = backoff.Policy{Initial: 500 * time.Millisecond, Max: 8 * time.Second}
)

// Links maintains sessions to the entries before this one, and accepts sessions from the
// entries after it.
type Links struct {
	local   *LocalEntry
	planner *planner.Planner
	log     logr.Logger
	// settled is closed once it is known which entry places the requests of this one, or
	// maxSettlingTime has passed.
	settled chan struct{}
	// stalePosition receives a value when an entry reports another position than the
	// known one.
	stalePosition chan struct{}
	// shares tracks whose parts of what all entries share this one may spend.
	shares *shares

	mu    sync.Mutex
	links []*link
	// predecessorsKnown is set once SetPredecessors was called.
	predecessorsKnown bool
	// inboundPeers are the entries that have a session to this one.
	inboundPeers map[*Peer]bool
	// localReady tells since when this entry has been ready.
	localReady readyTimer
	// hadPlanner is set while a predecessor can place requests, and until the search for
	// another one is over. The search began at searchingSince.
	hadPlanner     bool
	searchingSince time.Time
}

// readyTimer measures for how long an entry has been ready.
type readyTimer struct {
	since time.Time
}

// update records whether the entry is ready now.
func (t *readyTimer) update(ready bool) {
	switch {
	case !ready:
		t.since = time.Time{}
	case t.since.IsZero():
		t.since = time.Now()
	}
}

// isLasting reports whether the entry has been ready for minReadyTime.
func (t *readyTimer) isLasting() bool {
	return !t.since.IsZero() && time.Since(t.since) >= minReadyTime
}

// NewLinks returns Links without sessions. The planner p places the requests of other
// entries.
func NewLinks(local *LocalEntry, p *planner.Planner, log logr.Logger) *Links {
	return &Links{local: local, planner: p, log: log, settled: make(chan struct{}), stalePosition: make(chan struct{}, 1), inboundPeers: map[*Peer]bool{}, shares: newShares()}
}

// Serve accepts sessions until ctx ends.
func (l *Links) Serve(ctx context.Context, lis net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPlanner(mux, l); err != nil {
		return err
	}
	err := drpcserver.New(mux).Serve(ctx, lis)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Session implements peerpb.DRPCPlannerServer.
func (l *Links) Session(sessionStream peerpb.DRPCPlanner_SessionStream) error {
	p := newPeer(newSession(sessionStream.Context(), sessionStream), l)
	l.mu.Lock()
	l.inboundPeers[p] = true
	l.mu.Unlock()
	p.run()
	if conn, ok := drpcctx.Transport(sessionStream.Context()); ok {
		inbound.EndSession(conn)
	}
	l.mu.Lock()
	delete(l.inboundPeers, p)
	l.mu.Unlock()
	return nil
}

// SetPredecessors sets the entries before this one.
func (l *Links) SetPredecessors(entries []roster.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var links []*link
	for _, e := range entries {
		i := slices.IndexFunc(l.links, func(k *link) bool { return k.entry == e })
		if i >= 0 {
			links = append(links, l.links[i])
			continue
		}
		links = append(links, &link{entry: e, links: l})
	}
	for _, old := range l.links {
		if !slices.Contains(links, old) {
			old.close()
		}
	}
	slices.SortFunc(links, func(a, b *link) int { return int(a.entry.Position - b.entry.Position) })
	l.links = links
	l.predecessorsKnown = true
}

// Run maintains the sessions until ctx ends. It calls onOtherPlanner at each check in
// which a ready entry other than this one is the planning peer.
func (l *Links) Run(ctx context.Context, onOtherPlanner func()) {
	startTime := time.Now()
	ticker := time.NewTicker(linkCheckInterval)
	defer ticker.Stop()
	var backup *Peer
	var speeds speedsTimer
	yielding := false
	for settled := false; ; {
		l.maintainSessions(ctx)
		yielding = l.yield(yielding)
		backup = l.updateBackup(backup)
		l.tellSpeeds(&speeds, backup)
		if !settled && (time.Since(startTime) > maxSettlingTime || l.isSettled()) {
			settled = true
			close(l.settled)
		}
		if p := l.PlanningPeer(); p != nil {
			if s := p.status(); s.ready && s.isLive {
				onOtherPlanner()
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// yield hands over all requests while this entry yields, and tells all others at once when
// it begins to. It returns whether the entry yields; before is what it returned last.
func (l *Links) yield(before bool) bool {
	if !l.local.lag.yielding() {
		return false
	}
	if !before {
		l.log.Info("Entry yields, because its machine is slow.", "lag", l.local.lag.lag())
		l.sendStatuses()
	}
	l.planner.HandOver()
	return true
}

// sendStatuses sends the status of this entry in all sessions at once.
func (l *Links) sendStatuses() {
	for _, p := range l.peers() {
		p.session.sendStatus()
	}
}

// peers returns the entries that this one has a session with.
func (l *Links) peers() []*Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Collect(maps.Keys(l.inboundPeers))
	for _, k := range l.links {
		if p := k.currentPeer(); p != nil {
			all = append(all, p)
		}
	}
	return all
}

// WaitSettled waits until it is known which entry places the requests of this one, or
// until maxSettlingTime after the process start or maxSearchTime after the loss of the
// entry that did so.
func (l *Links) WaitSettled(ctx context.Context) {
	select {
	case <-l.settled:
	case <-ctx.Done():
	}
	for l.isSearching() && ctx.Err() == nil {
		clock.Sleep(ctx, searchPollInterval)
	}
}

// isSearching reports whether the entry that placed the requests of this one was lost a
// moment ago and another one may still be found. If each entry placed its own requests
// meanwhile, they would overload the servers of the stages.
func (l *Links) isSearching() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.ContainsFunc(l.links, (*link).isUsable) {
		l.hadPlanner, l.searchingSince = true, time.Time{}
		return false
	}
	if !l.hadPlanner {
		return false
	}
	if l.searchingSince.IsZero() {
		l.searchingSince = time.Now()
	}
	if time.Since(l.searchingSince) > maxSearchTime || !slices.ContainsFunc(l.links, (*link).mayBecomeReady) {
		l.hadPlanner, l.searchingSince = false, time.Time{}
		return false
	}
	return true
}

// isSettled reports whether the predecessors are known and it is known which of them is
// the first ready one, if any.
func (l *Links) isSettled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.predecessorsKnown {
		return false
	}
	for _, k := range l.links {
		if !k.isResolved() {
			return false
		}
		if p := k.usablePeer(); p != nil && p.status().ready {
			return true
		}
	}
	return true
}

// maintainSessions connects to the first entries in order until enough of them are
// ready. While it searches for one after a loss, it connects to several at once, since
// many may be lost together. Sessions with stopping entries are kept, since they may still have answers to
// send, but they are not counted.
func (l *Links) maintainSessions(ctx context.Context) {
	searching := l.isSearching()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.localReady.update(l.local.ready())
	// probablyReady counts also the entries whose state is not known yet. Sessions with
	// those after them are kept, but no more are opened.
	readyPeers, probablyReady, sessions := 0, 0, 0
	for _, k := range l.links {
		if k.hasStalePosition() {
			l.signalStalePosition()
		}
		if readyPeers >= targetReadyPeers || sessions >= maxSessions {
			k.closeIdle()
			continue
		}
		if k.isStopping() || !k.mayPrecedeLocal() && (probablyReady >= targetReadyPeers || !k.startDialing(ctx)) {
			continue
		}
		sessions++
		if k.isReady() {
			readyPeers++
		}
		if k.isReady() || !searching && k.mayBeReady() {
			probablyReady++
		}
	}
}

// StalePosition returns a channel that receives a value when an entry reports another
// position than the known one, because it has restarted.
func (l *Links) StalePosition() <-chan struct{} { return l.stalePosition }

// signalStalePosition signals without blocking that the position of an entry changed.
func (l *Links) signalStalePosition() {
	select {
	case l.stalePosition <- struct{}{}:
	default:
	}
}

// PlanningPeer returns the entry that places the requests of this one, or nil if this
// entry places them itself. It is the first ready predecessor, or this entry if it is
// ready, or else the first ready entry after it. If none of these exists, it is the
// first live predecessor that is not stopping, or else this entry. A live predecessor
// that was ready before is passed over only for an entry that has been ready for
// minReadyTime.
func (l *Links) PlanningPeer() *Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.planningPeer()
	if p == nil {
		l.shares.follow("")
	} else {
		l.shares.follow(p.Owner())
	}
	return p
}

// planningPeer is PlanningPeer for a caller that holds the lock.
func (l *Links) planningPeer() *Peer {
	var firstLive *Peer
	mayReturn := false
	for _, k := range l.links {
		p := k.usablePeer()
		if p == nil {
			continue
		}
		s := p.status()
		if s.ready && (!mayReturn || s.isLasting) {
			return p
		}
		if s.stopping {
			continue
		}
		if firstLive == nil {
			firstLive = p
		}
		mayReturn = mayReturn || s.wasReady
	}
	if l.local.ready() && (!mayReturn || l.localReady.isLasting()) {
		return nil
	}
	if p := l.firstReadyInbound(); p != nil && (!mayReturn || p.status().isLasting) {
		return p
	}
	return firstLive
}

// firstReadyInbound returns the first ready entry among those that have a session to
// this one, or nil.
func (l *Links) firstReadyInbound() *Peer {
	var first *Peer
	var lowest int64
	for p := range l.inboundPeers {
		s := p.status()
		if s.isLive && s.ready && s.order > 0 && (first == nil || s.order < lowest) {
			first, lowest = p, s.order
		}
	}
	return first
}
