package peer

import (
	"context"
	"net"
	"sync"

	"github.com/go-logr/logr"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
)

// Server places requests for other entries.
type Server struct {
	planner *planner.Planner
	self    *Self
	log     logr.Logger
}

// NewServer returns a server that places with p.
func NewServer(p *planner.Planner, self *Self, log logr.Logger) *Server {
	return &Server{planner: p, self: self, log: log}
}

// Serve accepts sessions until ctx ends.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPlanner(mux, s); err != nil {
		return err
	}
	err := drpcserver.New(mux).Serve(ctx, lis)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Session implements peerpb.DRPCPlannerServer.
func (s *Server) Session(st peerpb.DRPCPlanner_SessionStream) error {
	sess := newSession(st.Context(), st)
	g := &guest{server: s, session: sess, open: map[string]bool{}}
	sess.run(s.self.status, g.receive)
	g.end()
	return nil
}

// guest is the session of one other entry with the requests placed for it.
type guest struct {
	server  *Server
	session *session

	mu    sync.Mutex
	owner string
	open  map[string]bool
	ended bool
}

func (g *guest) receive(m *peerpb.Message) {
	if st := m.GetStatus(); st != nil {
		g.mu.Lock()
		g.owner = st.GetOwner()
		g.mu.Unlock()
	}
	if p := m.GetPlace(); p != nil {
		g.place(p)
	}
	if p := m.GetProgress(); p != nil {
		phase := planner.Phase(p.GetPhase())
		if phase != planner.Started {
			g.mu.Lock()
			delete(g.open, p.GetId())
			g.mu.Unlock()
		}
		g.server.planner.Progress(p.GetId(), phase)
	}
}

func (g *guest) place(p *peerpb.Place) {
	req, ok := decodePlace(p)
	if !ok {
		g.session.send(encodePlaced(planner.Placed{ID: req.ID, Reason: planner.NoServer}))
		return
	}
	g.mu.Lock()
	if g.ended {
		g.mu.Unlock()
		return
	}
	g.open[req.ID] = true
	req.Owner = g.owner
	g.mu.Unlock()
	g.server.planner.Place(req, planner.Watcher{
		Placed: g.placed,
		Made:   func(made []staging.MadeResult) { g.session.send(encodeMade(req.ID, made)) },
	})
}

func (g *guest) placed(p planner.Placed) {
	if p.Reason != 0 {
		g.mu.Lock()
		delete(g.open, p.ID)
		g.mu.Unlock()
	}
	g.session.send(encodePlaced(p))
}

// end abandons what was placed for the entry.
func (g *guest) end() {
	g.mu.Lock()
	g.ended = true
	open := g.open
	g.open = map[string]bool{}
	g.mu.Unlock()
	for id := range open {
		g.server.planner.Abandon(id)
	}
	if len(open) > 0 {
		g.server.log.Info("Session of another entry lost.", "requests", len(open))
	}
}
