// Package peer connects entries so that one of them places the requests of all, which
// lets stages of different requests share calls. Entries are ordered by the offset at
// which each one registered in the store. The first one that is live and ready places
// the requests. The entries may disagree for a while: two entries that place requests at
// the same time use the servers less efficiently, but cause no errors.
package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/inbound"
	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
)

const (
	// statusInterval is the time between two status messages of a session without other
	// messages.
	statusInterval = 250 * time.Millisecond
	// silenceTimeout is the time without messages after which a session is considered
	// lost: three status messages, and one more for a delayed one.
	silenceTimeout = 4 * statusInterval
	// maxLagTolerance bounds how much longer the session with an entry that reported to
	// be late with its work may be silent.
	maxLagTolerance = silenceTimeout
)

// stream is the common part of the client and server streams of a session.
type stream interface {
	drpc.Stream
	Send(*peerpb.Message) error
	Recv() (*peerpb.Message, error)
}

// session exchanges messages over a stream until it ends.
type session struct {
	stream    stream
	sendQueue chan outgoingMessage
	// statusDue receives a value when the status is to be sent before its time.
	statusDue chan struct{}
	cancel    context.CancelFunc
	ctx       context.Context

	mu           sync.Mutex
	lastReceived time.Time
	// lagTolerance is added to silenceTimeout.
	lagTolerance time.Duration
}

func newSession(ctx context.Context, s stream) *session {
	ctx, cancel := context.WithCancel(ctx)
	return &session{stream: s, sendQueue: make(chan outgoingMessage, sendQueueSize), statusDue: make(chan struct{}, 1), ctx: ctx, cancel: cancel, lastReceived: time.Now()}
}

// run sends and receives messages until the stream fails, nothing is received for
// silenceTimeout, or the context ends. status returns the status message to send.
func (s *session) run(status func() *peerpb.Message, handle func(*peerpb.Message)) {
	defer s.cancel()
	go s.receiveLoop(handle)
	go func() {
		defer s.cancel()
		newSender(s, status).run()
	}()
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for !s.isSilent() {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *session) receiveLoop(handle func(*peerpb.Message)) {
	defer s.cancel()
	for first := true; ; first = false {
		m, err := s.stream.Recv()
		if err != nil {
			return
		}
		if first {
			s.establishConn()
		}
		s.mu.Lock()
		s.lastReceived = time.Now()
		s.mu.Unlock()
		handle(m)
	}
}

// establishConn records that the other end of an accepted connection is an entry.
func (s *session) establishConn() {
	if conn, ok := drpcctx.Transport(s.stream.Context()); ok {
		inbound.Establish(conn)
	}
}

// isSilent reports whether nothing was received for longer than silenceTimeout.
func (s *session) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastReceived) > silenceTimeout+s.lagTolerance
}

// setLag sets how late the other entry is with its work. Its messages may then be late
// as well, which does not mean that it is lost.
func (s *session) setLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lagTolerance = min(2*lag, maxLagTolerance)
}

// LocalEntry is the state that this entry reports to others in all its sessions.
type LocalEntry struct {
	// Ready reports whether the entry can place requests.
	Ready func() bool
	// Stopping reports whether the entry is shutting down and will not place requests
	// again.
	Stopping func() bool
	// Owner is the name of the current process start of the entry.
	Owner string
	// ConfigVersion returns the newest known version of the configuration, and false if the
	// entry does not go by it yet; nil if the entry has none. OnConfigVersion, if set,
	// receives what others return.
	ConfigVersion   func() (version uint64, checked bool)
	OnConfigVersion func(version uint64, checked bool)
	// Topics are the topics of the store, in the order that all entries use.
	Topics []Topic
	// Notices, if set, returns what servers said about themselves. OnNotices receives what
	// they said to another entry.
	Notices   func() []notice.Notice
	OnNotices func(from *Peer, notices []notice.Notice)
	// order is the order of the entry, as orderOf returns it; 0 while it is not
	// registered.
	order atomic.Int64
	// lag measures how late the entry is with the messages of others.
	lag lagGauge
}

// Register sets the position at which the entry registered in this process start.
func (e *LocalEntry) Register(position int64) { e.order.Store(orderOf(position)) }

// ready reports whether the entry places requests: it can, and is not too slow to.
func (e *LocalEntry) ready() bool { return e.Ready() && !e.lag.yielding() }

// orderOf returns the order that a registered entry reports for its position. It is
// never 0, which an unregistered entry reports.
func orderOf(position int64) int64 { return position + 1 }

// Registered reports whether the entry registered in this process start.
func (e *LocalEntry) Registered() bool { return e.order.Load() > 0 }

// isPrecededBy reports whether an entry with the given order comes before this one. An
// unregistered entry comes last.
func (e *LocalEntry) isPrecededBy(order int64) bool {
	localOrder := e.order.Load()
	return order > 0 && (localOrder == 0 || order < localOrder)
}

// configVersion returns the newest known version of the configuration, or 0, and whether
// the entry goes by it.
func (e *LocalEntry) configVersion() (version uint64, checked bool) {
	if e.ConfigVersion == nil {
		return 0, false
	}
	return e.ConfigVersion()
}

func (e *LocalEntry) wireStatus() *peerpb.Status {
	now := clock.Now()
	version, checked := e.configVersion()
	return &peerpb.Status{
		ConfigVersion: version, ConfigUnchecked: !checked,
		Ready: e.ready(), Order: e.order.Load(), Owner: e.Owner, Stopping: e.Stopping(), ClockUs: now.Microseconds(), LagMs: e.lag.lag().Milliseconds(),
	}
}

func encodeRequest(r *planner.Request) *peerpb.Message {
	place := &peerpb.Place{
		Id: r.ID, Key: r.PieceKey, Rank: uint32(r.Priority), DueMs: r.TimeToObjective.Milliseconds(), DeadlineMs: r.TimeToDeadline.Milliseconds(),
		Pool: r.Pool, Zone: r.Zone, MaxTokens: uint32(r.MaxTokens), Avoid: r.Avoid, Customer: r.Customer, ClockUs: clock.Now().Microseconds(),
		ResumableMs: r.ResumableFor.Milliseconds(), Identity: r.Identity, CheckOnly: r.CheckOnly,
		PauseMs:   r.MaxPause.Milliseconds(),
		Residency: &peerpb.Residency{Restricted: r.Residency.Restricted(), Regions: r.Residency.Regions()},
	}
	for _, stage := range r.Stages {
		wireStage := &peerpb.Stage{Pool: stage.Pool, Bytes: uint64(stage.ResultBytes), Pieces: uint32(stage.Pieces)}
		for _, dependency := range stage.DependsOn {
			wireStage.After = append(wireStage.After, uint32(dependency))
		}
		place.Stages = append(place.Stages, wireStage)
	}
	for _, part := range r.PromptParts {
		place.Parts = append(place.Parts, &peerpb.Part{Id: part.ID, Tokens: uint32(part.Tokens)})
	}
	place.Made = encodeResultLocations(r.PriorResults)
	if r.Resume != nil {
		place.Resume = &peerpb.Resume{Stream: r.Resume.Stream, Version: r.Resume.Version}
	}
	return &peerpb.Message{Body: &peerpb.Message_Place{Place: place}}
}

func encodeResultLocations(results []staging.ResultLocation) []*peerpb.Result {
	var encoded []*peerpb.Result
	for _, result := range results {
		encoded = append(encoded, &peerpb.Result{Stage: uint32(result.Stage), Piece: uint32(result.Piece), Handle: result.Handle, Server: result.ServerID})
	}
	return encoded
}

func decodeResultLocations(results []*peerpb.Result) []staging.ResultLocation {
	var decoded []staging.ResultLocation
	for _, result := range results {
		decoded = append(decoded, staging.ResultLocation{Stage: int(result.GetStage()), Piece: int(result.GetPiece()), Handle: result.GetHandle(), ServerID: result.GetServer()})
	}
	return decoded
}

func encodeResultChanges(id string, results []staging.ResultLocation) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Made{Made: &peerpb.Made{Id: id, Results: encodeResultLocations(results)}}}
}

// decodeRequest returns the request, and false if it has no ID or one of its stages
// depends on a stage that does not exist.
func decodeRequest(place *peerpb.Place) (planner.Request, bool) {
	r := planner.Request{
		ID: place.GetId(), PieceKey: place.GetKey(), Priority: int(place.GetRank()),
		TimeToObjective: milliseconds(place.GetDueMs()), TimeToDeadline: milliseconds(place.GetDeadlineMs()),
		Pool: place.GetPool(), Zone: place.GetZone(), MaxTokens: int(place.GetMaxTokens()), Avoid: place.GetAvoid(), Customer: place.GetCustomer(),
		ResumableFor: milliseconds(place.GetResumableMs()), Identity: place.GetIdentity(), CheckOnly: place.GetCheckOnly(),
		Residency: residency.Unrestricted(), MaxPause: milliseconds(place.GetPauseMs()),
	}
	if place.GetResidency().GetRestricted() {
		r.Residency = residency.Only(place.GetResidency().GetRegions()...)
	}
	for _, wireStage := range place.GetStages() {
		st := staging.Stage{Pool: wireStage.GetPool(), ResultBytes: int64(wireStage.GetBytes()), Pieces: int(wireStage.GetPieces())}
		for _, dependency := range wireStage.GetAfter() {
			if int(dependency) >= len(place.GetStages()) {
				return r, false
			}
			st.DependsOn = append(st.DependsOn, int(dependency))
		}
		r.Stages = append(r.Stages, st)
	}
	for _, part := range place.GetParts() {
		r.PromptParts = append(r.PromptParts, placement.PromptPart{ID: part.GetId(), Tokens: int(part.GetTokens())})
	}
	r.PriorResults = decodeResultLocations(place.GetMade())
	if resume := place.GetResume(); resume != nil {
		r.Resume = &planner.Resume{Stream: resume.GetStream(), Version: resume.Version}
	}
	return r, r.ID != ""
}

func encodePlacement(p planner.Placement) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Placed{Placed: &peerpb.Placed{
		Id: p.ID, Reason: uint32(p.RefusalReason), RetryAfterMs: p.RetryAfter.Milliseconds(),
		Inputs: p.Inputs, Server: p.Server, Address: p.Address, Version: p.SoftwareVersion,
		Cold: p.Cold, ClockUs: p.GrantedAt.Microseconds(), FirstEventMs: p.ExpectedFirstEvent.Milliseconds(),
	}}}
}

func decodePlacement(p *peerpb.Placed) planner.Placement {
	return planner.Placement{
		ID: p.GetId(), RefusalReason: staging.RefusalReason(p.GetReason()), RetryAfter: milliseconds(p.GetRetryAfterMs()),
		Inputs: p.GetInputs(), Server: p.GetServer(), Address: p.GetAddress(), SoftwareVersion: p.GetVersion(),
		Cold: p.GetCold(), ExpectedFirstEvent: milliseconds(p.GetFirstEventMs()),
	}
}

func encodeProgress(id string, p planner.Progress) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Progress{Progress: &peerpb.Progress{
		Id: id, Phase: peerpb.Phase(p.Phase), FirstEventUs: p.FirstEvent.Microseconds(), LongestPauseUs: p.LongestPause.Microseconds(),
	}}}
}

func decodeProgress(m *peerpb.Progress) planner.Progress {
	return planner.Progress{Phase: planner.Phase(m.GetPhase()), FirstEvent: microseconds(m.GetFirstEventUs()), LongestPause: microseconds(m.GetLongestPauseUs())}
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
