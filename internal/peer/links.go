package peer

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"storj.io/drpc/drpcconn"

	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
)

const (
	// liveLinks is the number of entries to which an entry keeps sessions: the first
	// ones in order that answer.
	liveLinks = 2
	// linksInterval is the time between two looks at the sessions.
	linksInterval = 100 * time.Millisecond
	// longestSettling bounds the time after the start of the process in which
	// requests wait to learn which entry places them.
	longestSettling = 700 * time.Millisecond
	// redialAfter is the time between two tries to reach an entry; it doubles with
	// each failure, up to longestRedial.
	redialAfter   = 500 * time.Millisecond
	longestRedial = 4 * time.Second
	dialTimeout   = 600 * time.Millisecond
	// settle is how long an entry that could not be reached must answer before it
	// is used again.
	settle = 500 * time.Millisecond
)

// Entry is another entry: its name, its address and its place in the order.
type Entry struct {
	Name, Address string
	Order         int64
}

// Links keeps sessions to the entries that come before this one.
type Links struct {
	self *Self
	log  logr.Logger

	// settled is closed once it is known which entries come first.
	settled chan struct{}

	mu    sync.Mutex
	links []*Link
	known bool
}

// NewLinks returns links to no entry.
func NewLinks(self *Self, log logr.Logger) *Links {
	return &Links{self: self, log: log, settled: make(chan struct{})}
}

// SetEntries sets the entries that come before this one.
func (l *Links) SetEntries(entries []Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var kept []*Link
	for _, e := range entries {
		i := slices.IndexFunc(l.links, func(k *Link) bool { return k.entry == e })
		if i >= 0 {
			kept = append(kept, l.links[i])
			continue
		}
		kept = append(kept, &Link{entry: e, owner: l, pending: map[string]*pending{}})
	}
	for _, old := range l.links {
		if !slices.Contains(kept, old) {
			old.close()
		}
	}
	slices.SortFunc(kept, func(a, b *Link) int { return int(a.entry.Order - b.entry.Order) })
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
		if k := l.First(); k != nil && k.isReady() {
			first()
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
		if k.usable() && k.isReady() {
			return true
		}
	}
	return true
}

// maintain dials the first entries in order until enough of them answer.
func (l *Links) maintain(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	live := 0
	for _, k := range l.links {
		if live >= liveLinks {
			k.close()
			continue
		}
		if k.alive() || k.dial(ctx) {
			live++
		}
	}
}

// First returns the first entry that is ready to place requests, or nil if this
// entry comes before all of them. If none is ready, and this one is not either, it
// returns the first that is alive.
func (l *Links) First() *Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first *Link
	for _, k := range l.links {
		if !k.usable() {
			continue
		}
		if k.isReady() {
			return k
		}
		if first == nil {
			first = k
		}
	}
	if l.self.Ready() {
		return nil
	}
	return first
}

// Link is the connection to one entry.
type Link struct {
	entry Entry
	owner *Links

	mu       sync.Mutex
	session  *session
	dialling bool
	dialAt   time.Time
	failures int
	since    time.Time
	again    bool
	// ready and order are what the entry said last.
	heard   bool
	ready   bool
	order   int64
	pending map[string]*pending
}

// pending is a request that the entry has not answered.
type pending struct {
	// reply takes the answer, or false if the link was lost.
	reply func(planner.Placed, bool)
	made  func([]staging.MadeResult)
}

// alive tells whether there is a session with an entry that comes before this one.
// At the address of an entry that was restarted there is one that comes later.
func (k *Link) alive() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.session != nil && (!k.heard || k.owner.self.before(k.order))
}

func (k *Link) usable() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.session != nil && !k.session.silent() && k.owner.self.before(k.order) && (!k.again || time.Since(k.since) > settle)
}

// tried tells whether the entry answered, or could not be reached, or need not be.
func (k *Link) tried() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heard || k.failures > 0 || !k.dialling
}

func (k *Link) isReady() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ready
}

func (k *Link) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.session != nil {
		k.session.cancel()
	}
}

// Name returns the name of the entry.
func (k *Link) Name() string { return k.entry.Name }

// Place sends a request to the entry. reply is called once: with the answer, or
// with false if the link was lost before. made is called with new results.
func (k *Link) Place(req *planner.Request, reply func(planner.Placed, bool), made func([]staging.MadeResult)) {
	k.mu.Lock()
	s := k.session
	if s == nil {
		k.mu.Unlock()
		reply(planner.Placed{}, false)
		return
	}
	k.pending[req.ID] = &pending{reply, made}
	k.mu.Unlock()
	s.send(encodePlace(req))
}

// Progress tells the entry how far a request got.
func (k *Link) Progress(id string, phase planner.Phase) {
	k.mu.Lock()
	s := k.session
	if phase != planner.Started {
		delete(k.pending, id)
	}
	k.mu.Unlock()
	if s != nil {
		s.send(encodeProgress(id, phase))
	}
}

// dial starts a session unless there is one; false if it is not yet time to.
func (k *Link) dial(ctx context.Context) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.session != nil || time.Now().Before(k.dialAt) {
		return false
	}
	if !k.dialling {
		k.dialling = true
		go k.run(ctx)
	}
	return true
}

func (k *Link) run(ctx context.Context) {
	err := k.connect(ctx)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dialling = false
	if err != nil {
		k.dialAt = time.Now().Add(min(redialAfter<<min(k.failures, 6), longestRedial))
		k.failures++
		k.again = true
		return
	}
	k.failures = 0
	k.dialAt = time.Now().Add(redialAfter)
}

// connect dials the entry and runs a session to its end. The error tells that
// there was none.
func (k *Link) connect(ctx context.Context) error {
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
	s := newSession(ctx, st)
	k.mu.Lock()
	k.session, k.since = s, time.Now()
	k.heard, k.ready, k.order = false, false, 0
	k.mu.Unlock()
	k.owner.log.Info("Entry reached.", "entry", k.entry.Name, "order", k.entry.Order)
	s.run(k.owner.self.status, k.receive)
	k.lost()
	return nil
}

func (k *Link) receive(m *peerpb.Message) {
	if st := m.GetStatus(); st != nil {
		k.mu.Lock()
		if k.ready != st.GetReady() {
			k.owner.log.Info("Entry's state changed.", "entry", k.entry.Name, "ready", st.GetReady())
		}
		k.heard, k.ready, k.order = true, st.GetReady(), st.GetOrder()
		k.mu.Unlock()
	}
	if p := m.GetPlaced(); p != nil {
		k.placed(decodePlaced(p))
	}
	if made := m.GetMade(); made != nil {
		k.mu.Lock()
		w := k.pending[made.GetId()]
		k.mu.Unlock()
		if w != nil {
			w.made(decodeResults(made.GetResults()))
		}
	}
}

// placed takes an answer. An entry that hands requests over is not asked again
// until it says that it is ready.
func (k *Link) placed(p planner.Placed) {
	k.mu.Lock()
	w := k.pending[p.ID]
	delete(k.pending, p.ID)
	if p.Reason == planner.Moved {
		k.ready = false
	}
	k.mu.Unlock()
	if w != nil {
		w.reply(p, p.Reason != planner.Moved)
	}
}

// lost answers all that is pending.
func (k *Link) lost() {
	k.mu.Lock()
	k.session, k.again = nil, true
	open := k.pending
	k.pending = map[string]*pending{}
	k.mu.Unlock()
	k.owner.log.Info("Entry lost.", "entry", k.entry.Name, "pending", len(open))
	for _, w := range open {
		w.reply(planner.Placed{}, false)
	}
}
