package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/magnoliawheel/magnoliawheel/core/roster"
	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
)

// link maintains a session to one entry.
type link struct {
	entry roster.Entry
	links *Links

	mu      sync.Mutex
	peer    *Peer
	dialing bool
	// nextDialAt is the earliest time of the next connection attempt. dialFailures
	// counts the consecutive failed ones.
	nextDialAt   time.Time
	dialFailures int
	connectedAt  time.Time
	// wasLost is set once a session ended or could not be established. lossesInRow counts
	// the sessions that ended before they were stable.
	wasLost     bool
	lossesInRow int
	// closedIdle is set while a session ends because it was not needed any more.
	closedIdle bool
}

// status returns the newest status of the entry, and false if there is no session.
func (k *link) status() (peerStatus, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.peer == nil {
		return peerStatus{}, false
	}
	return k.peer.status(), true
}

// mayPrecedeLocal reports whether there is a session with an entry that may come before
// this one. An entry that restarted at the same address comes after it.
func (k *link) mayPrecedeLocal() bool {
	s, open := k.status()
	return open && (!s.isLive || k.links.local.isPrecededBy(s.order))
}

// hasStalePosition reports whether the position of the entry differs from the known one.
func (k *link) hasStalePosition() bool {
	s, _ := k.status()
	return s.isLive && s.order != orderOf(k.entry.Position)
}

// isStopping reports whether the entry is shutting down and will not place requests
// again.
func (k *link) isStopping() bool {
	s, _ := k.status()
	return s.stopping
}

// currentPeer returns the entry if there is a session with it, or nil.
func (k *link) currentPeer() *Peer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.peer
}

// isUsable reports whether there is a session with a live entry that comes before this
// one and is not stopping.
func (k *link) isUsable() bool {
	p := k.usablePeer()
	return p != nil && !p.status().stopping
}

// isReady reports whether there is a session with a ready entry that may come before this
// one.
func (k *link) isReady() bool {
	p := k.usablePeer()
	return p != nil && p.status().ready
}

// mayBecomeReady reports whether a session with the entry is being established or has not
// been tried yet.
func (k *link) mayBecomeReady() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.peer != nil {
		return !k.peer.status().isLive && !k.peer.hasEnded()
	}
	return k.dialing || k.nextDialAt.IsZero()
}

// mayBeReady reports whether the entry is ready, or its status is unknown.
func (k *link) mayBeReady() bool {
	s, _ := k.status()
	return s.ready || !s.isLive
}

// usablePeer returns the entry if it is live and comes before this one, or nil.
func (k *link) usablePeer() *Peer {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.peer == nil || k.wasLost && time.Since(k.connectedAt) < k.reuseDelay() {
		return nil
	}
	if s := k.peer.status(); !s.isLive || !k.links.local.isPrecededBy(s.order) {
		return nil
	}
	return k.peer
}

// reuseDelay returns how long the session must last before the entry is used again. The
// caller holds the lock.
func (k *link) reuseDelay() time.Duration { return reuseBackoff.Delay(max(0, k.lossesInRow-1)) }

// sessionEnded counts a session that ended. The caller holds the lock.
func (k *link) sessionEnded() {
	if time.Since(k.connectedAt) >= stableSessionTime {
		k.lossesInRow = 0
	}
	k.lossesInRow++
}

// isResolved reports whether the entry sent a status, could not be reached, or need not
// be dialed.
func (k *link) isResolved() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.peer != nil {
		return k.peer.status().isLive
	}
	return k.dialFailures > 0 || !k.dialing
}

// closeIdle closes the session unless one of the two entries places requests of the
// other.
func (k *link) closeIdle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.peer != nil && k.peer.idle() {
		k.closedIdle = true
		k.peer.session.cancel()
	}
}

func (k *link) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.peer != nil {
		k.peer.session.cancel()
	}
}

// startDialing establishes a session in the background. It returns false if there is one
// already, or if it is not yet time for the next attempt.
func (k *link) startDialing(ctx context.Context) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.peer != nil || time.Now().Before(k.nextDialAt) {
		return false
	}
	if !k.dialing {
		k.dialing = true
		go k.run(ctx)
	}
	return true
}

// run dials the entry, runs the session until it ends, and schedules the next attempt.
func (k *link) run(ctx context.Context) {
	k.disconnected(k.connect(ctx))
}

// disconnected handles the end of a session, or an attempt to establish one that failed.
func (k *link) disconnected(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dialing, k.peer = false, nil
	if k.closedIdle {
		k.closedIdle = false
		return
	}
	k.wasLost = true
	if err != nil {
		k.nextDialAt = time.Now().Add(redialBackoff.SpreadDelay(k.dialFailures, k.links.local.Owner))
		k.dialFailures++
		return
	}
	k.sessionEnded()
	k.dialFailures = 0
	k.nextDialAt = time.Now().Add(redialBackoff.Initial)
}

// connect dials the entry and runs a session until it ends. It returns an error if no
// session was established.
func (k *link) connect(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	tcpConn, err := dialer.DialContext(ctx, "tcp", k.entry.Address)
	if err != nil {
		return err
	}
	conn := drpcconn.New(tcpConn)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sessionStream, err := peerpb.NewDRPCPlannerClient(conn).Session(ctx)
	if err != nil {
		return err
	}
	p := newPeer(newSession(ctx, sessionStream), k.links)
	k.mu.Lock()
	k.peer, k.connectedAt = p, time.Now()
	k.mu.Unlock()
	k.links.log.Info("Session with an entry established.", "entry", k.entry.Name, "order", k.entry.Position)
	p.run()
	return nil
}
