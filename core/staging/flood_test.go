package staging

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/residency"
)

// floodEvent is the end of a call, the start of a request, or the end of a free request.
type floodEvent struct {
	at   time.Duration
	call *Call
	job  string
	free uint64
}

type floodEvents []floodEvent

func (q floodEvents) Len() int           { return len(q) }
func (q floodEvents) Less(i, k int) bool { return q[i].at < q[k].at }
func (q floodEvents) Swap(i, k int)      { q[i], q[k] = q[k], q[i] }
func (q *floodEvents) Push(x any)        { *q = append(*q, x.(floodEvent)) }
func (q *floodEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// floodPlay plays customers that send requests with one stage to four servers. Each server
// keeps the results of a request until it starts, 0.2 s after its stage is complete.
type floodPlay struct {
	scheduler *Scheduler
	events    floodEvents
	// dueAt and customerOf describe the jobs; onTime counts those that started in time
	// and were sent in the measured span, sent all of that span.
	dueAt        map[string]time.Duration
	customerOf   map[string]int
	sent, onTime []int
}

const (
	floodBegin, floodEnd = 10 * time.Second, 18 * time.Second
	floodObjective       = 1500 * time.Millisecond
)

func (w *floodPlay) takeActions(now time.Duration) {
	actions := w.scheduler.TakeActions()
	for _, c := range actions.Calls {
		heap.Push(&w.events, floodEvent{at: now + c.ExpectedTime, call: &c})
	}
	for _, j := range actions.CompletedJobs {
		heap.Push(&w.events, floodEvent{at: now + 200*time.Millisecond, job: j.JobID})
	}
	for _, f := range actions.FreeRequests {
		heap.Push(&w.events, floodEvent{at: now + 10*time.Millisecond, free: f.ID})
	}
}

func (w *floodPlay) handle(e floodEvent) {
	switch {
	case e.call != nil:
		results := make([]Result, len(e.call.Items))
		for i, it := range e.call.Items {
			results[i].Handle = fmt.Sprint(it.JobID, ".", it.Piece, ".", e.call.ID)
		}
		w.scheduler.CallDone(e.at, e.call.ID, CallResult{Results: results})
	case e.job != "":
		w.scheduler.RequestStarted(e.at, e.job)
		if customer, ok := w.customerOf[e.job]; ok && e.at <= w.dueAt[e.job] {
			w.onTime[customer]++
		}
	default:
		w.scheduler.FreeDone(e.at, e.free, 0)
	}
	w.takeActions(e.at)
}

// playFlood returns the share of each customer's requests that were on time, of those sent
// while customer 0 sends factor times its usual.
func playFlood(rates []float64, factor float64) []float64 {
	const step = time.Millisecond
	random := rand.New(rand.NewPCG(3, 3))
	w := &floodPlay{
		scheduler: New(), dueAt: map[string]time.Duration{}, customerOf: map[string]int{},
		sent: make([]int, len(rates)), onTime: make([]int, len(rates)),
	}
	var servers []Server
	for i := range 4 {
		servers = append(servers, Server{ID: fmt.Sprint("a", i), Zone: "z"})
	}
	w.scheduler.SetPool("a", PoolSpec{Slots: 1, BatchSize: 8, CallOverhead: 150 * time.Millisecond, TimePerPiece: 16 * time.Millisecond, MemoryBytes: 40_000_000, ResultRetention: 4 * time.Second}, servers)
	jobs := 0
	for now := time.Duration(0); now < floodEnd+3*time.Second; now += step {
		for len(w.events) > 0 && w.events[0].at <= now {
			w.handle(heap.Pop(&w.events).(floodEvent))
		}
		for customer, rate := range rates {
			if customer == 0 && now >= floodBegin && now < floodEnd {
				rate *= factor
			}
			if random.Float64() >= rate*step.Seconds() {
				continue
			}
			jobs++
			id := fmt.Sprint("j", jobs)
			w.dueAt[id] = now + floodObjective
			if now >= floodBegin+time.Second && now < floodEnd {
				w.sent[customer]++
				w.customerOf[id] = customer
			}
			w.scheduler.Submit(now, Job{
				ID: id, Key: id, Customer: fmt.Sprint("c", customer), Stages: []Stage{{Pool: "a", Pieces: 2, ResultBytes: 1_000_000}},
				ObjectiveDeadline: now + floodObjective, Deadline: now + 12*time.Second, RequestDuration: 200 * time.Millisecond, Residency: residency.Unrestricted(),
			})
			w.takeActions(now)
		}
		if now%(10*time.Millisecond) == 0 {
			w.scheduler.Tick(now)
			w.takeActions(now)
		}
	}
	shares := make([]float64, len(rates))
	for i := range shares {
		shares[i] = float64(w.onTime[i]) / float64(max(w.sent[i], 1))
	}
	return shares
}

// TestFloodOfOneCustomer plays a customer that sends eight times its usual. Pattern: hot
// tenant. The requests of the others must be on time as they are without the flood, and
// the flooding one still gets what they leave.
func TestFloodOfOneCustomer(t *testing.T) {
	for _, rates := range [][]float64{{9, 9, 8, 6, 4}, {4, 12, 10, 6, 4}} {
		calm, flood := playFlood(rates, 1), playFlood(rates, 8)
		for customer := 1; customer < len(rates); customer++ {
			assert.Assert(t, flood[customer] >= 0.95*calm[customer], "customer %d: %.2f on time, %.2f without the flood", customer, flood[customer], calm[customer])
		}
		assert.Assert(t, 8*flood[0] >= 0.95*calm[0], "the flooding customer gets less than without the flood: %.2f of 8 times as many", flood[0])
	}
}
