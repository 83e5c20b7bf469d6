// Package burn tracks the service-level objectives of the requests of one entry:
// attainment by call and customer, the burn rate of the error budget over several
// windows, and the cost of each stage, including how often it was the longest
// stage of a late request. Reports of several entries can be merged. The package
// reads no clock and does no I/O.
package burn

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Request describes a completed, failed or refused request.
type Request struct {
	Call, Customer string
	// Objective is the service-level objective of the call, such as 0.99.
	Objective float64
	Code      result.Code
	// Elapsed is the time from the request to the answer; Deadline is the time
	// allowed by the caller.
	Elapsed, Deadline time.Duration
	Stages            []Stage
}

// Stage describes the timing and cost of one stage of a request.
type Stage struct {
	Name     string
	Attempts int
	Hedges   int
	// Elapsed is the time from the first attempt to the result or final failure.
	Elapsed time.Duration
	// QueueTime and ServiceTime are the times that the attempt whose result was
	// used spent in the agent's queue and at the server.
	QueueTime, ServiceTime time.Duration
	Tokens                 int64
	// CrossRegionBytes is the size of the input transferred from another region.
	CrossRegionBytes int64
}

// outcomeClass classifies a request with respect to its objective.
type outcomeClass uint8

const (
	// ignored requests do not count toward the objective.
	ignored outcomeClass = iota
	// good requests were answered completely within their deadline.
	good
	// refused requests were rejected because of load or state.
	refused
	// late requests missed their deadline.
	late
	// failed requests ended with any other error.
	failed
)

// classify returns the class of the request. Invalid requests and requests
// cancelled by the caller are ignored.
func (r *Request) classify() outcomeClass {
	switch {
	case r.Code == result.Cancelled || r.Code >= 1000 && r.Code < 2000:
		return ignored
	case r.Code == result.DeadlineExceeded, r.Code == result.OK && r.Elapsed > r.Deadline:
		return late
	case r.Code == result.OK:
		return good
	case r.Code >= 2000 && r.Code < 3000:
		return refused
	}
	return failed
}

// CountsTowardObjective reports whether the request is included in the attainment.
func (r *Request) CountsTowardObjective() bool { return r.classify() != ignored }

// Attained reports whether the request met the objective: a complete answer within
// its deadline.
func (r *Request) Attained() bool { return r.classify() == good }

// Tracker aggregates the requests of one entry. It is not safe for concurrent use.
type Tracker struct {
	entry     string
	calls     historyByName
	customers historyByName
	overall   history
	stages    map[stageKey]*stageHistory
}

// stageKey identifies a stage of a call.
type stageKey struct{ call, stage string }

// NewTracker returns an empty tracker for the named entry.
func NewTracker(entry string) *Tracker {
	return &Tracker{entry: entry, calls: historyByName{}, customers: historyByName{}, stages: map[stageKey]*stageHistory{}}
}

// historyByName holds the histories of calls or customers by name.
type historyByName map[string]*history

// history counts the requests of one call or customer over time, in fine buckets
// for the 5 min window and coarse buckets for the longer ones.
type history struct {
	objective float64
	fine      bucketRing
	coarse    bucketRing
}

func (m historyByName) add(now time.Time, name string, objective float64, class outcomeClass) {
	h := m[name]
	if h == nil {
		h = &history{}
		m[name] = h
	}
	h.add(now, objective, class)
}

func (h *history) add(now time.Time, objective float64, class outcomeClass) {
	h.objective = max(h.objective, objective)
	h.fine.bucketAt(now, fineStep).add(class)
	h.coarse.bucketAt(now, coarseStep).add(class)
}

// Record adds a request.
func (t *Tracker) Record(now time.Time, r *Request) {
	class := r.classify()
	if class == ignored {
		return
	}
	t.overall.add(now, r.Objective, class)
	t.calls.add(now, r.Call, r.Objective, class)
	t.customers.add(now, r.Customer, r.Objective, class)
	longest := longestStage(r)
	for i := range r.Stages {
		s := &r.Stages[i]
		key := stageKey{r.Call, s.Name}
		h := t.stages[key]
		if h == nil {
			h = &stageHistory{position: i}
			t.stages[key] = h
		}
		h.add(now, s, class, i == longest)
	}
}

// longestStage returns the index of the stage with the longest elapsed time, or -1
// if there is no stage.
func longestStage(r *Request) int {
	longest := -1
	for i := range r.Stages {
		if longest < 0 || r.Stages[i].Elapsed > r.Stages[longest].Elapsed {
			longest = i
		}
	}
	return longest
}
