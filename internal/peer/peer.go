package peer

import (
	"sync"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
)

// Peer is another entry in a session. Either side may place requests for the other.
type Peer struct {
	session *session
	planner *planner.Planner
	log     logr.Logger

	mu sync.Mutex
	// heard is set with the first status; the others are what the newest one says.
	heard, ready, stopping bool
	order                  int64
	owner                  string
	ended                  bool
	// pending are the requests that the other entry places for this one.
	pending map[string]*pending
	// open are the requests that this entry places for the other one.
	open map[string]bool
}

// pending is a request that the other entry has not answered.
type pending struct {
	// reply takes the answer, or false if another entry is to be asked.
	reply func(planner.Placement, bool)
	made  func([]staging.ResultLocation)
}

func newPeer(s *session, p *planner.Planner, log logr.Logger) *Peer {
	return &Peer{session: s, planner: p, log: log, pending: map[string]*pending{}, open: map[string]bool{}}
}

// run carries the session to its end.
func (p *Peer) run(self *Self) {
	p.session.run(self.status, p.receive)
	p.end()
}

// Name names the present start of the other entry.
func (p *Peer) Name() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owner
}

// standing is what an entry said of itself last.
type standing struct {
	ready, stopping bool
	order           int64
	// known is false until it has said anything, and once it is silent.
	known bool
}

// standing returns what the other entry said of itself.
func (p *Peer) standing() standing {
	p.mu.Lock()
	defer p.mu.Unlock()
	return standing{p.ready, p.stopping, p.order, p.heard && !p.ended && !p.session.silent()}
}

// idle tells whether neither entry places requests of the other.
func (p *Peer) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending) == 0 && len(p.open) == 0
}

// Place sends a request to the other entry. reply is called once: with the answer,
// or with false if the session is lost or the other entry hands its requests over.
// made is called with new results.
func (p *Peer) Place(req *planner.Request, reply func(planner.Placement, bool), made func([]staging.ResultLocation)) {
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		reply(planner.Placement{}, false)
		return
	}
	p.pending[req.ID] = &pending{reply, made}
	p.mu.Unlock()
	p.session.send(encodePlace(req))
}

// Progress tells the other entry how far a request got; false if it can't be told.
func (p *Peer) Progress(id string, phase planner.Phase) bool {
	p.mu.Lock()
	ended := p.ended
	if phase != planner.Started {
		delete(p.pending, id)
	}
	p.mu.Unlock()
	if !ended {
		p.session.send(encodeProgress(id, phase))
	}
	return !ended
}

func (p *Peer) receive(m *peerpb.Message) {
	switch b := m.GetBody().(type) {
	case *peerpb.Message_Status:
		p.takeStatus(b.Status)
	case *peerpb.Message_Place:
		p.placeFor(b.Place)
	case *peerpb.Message_Placed:
		p.placed(decodePlaced(b.Placed))
	case *peerpb.Message_Made:
		p.made(b.Made)
	case *peerpb.Message_Progress:
		p.progressFor(b.Progress.GetId(), planner.Phase(b.Progress.GetPhase()))
	}
}

func (p *Peer) takeStatus(st *peerpb.Status) {
	p.mu.Lock()
	changed := !p.heard || p.ready != st.GetReady() || p.stopping != st.GetStopping()
	p.heard, p.ready, p.order, p.owner = true, st.GetReady(), st.GetOrder(), st.GetOwner()
	p.stopping = st.GetStopping()
	p.mu.Unlock()
	if changed {
		p.log.Info("Entry's state changed.", "entry", st.GetOwner(), "ready", st.GetReady(), "stopping", st.GetStopping(), "order", st.GetOrder())
	}
}

// placed takes an answer. An entry that hands requests over is not asked again
// until it says that it is ready.
func (p *Peer) placed(a planner.Placement) {
	p.mu.Lock()
	w := p.pending[a.ID]
	delete(p.pending, a.ID)
	if a.RefusalReason == planner.HandedOver {
		p.ready = false
	}
	p.mu.Unlock()
	if w != nil {
		w.reply(a, a.RefusalReason != planner.HandedOver)
	}
}

func (p *Peer) made(m *peerpb.Made) {
	p.mu.Lock()
	w := p.pending[m.GetId()]
	p.mu.Unlock()
	if w != nil {
		w.made(decodeResults(m.GetResults()))
	}
}

// placeFor places a request for the other entry.
func (p *Peer) placeFor(m *peerpb.Place) {
	req, ok := decodePlace(m)
	if !ok {
		p.session.send(encodePlaced(planner.Placement{ID: req.ID, RefusalReason: planner.NoServer}))
		return
	}
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		return
	}
	p.open[req.ID] = true
	req.Owner = p.owner
	p.mu.Unlock()
	p.planner.Place(req, planner.Callbacks{
		OnPlaced:  p.answer,
		OnResults: func(made []staging.ResultLocation) { p.session.send(encodeMade(req.ID, made)) },
	})
}

func (p *Peer) answer(a planner.Placement) {
	if a.RefusalReason != 0 {
		p.close(a.ID)
	}
	p.session.send(encodePlaced(a))
}

func (p *Peer) progressFor(id string, phase planner.Phase) {
	if phase != planner.Started {
		p.close(id)
	}
	p.planner.UpdatePhase(id, phase)
}

func (p *Peer) close(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, id)
}

// end answers what is pending and abandons what was placed for the other entry.
func (p *Peer) end() {
	p.mu.Lock()
	p.ended = true
	waiting, open := p.pending, p.open
	p.pending, p.open = map[string]*pending{}, map[string]bool{}
	p.mu.Unlock()
	p.log.Info("Entry lost.", "entry", p.Name(), "pending", len(waiting), "open", len(open))
	for _, w := range waiting {
		w.reply(planner.Placement{}, false)
	}
	for id := range open {
		p.planner.Abandon(id)
	}
}
