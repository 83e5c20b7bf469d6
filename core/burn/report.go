package burn

import (
	"cmp"
	"slices"
	"time"
)

// Report holds the service levels and costs of one entry, or of several after
// Merge.
type Report struct {
	Entries []string     `json:"entries"`
	AsOf    time.Time    `json:"at"`
	All     ServiceLevel `json:"all"`
	// Calls and Customers are sorted by name, Stages by call and position.
	Calls     []ServiceLevel `json:"calls"`
	Customers []ServiceLevel `json:"customers"`
	Stages    []StageCost    `json:"stages"`
}

// ServiceLevel is the attainment of one call or customer.
type ServiceLevel struct {
	Name string `json:"name"`
	// Objective is the highest objective of the counted requests.
	Objective float64 `json:"objective"`
	// Windows holds the counts, indexed by Window.
	Windows [windowCount]Counts `json:"windows"`
	// FineSeries covers the last 5 minutes in steps of 10 s, CoarseSeries the last 6
	// hours in steps of 5 min. Both are sorted by time and omit empty steps.
	FineSeries   []Point `json:"recent,omitempty"`
	CoarseSeries []Point `json:"series,omitempty"`
}

// Point holds the counts of one time step.
type Point struct {
	// Start is the beginning of the step in seconds since the Unix epoch.
	Start int64 `json:"start"`
	Counts
}

// StageCost is the cost of one stage of one call over the last six hours.
type StageCost struct {
	Call     string `json:"call"`
	Stage    string `json:"stage"`
	Position int    `json:"order"`
	Cost
}

// BurnRate returns the burn rate over a window.
func (l *ServiceLevel) BurnRate(w Window) float64 { return l.Windows[w].BurnRate(l.Objective) }

// ErrorBudgetRemaining returns the fraction of the error budget of the longest
// window that is not used up. It is negative if the budget is exceeded.
func (l *ServiceLevel) ErrorBudgetRemaining() float64 { return 1 - l.BurnRate(Last6Hours) }

// The burn rates above which an operator must react immediately (page) or within
// hours (ticket).
const (
	PageBurnRate   = 14.4
	TicketBurnRate = 6.0
)

// Alert is the kind of alert that a burn rate raises.
type Alert string

// The kinds of alert.
const (
	NoAlert Alert = ""
	// Page means that the burn rates over 5 min and 1 h both exceed PageBurnRate.
	Page Alert = "page"
	// Ticket means that the burn rates over 30 min and 6 h both exceed
	// TicketBurnRate.
	Ticket Alert = "ticket"
)

// Alert returns the most urgent alert.
func (l *ServiceLevel) Alert() Alert {
	switch {
	case l.BurnRate(Last5Minutes) > PageBurnRate && l.BurnRate(LastHour) > PageBurnRate:
		return Page
	case l.BurnRate(Last30Minutes) > TicketBurnRate && l.BurnRate(Last6Hours) > TicketBurnRate:
		return Ticket
	}
	return NoAlert
}

// Report returns the service levels and costs at the time now.
func (t *Tracker) Report(now time.Time) *Report {
	r := &Report{Entries: []string{t.entry}, AsOf: now, All: t.overall.serviceLevel(now, "all")}
	r.Calls = t.calls.serviceLevels(now)
	r.Customers = t.customers.serviceLevels(now)
	for key, h := range t.stages {
		c := h.sum(now, Last6Hours.Length())
		if c.Requests > 0 {
			r.Stages = append(r.Stages, StageCost{key.call, key.stage, h.position, c})
		}
	}
	slices.SortFunc(r.Stages, compareStageCosts)
	return r
}

func (m historyByName) serviceLevels(now time.Time) []ServiceLevel {
	levels := make([]ServiceLevel, 0, len(m))
	for name, h := range m {
		if level := h.serviceLevel(now, name); level.Windows[Last6Hours].Total > 0 {
			levels = append(levels, level)
		}
	}
	slices.SortFunc(levels, compareByName)
	return levels
}

func (h *history) serviceLevel(now time.Time, name string) ServiceLevel {
	return ServiceLevel{
		Name: name, Objective: h.objective, Windows: h.windowCounts(now),
		FineSeries:   h.fine.points(now, fineStep, Last5Minutes.Length()),
		CoarseSeries: h.coarse.points(now, coarseStep, Last6Hours.Length()),
	}
}

// points returns the non-empty buckets of the span that ends now, sorted by time.
func (r *bucketRing) points(now time.Time, length, span time.Duration) []Point {
	last := now.UnixNano() / int64(length)
	var points []Point
	for step := last - int64(span/length) + 1; step <= last; step++ {
		if b := &r[step%ringSize]; b.step == step && b.Total > 0 {
			points = append(points, Point{step * int64(length/time.Second), b.Counts})
		}
	}
	return points
}

// Merge combines the reports of several entries into one.
func Merge(reports ...*Report) *Report {
	merged := &Report{All: ServiceLevel{Name: "all"}}
	for _, r := range reports {
		merged.Entries = append(merged.Entries, r.Entries...)
		if r.AsOf.After(merged.AsOf) {
			merged.AsOf = r.AsOf
		}
		merged.All.merge(&r.All)
		merged.Calls = mergeServiceLevels(merged.Calls, r.Calls)
		merged.Customers = mergeServiceLevels(merged.Customers, r.Customers)
		merged.Stages = mergeStageCosts(merged.Stages, r.Stages)
	}
	slices.Sort(merged.Entries)
	return merged
}

func mergeServiceLevels(dst, src []ServiceLevel) []ServiceLevel {
	for i := range src {
		index, found := slices.BinarySearchFunc(dst, src[i], compareByName)
		if !found {
			dst = slices.Insert(dst, index, ServiceLevel{Name: src[i].Name})
		}
		dst[index].merge(&src[i])
	}
	return dst
}

func mergeStageCosts(dst, src []StageCost) []StageCost {
	for i := range src {
		index, found := slices.BinarySearchFunc(dst, src[i], compareStageCosts)
		if !found {
			dst = slices.Insert(dst, index, StageCost{Call: src[i].Call, Stage: src[i].Stage, Position: src[i].Position})
		}
		dst[index].Cost.merge(&src[i].Cost)
	}
	return dst
}

func (l *ServiceLevel) merge(o *ServiceLevel) {
	l.Objective = max(l.Objective, o.Objective)
	for w := range l.Windows {
		l.Windows[w].merge(o.Windows[w])
	}
	l.FineSeries = mergePoints(l.FineSeries, o.FineSeries)
	l.CoarseSeries = mergePoints(l.CoarseSeries, o.CoarseSeries)
}

func mergePoints(dst, src []Point) []Point {
	for _, p := range src {
		index, found := slices.BinarySearchFunc(dst, p, func(a, b Point) int { return cmp.Compare(a.Start, b.Start) })
		if !found {
			dst = slices.Insert(dst, index, Point{Start: p.Start})
		}
		dst[index].merge(p.Counts)
	}
	return dst
}

func compareByName(a, b ServiceLevel) int { return cmp.Compare(a.Name, b.Name) }

func compareStageCosts(a, b StageCost) int {
	return cmp.Or(cmp.Compare(a.Call, b.Call), cmp.Compare(a.Position, b.Position), cmp.Compare(a.Stage, b.Stage))
}
