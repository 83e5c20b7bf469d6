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

// refusalRetryAfter is the Retry-After of refusals by the entry itself.
const refusalRetryAfter = 500 * time.Millisecond

// requestTable holds the requests in flight and the kept answers, within the limits
// of the settings.
type requestTable struct {
	p           *Process
	limits      settings.EntryLimits
	answerBytes atomic.Int64

	mu     sync.Mutex
	byID   map[string]*request
	active int
	// draining makes the table refuse new requests.
	draining bool
	// idle is signalled when the last request in flight ends.
	idle chan struct{}
	// kept lists the finished requests in the order in which they ended.
	kept []keptAnswer
}

// keptAnswer is a finished request whose answer is kept until expiresAt.
type keptAnswer struct {
	id        string
	expiresAt time.Time
}

func newRequestTable(p *Process, l settings.EntryLimits) *requestTable {
	return &requestTable{p: p, limits: l, byID: map[string]*request{}, idle: make(chan struct{}, 1)}
}

func (t *requestTable) addAnswerBytes(n int) { t.answerBytes.Add(int64(n)) }

// add inserts a request, or returns the reason why it is refused.
func (t *requestTable) add(r *request) *result.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.insertLocked(r)
}

// adopt inserts a request taken over from another entry. If the table already has a
// request with the same ID, adopt returns that one instead.
func (t *requestTable) adopt(r *request) (existing *request, resErr *result.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if existing = t.byID[r.id]; existing != nil {
		return existing, nil
	}
	return nil, t.insertLocked(r)
}

// insertLocked inserts a request for callers that hold the lock.
func (t *requestTable) insertLocked(r *request) *result.Error {
	t.evict(time.Now())
	switch {
	case t.draining:
		return newRefusal(result.EntryDraining, "the entry is shutting down")
	case t.active >= t.limits.MaxRequests:
		return newRefusal(result.Overloaded, "the entry has too many requests in flight")
	case t.answerBytes.Load() >= t.limits.AnswerMemoryBytes:
		return newRefusal(result.ResultsFull, "the entry's memory for answers is full")
	}
	t.byID[r.id] = r
	t.active++
	return nil
}

// newRefusal returns a refusal after which the caller may retry in refusalRetryAfter.
func newRefusal(c result.Code, message string) *result.Error {
	e := result.New(c, "%s", message)
	e.RetryAfter = refusalRetryAfter
	return e
}

// finish moves a request from those in flight to the kept answers.
func (t *requestTable) finish(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	now := time.Now()
	t.kept = append(t.kept, keptAnswer{id: r.id, expiresAt: now.Add(t.limits.AnswerRetention.AsDuration())})
	t.evict(now)
	if t.active == 0 {
		select {
		case t.idle <- struct{}{}:
		default:
		}
	}
}

// evict removes expired answers and, while the memory limit is reached, the oldest
// ones. The caller holds the lock.
func (t *requestTable) evict(now time.Time) {
	n := 0
	for _, k := range t.kept {
		if now.Before(k.expiresAt) && t.answerBytes.Load() < t.limits.AnswerMemoryBytes {
			break
		}
		if r := t.byID[k.id]; r != nil {
			t.answerBytes.Add(-int64(r.record.Size()))
			delete(t.byID, k.id)
			r.cancel()
		}
		n++
	}
	t.kept = t.kept[n:]
}

func (t *requestTable) get(id string) *request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

func (t *requestTable) activeCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}

// drainRefusal returns a refusal if the entry is draining, so that no work is done
// for requests that add would refuse.
func (t *requestTable) drainRefusal() *result.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return newRefusal(result.EntryDraining, "the entry is shutting down")
	}
	return nil
}

// refuseNew makes the table refuse all further requests.
func (t *requestTable) refuseNew() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// waitIdle returns when no request is in flight or ctx ends.
func (t *requestTable) waitIdle(ctx context.Context) {
	for t.activeCount() > 0 {
		select {
		case <-t.idle:
		case <-ctx.Done():
			return
		}
	}
}

func newRequestID(entry string) string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return reqid.New(entry, binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:]))
}

// Submit admits and starts a request.
func (p *Process) Submit(req *callerapi.Request) (*answer.Record, *result.Error) {
	now := time.Now()
	if resErr := p.table.drainRefusal(); resErr != nil {
		p.reportRefusal(now, req, resErr)
		return nil, resErr
	}
	if d := p.decider.admit(now, req); d.Code != result.OK {
		e := result.New(d.Code, "the request was not admitted")
		e.RetryAfter = d.RetryAfter
		p.reportRefusal(now, req, e)
		return nil, e
	}
	r := p.newRequest(newRequestID(p.opts.Settings.Instance.ID), req, nil)
	if resErr := p.table.add(r); resErr != nil {
		r.discard()
		p.decider.finishRequest(resErr.Code)
		p.reportRefusal(now, req, resErr)
		return nil, resErr
	}
	r.step(pipeline.Start{})
	return r.record, nil
}

// InFlight lists the requests in flight, sorted by ID.
func (p *Process) InFlight() []InFlightRequest {
	p.table.mu.Lock()
	var all []*request
	for _, r := range p.table.byID {
		all = append(all, r)
	}
	p.table.mu.Unlock()
	now := time.Now()
	var out []InFlightRequest
	for _, r := range all {
		if !r.record.Complete() {
			out = append(out, r.inFlight(now))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
