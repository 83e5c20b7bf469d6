package burn

import (
	"cmp"
	"slices"
	"time"
)

// Report holds the figures of one entry, or of several after Merge.
type Report struct {
	Entries []string  `json:"entries"`
	At      time.Time `json:"at"`
	All     Line      `json:"all"`
	// Calls and Customers are sorted by name; Stages by call and place.
	Calls     []Line      `json:"calls"`
	Customers []Line      `json:"customers"`
	Stages    []StageLine `json:"stages"`
}

// Line is the figures of one call or customer.
type Line struct {
	Name string `json:"name"`
	// Objective is the greatest objective of the calls that were counted.
	Objective float64 `json:"objective"`
	// Windows holds the counts by Window.
	Windows [windows]Counts `json:"windows"`
	// Recent holds 10 s and Series 5 min steps, by time.
	Recent []Point `json:"recent,omitempty"`
	Series []Point `json:"series,omitempty"`
}

// Point is the counts of one step of time.
type Point struct {
	// Start is when the step began, in seconds since the epoch.
	Start int64 `json:"start"`
	Counts
}

// StageLine is the cost of one stage of one call over six hours.
type StageLine struct {
	Call  string `json:"call"`
	Stage string `json:"stage"`
	Order int    `json:"order"`
	Cost
}

// Burn returns the burn over a window.
func (l *Line) Burn(w Window) float64 { return l.Windows[w].Burn(l.Objective) }

// BudgetLeft is the share of the error budget of the longest window that is
// left; it is negative once more was spent.
func (l *Line) BudgetLeft() float64 { return 1 - l.Burn(Hours6) }

// The burn rates that call for a person at once, and within hours.
const (
	PageBurn   = 14.4
	TicketBurn = 6.0
)

// Alert is what the burn of a line calls for.
type Alert string

// The alerts.
const (
	NoAlert Alert = ""
	// Page means that both 5 min and 1 h burn faster than PageBurn.
	Page Alert = "page"
	// Ticket means that both 30 min and 6 h burn faster than TicketBurn.
	Ticket Alert = "ticket"
)

// Alert returns the most urgent alert of the line.
func (l *Line) Alert() Alert {
	switch {
	case l.Burn(Minutes5) > PageBurn && l.Burn(Hour1) > PageBurn:
		return Page
	case l.Burn(Minutes30) > TicketBurn && l.Burn(Hours6) > TicketBurn:
		return Ticket
	}
	return NoAlert
}

// Report returns the figures as of now.
func (t *Tracker) Report(now time.Time) *Report {
	r := &Report{Entries: []string{t.entry}, At: now, All: t.all.report(now, "all")}
	r.Calls = t.calls.report(now)
	r.Customers = t.customers.report(now)
	for key, l := range t.stages {
		c := l.sum(now, Hours6.Length())
		if c.Requests > 0 {
			r.Stages = append(r.Stages, StageLine{key.call, key.stage, l.order, c})
		}
	}
	slices.SortFunc(r.Stages, compareStages)
	return r
}

func (t table) report(now time.Time) []Line {
	lines := make([]Line, 0, len(t))
	for name, l := range t {
		if r := l.report(now, name); r.Windows[Hours6].Total > 0 {
			lines = append(lines, r)
		}
	}
	slices.SortFunc(lines, compareLines)
	return lines
}

func (l *line) report(now time.Time, name string) Line {
	return Line{
		Name: name, Objective: l.objective, Windows: l.windows(now),
		Recent: l.fine.points(now, fineStep, Minutes5.Length()),
		Series: l.coarse.points(now, coarseStep, Hours6.Length()),
	}
}

// points returns the buckets in the span before now, by time.
func (r *ring) points(now time.Time, length, span time.Duration) []Point {
	last := now.UnixNano() / int64(length)
	var out []Point
	for step := last - int64(span/length) + 1; step <= last; step++ {
		if b := &r[step%ringSize]; b.step == step && b.Total > 0 {
			out = append(out, Point{step * int64(length/time.Second), b.Counts})
		}
	}
	return out
}

// Merge adds up the reports of several entries.
func Merge(reports ...*Report) *Report {
	m := &Report{All: Line{Name: "all"}}
	for _, r := range reports {
		m.Entries = append(m.Entries, r.Entries...)
		if r.At.After(m.At) {
			m.At = r.At
		}
		m.All.merge(&r.All)
		m.Calls = mergeLines(m.Calls, r.Calls)
		m.Customers = mergeLines(m.Customers, r.Customers)
		m.Stages = mergeStages(m.Stages, r.Stages)
	}
	slices.Sort(m.Entries)
	return m
}

func mergeLines(into, from []Line) []Line {
	for i := range from {
		at, found := slices.BinarySearchFunc(into, from[i], compareLines)
		if !found {
			into = slices.Insert(into, at, Line{Name: from[i].Name})
		}
		into[at].merge(&from[i])
	}
	return into
}

func mergeStages(into, from []StageLine) []StageLine {
	for i := range from {
		at, found := slices.BinarySearchFunc(into, from[i], compareStages)
		if !found {
			into = slices.Insert(into, at, StageLine{Call: from[i].Call, Stage: from[i].Stage, Order: from[i].Order})
		}
		into[at].Cost.merge(&from[i].Cost)
	}
	return into
}

func (l *Line) merge(o *Line) {
	l.Objective = max(l.Objective, o.Objective)
	for w := range l.Windows {
		l.Windows[w].merge(o.Windows[w])
	}
	l.Recent = mergePoints(l.Recent, o.Recent)
	l.Series = mergePoints(l.Series, o.Series)
}

func mergePoints(into, from []Point) []Point {
	for _, p := range from {
		at, found := slices.BinarySearchFunc(into, p, func(a, b Point) int { return cmp.Compare(a.Start, b.Start) })
		if !found {
			into = slices.Insert(into, at, Point{Start: p.Start})
		}
		into[at].merge(p.Counts)
	}
	return into
}

func compareLines(a, b Line) int { return cmp.Compare(a.Name, b.Name) }

func compareStages(a, b StageLine) int {
	return cmp.Or(cmp.Compare(a.Call, b.Call), cmp.Compare(a.Order, b.Order), cmp.Compare(a.Stage, b.Stage))
}
