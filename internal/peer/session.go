// Package peer connects entries: one of them places the requests of all, so that
// their stages share calls. The entries are ordered by the offset at which each one
// registered in the store; the first that is alive and ready places the requests.
// Views may differ for a while; two entries that place at once use the same servers
// less well, and break nothing.
package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
)

const (
	// statusInterval is the time between two messages on a session without traffic.
	statusInterval = 250 * time.Millisecond
	// silence is how long a session may be silent before it is taken as lost: three
	// statuses, and one more for a delayed one.
	silence = 4 * statusInterval
	// queued bounds the messages that wait to be sent; a session that is so far
	// behind is lost.
	queued = 1024
)

type stream interface {
	drpc.Stream
	Send(*peerpb.Message) error
	Recv() (*peerpb.Message, error)
}

// session carries messages over a stream until it ends.
type session struct {
	stream stream
	out    chan *peerpb.Message
	cancel context.CancelFunc
	ctx    context.Context

	mu    sync.Mutex
	heard time.Time
}

func newSession(ctx context.Context, s stream) *session {
	ctx, cancel := context.WithCancel(ctx)
	return &session{stream: s, out: make(chan *peerpb.Message, queued), ctx: ctx, cancel: cancel, heard: time.Now()}
}

// send queues a message; a session that can't take it ends.
func (s *session) send(m *peerpb.Message) {
	select {
	case s.out <- m:
	default:
		s.cancel()
	}
}

// run sends and receives until the stream breaks, goes silent or its context ends.
// status gives the status to send.
func (s *session) run(status func() *peerpb.Message, receive func(*peerpb.Message)) {
	defer s.cancel()
	go s.receive(receive)
	go s.transmit(status)
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for !s.silent() {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *session) transmit(status func() *peerpb.Message) {
	defer s.cancel()
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	m := status()
	for s.stream.Send(m) == nil {
		select {
		case <-s.ctx.Done():
			return
		case m = <-s.out:
		case <-ticker.C:
			m = status()
		}
	}
}

func (s *session) receive(take func(*peerpb.Message)) {
	defer s.cancel()
	for {
		m, err := s.stream.Recv()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.heard = time.Now()
		s.mu.Unlock()
		take(m)
	}
}

func (s *session) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.heard) > silence
}

// Self is what an entry says of itself on all its sessions.
type Self struct {
	// Ready tells whether the entry can plan.
	Ready func() bool
	// Stopping tells whether it will not plan again.
	Stopping func() bool
	// Owner names the present start of the entry.
	Owner string
	order atomic.Int64
}

// Register sets the offset at which the entry registered in this start.
func (s *Self) Register(offset int64) { s.order.Store(registeredAt(offset)) }

// registeredAt is the order that an entry reports that registered at an offset; one
// that did not register reports 0.
func registeredAt(offset int64) int64 { return offset + 1 }

// Registered tells whether the entry registered in this start.
func (s *Self) Registered() bool { return s.order.Load() > 0 }

// before tells whether an entry with that order comes before this one. An entry
// that is not registered comes last.
func (s *Self) before(order int64) bool {
	own := s.order.Load()
	return order > 0 && (own == 0 || order < own)
}

func (s *Self) message() *peerpb.Status {
	return &peerpb.Status{Ready: s.Ready(), Order: s.order.Load(), Owner: s.Owner, Stopping: s.Stopping()}
}

func (s *Self) status() *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Status{Status: s.message()}}
}

func encodePlace(r *planner.Request) *peerpb.Message {
	p := &peerpb.Place{
		Id: r.ID, Key: r.PieceKey, Rank: uint32(r.Priority), DueMs: r.TimeToObjective.Milliseconds(), DeadlineMs: r.TimeToDeadline.Milliseconds(),
		Pool: r.Pool, Zone: r.Zone, MaxTokens: uint32(r.MaxTokens), Avoid: r.Avoid,
	}
	for _, st := range r.Stages {
		m := &peerpb.Stage{Pool: st.Pool, Bytes: uint64(st.ResultBytes), Pieces: uint32(st.Pieces)}
		for _, a := range st.DependsOn {
			m.After = append(m.After, uint32(a))
		}
		p.Stages = append(p.Stages, m)
	}
	for _, part := range r.PromptParts {
		p.Parts = append(p.Parts, &peerpb.Part{Id: part.ID, Tokens: uint32(part.Tokens)})
	}
	p.Made = encodeResults(r.PriorResults)
	return &peerpb.Message{Body: &peerpb.Message_Place{Place: p}}
}

func encodeResults(made []staging.ResultLocation) []*peerpb.Result {
	var all []*peerpb.Result
	for _, m := range made {
		all = append(all, &peerpb.Result{Stage: uint32(m.Stage), Piece: uint32(m.Piece), Handle: m.Handle, Server: m.ServerID})
	}
	return all
}

func decodeResults(results []*peerpb.Result) []staging.ResultLocation {
	var all []staging.ResultLocation
	for _, m := range results {
		all = append(all, staging.ResultLocation{Stage: int(m.GetStage()), Piece: int(m.GetPiece()), Handle: m.GetHandle(), ServerID: m.GetServer()})
	}
	return all
}

func encodeMade(id string, made []staging.ResultLocation) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Made{Made: &peerpb.Made{Id: id, Results: encodeResults(made)}}}
}

// decodePlace returns the request; false if its stages name each other wrongly.
func decodePlace(p *peerpb.Place) (planner.Request, bool) {
	r := planner.Request{
		ID: p.GetId(), PieceKey: p.GetKey(), Priority: int(p.GetRank()),
		TimeToObjective: milliseconds(p.GetDueMs()), TimeToDeadline: milliseconds(p.GetDeadlineMs()),
		Pool: p.GetPool(), Zone: p.GetZone(), MaxTokens: int(p.GetMaxTokens()), Avoid: p.GetAvoid(),
	}
	for _, m := range p.GetStages() {
		st := staging.Stage{Pool: m.GetPool(), ResultBytes: int64(m.GetBytes()), Pieces: int(m.GetPieces())}
		for _, a := range m.GetAfter() {
			if int(a) >= len(p.GetStages()) {
				return r, false
			}
			st.DependsOn = append(st.DependsOn, int(a))
		}
		r.Stages = append(r.Stages, st)
	}
	for _, part := range p.GetParts() {
		r.PromptParts = append(r.PromptParts, placement.PromptPart{ID: part.GetId(), Tokens: int(part.GetTokens())})
	}
	r.PriorResults = decodeResults(p.GetMade())
	return r, r.ID != ""
}

func encodePlaced(p planner.Placement) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Placed{Placed: &peerpb.Placed{
		Id: p.ID, Reason: uint32(p.RefusalReason), RetryAfterMs: p.RetryAfter.Milliseconds(),
		Inputs: p.Inputs, Server: p.Server, Address: p.Address,
	}}}
}

func decodePlaced(p *peerpb.Placed) planner.Placement {
	return planner.Placement{
		ID: p.GetId(), RefusalReason: staging.RefusalReason(p.GetReason()), RetryAfter: milliseconds(p.GetRetryAfterMs()),
		Inputs: p.GetInputs(), Server: p.GetServer(), Address: p.GetAddress(),
	}
}

func encodeProgress(id string, phase planner.Phase) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Progress{Progress: &peerpb.Progress{Id: id, Phase: peerpb.Phase(phase)}}}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
