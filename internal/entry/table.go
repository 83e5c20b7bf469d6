package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/pipeline"
	"github.com/magnoliawheel/magnoliawheel/core/reqid"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/answer"
	"github.com/magnoliawheel/magnoliawheel/internal/callerapi"
	"github.com/magnoliawheel/magnoliawheel/internal/settings"
)

// comeBack is the Retry-After of refusals by the entry itself.
const comeBack = 500 * time.Millisecond

// table holds the requests in flight and the answers kept, within the bounds of
// the settings.
type table struct {
	p      *Process
	limits settings.EntryLimits
	bytes  atomic.Int64

	mu      sync.Mutex
	byID    map[string]*request
	active  int
	refuse  bool
	idle    chan struct{}
	expired []keptAnswer
}

// keptAnswer is a finished request in the order of its end.
type keptAnswer struct {
	id string
	at time.Time
}

func newTable(p *Process, l settings.EntryLimits) *table {
	return &table{p: p, limits: l, byID: map[string]*request{}, idle: make(chan struct{}, 1)}
}

func (t *table) grew(n int) { t.bytes.Add(int64(n)) }

// add takes a request in, or says why not.
func (t *table) add(r *request) *result.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.take(r)
}

// adopt takes in a request of an entry that is gone, or returns the one that is
// there already.
func (t *table) adopt(r *request) (existing *request, bad *result.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if existing = t.byID[r.id]; existing != nil {
		return existing, nil
	}
	return nil, t.take(r)
}

func (t *table) take(r *request) *result.Error {
	t.evict(time.Now())
	switch {
	case t.refuse:
		return refusal(result.EntryDraining, "the entry is shutting down")
	case t.active >= t.limits.MaxRequests:
		return refusal(result.Overloaded, "the entry has too many requests in flight")
	case t.bytes.Load() >= t.limits.AnswerMemoryBytes:
		return refusal(result.ResultsFull, "the entry's memory for answers is full")
	}
	t.byID[r.id] = r
	t.active++
	return nil
}

func refusal(c result.Code, message string) *result.Error {
	e := result.New(c, "%s", message)
	e.RetryAfter = comeBack
	return e
}

// ended moves a request to the answers kept.
func (t *table) ended(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	now := time.Now()
	t.expired = append(t.expired, keptAnswer{id: r.id, at: now.Add(t.limits.AnswerRetention.AsDuration())})
	t.evict(now)
	if t.active == 0 {
		select {
		case t.idle <- struct{}{}:
		default:
		}
	}
}

// evict drops answers kept for their time, and the oldest while over the bound.
func (t *table) evict(now time.Time) {
	n := 0
	for _, k := range t.expired {
		if now.Before(k.at) && t.bytes.Load() < t.limits.AnswerMemoryBytes {
			break
		}
		if r := t.byID[k.id]; r != nil {
			t.bytes.Add(-int64(r.record.Size()))
			delete(t.byID, k.id)
			r.cancel()
		}
		n++
	}
	t.expired = t.expired[n:]
}

func (t *table) get(id string) *request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

func (t *table) running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}

// refusal tells why no request is taken now, before any work for one is done.
func (t *table) refusal() *result.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refuse {
		return refusal(result.EntryDraining, "the entry is shutting down")
	}
	return nil
}

func (t *table) refuseNew() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refuse = true
}

// waitIdle returns once no request is in flight or ctx ends.
func (t *table) waitIdle(ctx context.Context) {
	for t.running() > 0 {
		select {
		case <-t.idle:
		case <-ctx.Done():
			return
		}
	}
}

func newID(entry string) string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return reqid.New(entry, binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:]))
}

// Submit starts a request.
func (p *Process) Submit(req *callerapi.Request) (*answer.Record, *result.Error) {
	now := time.Now()
	if bad := p.table.refusal(); bad != nil {
		p.refused(now, req, bad)
		return nil, bad
	}
	if d := p.decider.admit(now, req); d.Code != result.OK {
		e := result.New(d.Code, "the request was not admitted")
		e.RetryAfter = d.RetryAfter
		p.refused(now, req, e)
		return nil, e
	}
	r := p.newRequest(newID(p.opts.Settings.Instance.ID), req, nil)
	if bad := p.table.add(r); bad != nil {
		r.discard()
		p.decider.finish(now, req.Customer.Name, bad.Code, 0)
		p.refused(now, req, bad)
		return nil, bad
	}
	r.step(pipeline.Start{})
	return r.record, nil
}

// InFlight lists the requests in flight, sorted by id.
func (p *Process) InFlight() []InFlight {
	p.table.mu.Lock()
	var all []*request
	for _, r := range p.table.byID {
		all = append(all, r)
	}
	p.table.mu.Unlock()
	now := time.Now()
	var out []InFlight
	for _, r := range all {
		if !r.record.Complete() {
			out = append(out, r.inFlight(now))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
