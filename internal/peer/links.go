package peer

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
	"github.com/magnoliawheel/magnoliawheel/core/roster"
	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
)

const (
	// liveLinks is the number of entries that an entry keeps sessions to: the first
	// ones in order that are ready.
	liveLinks = 2
	// mostLinks bounds the sessions while the first ones are not ready, as all of them
	// are without the store.
	mostLinks = 8
	// linksInterval is the time between two looks at the sessions.
	linksInterval = 100 * time.Millisecond
	// longestSettling bounds the time after the start of the process in which
	// requests wait to learn which entry places them.
	longestSettling = 700 * time.Millisecond
	dialTimeout     = 600 * time.Millisecond
	// settle is how long an entry that was lost must answer before it is used again.
	settle = 500 * time.Millisecond
)

// redials are the times between two tries to reach an entry.
var redials = backoff.Policy{Initial: 500 * time.Millisecond, Max: 4 * time.Second}

// Links keeps sessions to the entries that come before this one, and takes those of
// the entries after it.
type Links struct {
	self    *Self
	planner *planner.Planner
	log     logr.Logger
	// settled is closed once it is known which entries come first.
	settled chan struct{}
	// stale holds a mark while an entry answers whose place is not the one known.
	stale chan struct{}

	mu    sync.Mutex
	links []*link
	known bool
	// guests are the entries that keep a session to this one.
	guests map[*Peer]bool
}

// NewLinks returns links to no entry. Requests of others are placed by p.
func NewLinks(self *Self, p *planner.Planner, log logr.Logger) *Links {
	return &Links{self: self, planner: p, log: log, settled: make(chan struct{}), stale: make(chan struct{}, 1), guests: map[*Peer]bool{}}
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
func (l *Links) Session(st peerpb.DRPCPlanner_SessionStream) error {
	p := newPeer(newSession(st.Context(), st), l.planner, l.log)
	l.mu.Lock()
	l.guests[p] = true
	l.mu.Unlock()
	p.run(l.self)
	l.mu.Lock()
	delete(l.guests, p)
	l.mu.Unlock()
	return nil
}

// SetEntries sets the entries that come before this one.
func (l *Links) SetEntries(entries []roster.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var kept []*link
	for _, e := range entries {
		i := slices.IndexFunc(l.links, func(k *link) bool { return k.entry == e })
		if i >= 0 {
			kept = append(kept, l.links[i])
			continue
		}
		kept = append(kept, &link{entry: e, owner: l})
	}
	for _, old := range l.links {
		if !slices.Contains(kept, old) {
			old.close()
		}
	}
	slices.SortFunc(kept, func(a, b *link) int { return int(a.entry.Position - b.entry.Position) })
	l.links = kept
	l.known = true
}

// Run keeps the sessions until ctx ends. first is called while another entry comes
// first and is ready.
func (l *Links) Run(ctx context.Context, first func()) {
	begin := time.Now()
	ticker := time.NewTicker(linksInterval)
	defer ticker.Stop()
	for settled := false; ; {
		l.maintain(ctx)
		if !settled && (time.Since(begin) > longestSettling || l.decided()) {
			settled = true
			close(l.settled)
		}
		if p := l.First(); p != nil {
			if s := p.standing(); s.ready && s.known {
				first()
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// WaitSettled waits after the start of the process until it is known which entries
// come first, for a short time at most.
func (l *Links) WaitSettled(ctx context.Context) {
	select {
	case <-l.settled:
	case <-ctx.Done():
	}
}

// decided tells whether the entries are known and the first of them answered or
// can't be reached.
func (l *Links) decided() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known {
		return false
	}
	for _, k := range l.links {
		if !k.tried() {
			return false
		}
		if p := k.usable(); p != nil && p.standing().ready {
			return true
		}
	}
	return true
}

// maintain dials the first entries in order until enough of them are ready. Sessions
// with entries that stop are kept, but not counted: they may have answers to give.
func (l *Links) maintain(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	live, open := 0, 0
	for _, k := range l.links {
		if k.stale() {
			l.markStale()
		}
		if live >= liveLinks || open >= mostLinks {
			k.closeIdle()
			continue
		}
		if k.stops() || !k.before() && !k.dial(ctx) {
			continue
		}
		open++
		if k.mayPlan() {
			live++
		}
	}
}

// Stale receives while an entry answers whose place in the order is not the one set:
// it has started anew since.
func (l *Links) Stale() <-chan struct{} { return l.stale }

func (l *Links) markStale() {
	select {
	case l.stale <- struct{}{}:
	default:
	}
}

// First returns the entry that places this one's requests: the first one that is
// ready, or nil for this one. If no other is ready, and this one is not either, it
// is the first that is alive and does not stop. An entry that stops takes the first
// ready one that comes after it; if there is none it places its own requests.
func (l *Links) First() *Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var alive *Peer
	for _, k := range l.links {
		p := k.usable()
		if p == nil {
			continue
		}
		s := p.standing()
		if s.ready {
			return p
		}
		if alive == nil && !s.stopping {
			alive = p
		}
	}
	if l.self.Ready() {
		return nil
	}
	if p := l.firstGuest(); p != nil {
		return p
	}
	return alive
}

// firstGuest returns the first entry after this one that is ready, or nil.
func (l *Links) firstGuest() *Peer {
	var first *Peer
	var least int64
	for p := range l.guests {
		s := p.standing()
		if s.known && s.ready && s.order > 0 && (first == nil || s.order < least) {
			first, least = p, s.order
		}
	}
	return first
}

// link keeps a session to one entry.
type link struct {
	entry roster.Entry
	owner *Links

	mu       sync.Mutex
	peer     *Peer
	dialling bool
	dialAt   time.Time
	failures int
	since    time.Time
	// lost is set once a session ended or could not be made.
	lost bool
}

// standing returns what the entry said of itself; false if there is no session.
func (k *link) standing() (standing, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.peer == nil {
		return standing{}, false
	}
	return k.peer.standing(), true
}

// before tells whether there is a session with an entry that may come before this
// one. At the address of an entry that was restarted there is one that comes later.
func (k *link) before() bool {
	s, open := k.standing()
	return open && (!s.known || k.owner.self.before(s.order))
}

// stale tells whether the entry has another place than the one known.
func (k *link) stale() bool {
	s, _ := k.standing()
	return s.known && s.order != registeredAt(k.entry.Position)
}

// stops tells whether the entry will not plan again.
func (k *link) stops() bool {
	s, _ := k.standing()
	return s.stopping
}

// mayPlan tells whether the entry is ready, or has not said that it is not.
func (k *link) mayPlan() bool {
	s, _ := k.standing()
	return s.ready || !s.known
}

// usable returns the entry if it comes before this one and answers, or nil.
func (k *link) usable() *Peer {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.peer == nil || k.lost && time.Since(k.since) < settle {
		return nil
	}
	if s := k.peer.standing(); !s.known || !k.owner.self.before(s.order) {
		return nil
	}
	return k.peer
}

// tried tells whether the entry answered, or could not be reached, or need not be.
func (k *link) tried() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.peer != nil {
		return k.peer.standing().known
	}
	return k.failures > 0 || !k.dialling
}

// closeIdle ends the session unless one of the two entries places requests of the other.
func (k *link) closeIdle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.peer != nil && k.peer.idle() {
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

// dial starts a session unless there is one; false if it is not yet time to.
func (k *link) dial(ctx context.Context) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.peer != nil || time.Now().Before(k.dialAt) {
		return false
	}
	if !k.dialling {
		k.dialling = true
		go k.run(ctx)
	}
	return true
}

func (k *link) run(ctx context.Context) {
	err := k.connect(ctx)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dialling, k.lost, k.peer = false, true, nil
	if err != nil {
		k.dialAt = time.Now().Add(redials.Delay(k.failures))
		k.failures++
		return
	}
	k.failures = 0
	k.dialAt = time.Now().Add(redials.Initial)
}

// connect dials the entry and runs a session to its end. The error tells that
// there was none.
func (k *link) connect(ctx context.Context) error {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", k.entry.Address)
	if err != nil {
		return err
	}
	conn := drpcconn.New(raw)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st, err := peerpb.NewDRPCPlannerClient(conn).Session(ctx)
	if err != nil {
		return err
	}
	p := newPeer(newSession(ctx, st), k.owner.planner, k.owner.log)
	k.mu.Lock()
	k.peer, k.since = p, time.Now()
	k.mu.Unlock()
	k.owner.log.Info("Entry reached.", "entry", k.entry.Name, "order", k.entry.Position)
	p.run(k.owner.self)
	return nil
}
