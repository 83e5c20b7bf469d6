package peer

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/overload"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
)

// Peer is another entry that this one has a session with. Either of the two may place
// requests for the other.
type Peer struct {
	session *session
	links   *Links
	planner *planner.Planner
	log     logr.Logger

	mu sync.Mutex
	// statusReceived is set with the first status; ready, stopping, order and owner are
	// those of the newest status.
	statusReceived, ready, stopping bool
	readyTimer                      readyTimer
	wasReady                        bool
	order                           int64
	owner                           string
	ended                           bool
	// outgoing holds the requests that the other entry places for this one, by request
	// ID.
	outgoing map[string]*outgoingRequest
	// incoming holds the IDs of the requests that this entry places for the other one.
	incoming map[string]bool
	// local is this entry. age measures the age of the other entry's messages; only the
	// goroutine that handles them uses it.
	local *LocalEntry
	age   overload.AgeMeter
	// relays has an element for each of the local entry's topics. remoteClockUs is the
	// clock of the other entry's newest status.
	relays        []topicRelay
	remoteClockUs int64
}

// outgoingRequest is a request that the other entry has not finished placing.
type outgoingRequest struct {
	// onReply receives the answer, or false if another entry must place the request.
	// onResultChanges receives new and lost stage results.
	onReply         func(planner.Placement, bool)
	onResultChanges func([]staging.ResultLocation)
}

func newPeer(s *session, l *Links) *Peer {
	return &Peer{session: s, links: l, local: l.local, planner: l.planner, log: l.log, outgoing: map[string]*outgoingRequest{}, incoming: map[string]bool{},
		relays: make([]topicRelay, len(l.local.Topics)),
	}
}

// run tells what this entry knows of servers and requests, and exchanges messages until the
// session ends.
func (p *Peer) run() {
	p.sendPatterns(p.planner.Patterns())
	if p.local.Notices != nil {
		p.sendNotices(p.local.Notices())
	}
	p.sendFirstSpeeds(p.planner.Speeds())
	p.session.run(p.statusMessage, p.handleMessage)
	p.endSession()
}

// Owner returns the name of the current process start of the other entry.
func (p *Peer) Owner() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owner
}

// peerStatus is the newest status that an entry sent.
type peerStatus struct {
	// order is the order that the entry reported, as orderOf returns it.
	ready, stopping bool
	order           int64
	// isLive is false before the first status, and once the session has ended or is
	// silent.
	isLive bool
	// isLasting is true if the entry has been ready for minReadyTime, wasReady if it was
	// ready at any time of the session and has handed over no request since.
	isLasting, wasReady bool
}

// status returns the newest status of the other entry.
func (p *Peer) status() peerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	isLive := p.statusReceived && !p.ended && !p.session.isSilent()
	return peerStatus{ready: p.ready, stopping: p.stopping, order: p.order, isLive: isLive, isLasting: p.readyTimer.isLasting(), wasReady: p.wasReady}
}

// hasEnded reports whether the session has ended.
func (p *Peer) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// idle reports whether neither entry currently places a request of the other.
func (p *Peer) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.outgoing) == 0 && len(p.incoming) == 0
}

// Place sends a request to the other entry for placement. onReply is called with the
// answer, or with false if the session is lost or the other entry hands its requests
// over. onResultChanges is called with new and lost stage results.
func (p *Peer) Place(req *planner.Request, onReply func(planner.Placement, bool), onResultChanges func([]staging.ResultLocation)) {
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		onReply(planner.Placement{}, false)
		return
	}
	p.outgoing[req.ID] = &outgoingRequest{onReply, onResultChanges}
	p.mu.Unlock()
	p.session.send(encodeRequest(req))
}

// ReportProgress reports the progress of a request to the other entry. It returns false
// if the session has ended.
func (p *Peer) ReportProgress(id string, progress planner.Progress) bool {
	p.mu.Lock()
	ended := p.ended
	if progress.Phase != planner.Started {
		delete(p.outgoing, id)
	}
	p.mu.Unlock()
	if !ended {
		p.session.send(encodeProgress(id, progress))
	}
	return !ended
}

func (p *Peer) handleMessage(m *peerpb.Message) {
	switch body := m.GetBody().(type) {
	case *peerpb.Message_Status:
		p.handleStatus(body.Status)
	case *peerpb.Message_Place:
		p.handleRequest(body.Place)
	case *peerpb.Message_Placed:
		answer := decodePlacement(body.Placed)
		if answer.Cold {
			now := clock.Now()
			answer.GrantedAt = now - p.age.Age(time.Duration(body.Placed.GetClockUs())*time.Microsecond, now)
		}
		p.handlePlacement(answer)
	case *peerpb.Message_Made:
		p.handleResultChanges(body.Made)
	case *peerpb.Message_Changes:
		p.handleChanges(body.Changes)
	case *peerpb.Message_Patterns:
		p.handlePatterns(body.Patterns)
	case *peerpb.Message_Evidence:
		p.handleEvidence(body.Evidence)
	case *peerpb.Message_Notices:
		p.handleNotices(body.Notices)
	case *peerpb.Message_Speeds:
		p.handleSpeeds(body.Speeds)
	case *peerpb.Message_Streams:
		p.handleStreams(body.Streams)
	case *peerpb.Message_Progress:
		p.handleProgress(body.Progress.GetId(), decodeProgress(body.Progress))
	}
	for _, part := range m.GetBatch() {
		p.handleMessage(part)
	}
}

// measureAge returns the age of a message, given the sender's clock when it was queued.
func (p *Peer) measureAge(clockUs int64) time.Duration {
	age := p.age.Age(time.Duration(clockUs)*time.Microsecond, clock.Now())
	p.local.lag.record(age)
	return age
}

func (p *Peer) handleStatus(status *peerpb.Status) {
	p.mu.Lock()
	changed := !p.statusReceived || p.ready != status.GetReady() || p.stopping != status.GetStopping()
	p.statusReceived, p.ready, p.order, p.owner = true, status.GetReady(), status.GetOrder(), status.GetOwner()
	p.stopping = status.GetStopping()
	p.readyTimer.update(p.ready)
	p.wasReady = p.wasReady || p.ready
	p.remoteClockUs = status.GetClockUs()
	p.mu.Unlock()
	p.handleTopics(status)
	age := p.measureAge(status.GetClockUs())
	p.links.shares.reported(clock.Now()-age, status.GetOwner(), status.GetDelegates())
	p.session.setLag(milliseconds(status.GetLagMs()))
	if p.local.OnConfigVersion != nil {
		p.local.OnConfigVersion(status.GetConfigVersion(), !status.GetConfigUnchecked())
	}
	if changed {
		p.log.Info("State of an entry changed.", "entry", status.GetOwner(), "ready", status.GetReady(), "stopping", status.GetStopping(), "order", status.GetOrder())
	}
}

// handlePlacement handles the answer to an outgoing request. An entry that hands its
// requests over is not used again until its next status says that it is ready.
func (p *Peer) handlePlacement(answer planner.Placement) {
	p.mu.Lock()
	outgoing := p.outgoing[answer.ID]
	delete(p.outgoing, answer.ID)
	if answer.RefusalReason == planner.HandedOver {
		p.ready, p.wasReady = false, false
	}
	p.mu.Unlock()
	if outgoing != nil {
		outgoing.onReply(answer, answer.RefusalReason != planner.HandedOver)
	}
}

func (p *Peer) handleResultChanges(m *peerpb.Made) {
	p.mu.Lock()
	outgoing := p.outgoing[m.GetId()]
	p.mu.Unlock()
	if outgoing != nil {
		outgoing.onResultChanges(decodeResultLocations(m.GetResults()))
	}
}

// handleRequest places a request for the other entry.
func (p *Peer) handleRequest(m *peerpb.Place) {
	req, ok := decodeRequest(m)
	if !ok {
		p.session.send(encodePlacement(planner.Placement{ID: req.ID, RefusalReason: planner.NoServer}))
		return
	}
	age := p.measureAge(m.GetClockUs())
	if p.local.lag.yielding() {
		p.session.send(encodePlacement(planner.Placement{ID: req.ID, RefusalReason: planner.HandedOver}))
		return
	}
	if p.local.lag.shouldRefuse(age, req.Priority) {
		p.refuseLate(&req, age)
		return
	}
	req.TimeToObjective -= age
	req.TimeToDeadline -= age
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		return
	}
	p.incoming[req.ID] = true
	req.Owner = p.owner
	p.mu.Unlock()
	p.planner.Place(req, planner.Callbacks{
		OnPlacement:     p.sendPlacement,
		OnResultChanges: func(results []staging.ResultLocation) { p.session.sendLater(encodeResultChanges(req.ID, results)) },
	})
}

// refuseLate refuses a request whose message waited too long, because this entry is late
// with its work.
func (p *Peer) refuseLate(req *planner.Request, age time.Duration) {
	retryAfter := overload.RetryAfter(req.ID, age, req.TimeToDeadline-age)
	p.log.Info("Request refused.", "request", req.ID, "owner", p.Owner(), "reason", "placing entry is late", "age", age, "retry_after", retryAfter)
	p.planner.FreeResults(req.PriorResults)
	p.session.send(encodePlacement(planner.Placement{ID: req.ID, RefusalReason: staging.Overloaded, RetryAfter: retryAfter}))
}

func (p *Peer) sendPlacement(answer planner.Placement) {
	if !answer.Placed() {
		p.removeIncoming(answer.ID)
	}
	p.session.send(encodePlacement(answer))
}

func (p *Peer) handleProgress(id string, progress planner.Progress) {
	if progress.Phase != planner.Started {
		p.removeIncoming(id)
	}
	p.planner.UpdateProgress(id, progress)
}

func (p *Peer) removeIncoming(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.incoming, id)
}

// endSession reports the outgoing requests as not placed and abandons the requests
// placed for the other entry.
func (p *Peer) endSession() {
	p.mu.Lock()
	p.ended = true
	outgoing, incoming := p.outgoing, p.incoming
	p.outgoing, p.incoming = map[string]*outgoingRequest{}, map[string]bool{}
	p.mu.Unlock()
	p.log.Info("Session with an entry ended.", "entry", p.Owner(), "pending", len(outgoing), "open", len(incoming))
	for _, out := range outgoing {
		out.onReply(planner.Placement{}, false)
	}
	for id := range incoming {
		p.planner.Abandon(id)
	}
}
