// Package burn keeps the service-level figures of one entry: attainment by call,
// customer and stage, the burn of the error budget over windows, which stage
// spent the deadline, and the cost by stage. Reports of entries can be merged.
// It has no clock and no I/O.
package burn

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Request describes a request that ended or was refused.
type Request struct {
	Call, Customer string
	// Objective is the attainment objective of the call.
	Objective float64
	Code      result.Code
	// Took is the time until the answer; Deadline is what the caller allowed.
	Took, Deadline time.Duration
	Stages         []Stage
}

// Stage is what one stage of a request took and cost.
type Stage struct {
	Name     string
	Attempts int
	Hedges   int
	// Took is the time from the first attempt to the result or to giving up.
	Took time.Duration
	// Queue and Service are those of the attempt whose result was used.
	Queue, Service time.Duration
	Tokens         int64
	// CrossRegionBytes are the bytes of input that were brought from another region.
	CrossRegionBytes int64
}

// outcome classes a request for the objective.
type outcome uint8

const (
	ignored outcome = iota
	good
	refused
	late
	failed
)

// class tells how a request counts. A request at fault itself, or cancelled by
// its caller, does not count.
func (r *Request) class() outcome {
	switch {
	case r.Code == result.Cancelled || r.Code >= 1000 && r.Code < 2000:
		return ignored
	case r.Code == result.DeadlineExceeded, r.Code == result.OK && r.Took > r.Deadline:
		return late
	case r.Code == result.OK:
		return good
	case r.Code >= 2000 && r.Code < 3000:
		return refused
	}
	return failed
}

// Counts tells whether the request counts for the objective.
func (r *Request) Counts() bool { return r.class() != ignored }

// Attained tells whether the request was answered completely within its deadline.
func (r *Request) Attained() bool { return r.class() == good }

// Tracker takes in the requests of one entry. It is not safe for concurrent use.
type Tracker struct {
	entry     string
	calls     table
	customers table
	all       line
	stages    map[stageKey]*stageLine
}

type stageKey struct{ call, stage string }

// NewTracker returns a tracker without figures for the named entry.
func NewTracker(entry string) *Tracker {
	return &Tracker{entry: entry, calls: table{}, customers: table{}, stages: map[stageKey]*stageLine{}}
}

// table holds lines by name.
type table map[string]*line

// line counts the requests of one call or customer.
type line struct {
	objective float64
	fine      ring
	coarse    ring
}

func (t table) add(now time.Time, name string, objective float64, class outcome) {
	l := t[name]
	if l == nil {
		l = &line{}
		t[name] = l
	}
	l.add(now, objective, class)
}

func (l *line) add(now time.Time, objective float64, class outcome) {
	l.objective = max(l.objective, objective)
	l.fine.at(now, fineStep).add(class)
	l.coarse.at(now, coarseStep).add(class)
}

// Record takes in a request.
func (t *Tracker) Record(now time.Time, r *Request) {
	class := r.class()
	if class == ignored {
		return
	}
	t.all.add(now, r.Objective, class)
	t.calls.add(now, r.Call, r.Objective, class)
	t.customers.add(now, r.Customer, r.Objective, class)
	longest := longestStage(r)
	for i := range r.Stages {
		s := &r.Stages[i]
		key := stageKey{r.Call, s.Name}
		l := t.stages[key]
		if l == nil {
			l = &stageLine{order: i}
			t.stages[key] = l
		}
		l.add(now, s, class, i == longest)
	}
}

// longestStage returns the index of the stage that took longest, or -1.
func longestStage(r *Request) int {
	at := -1
	for i := range r.Stages {
		if at < 0 || r.Stages[i].Took > r.Stages[at].Took {
			at = i
		}
	}
	return at
}
