package burn

import "time"

const (
	// fineStep and coarseStep are the lengths of the buckets of short and long
	// windows; ringSize is the number of buckets kept.
	fineStep   = 10 * time.Second
	coarseStep = 5 * time.Minute
	ringSize   = 73
)

// Window is a span of time that burn is worked out over.
type Window int

// The windows: the short one of each pair confirms that the long one still burns.
const (
	Minutes5 Window = iota
	Hour1
	Minutes30
	Hours6
	windows
)

// Windows lists all windows.
func Windows() []Window { return []Window{Minutes5, Hour1, Minutes30, Hours6} }

// String returns the usual short name.
func (w Window) String() string { return [...]string{"5m", "1h", "30m", "6h"}[w] }

// Length returns the span.
func (w Window) Length() time.Duration {
	return [...]time.Duration{5 * time.Minute, time.Hour, 30 * time.Minute, 6 * time.Hour}[w]
}

// Counts counts requests. Good ones were answered completely within their deadline.
type Counts struct {
	Total   uint64 `json:"total"`
	Good    uint64 `json:"good"`
	Refused uint64 `json:"refused"`
	Late    uint64 `json:"late"`
	Failed  uint64 `json:"failed"`
}

func (c *Counts) add(class outcome) {
	c.Total++
	switch class {
	case good:
		c.Good++
	case refused:
		c.Refused++
	case late:
		c.Late++
	default:
		c.Failed++
	}
}

func (c *Counts) merge(o Counts) {
	c.Total += o.Total
	c.Good += o.Good
	c.Refused += o.Refused
	c.Late += o.Late
	c.Failed += o.Failed
}

// Attainment is the share of good requests; 1 if there were none.
func (c Counts) Attainment() float64 {
	if c.Total == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Total)
}

// Burn is the error rate relative to the one that the objective allows; 1 uses
// up the budget exactly over the objective's period.
func (c Counts) Burn(objective float64) float64 {
	allowed := 1 - objective
	if c.Total == 0 || allowed <= 0 {
		return 0
	}
	return (1 - c.Attainment()) / allowed
}

// bucket counts the requests of one step of time, numbered from the epoch.
type bucket struct {
	step int64
	Counts
}

// ring holds the latest buckets.
type ring [ringSize]bucket

func (r *ring) at(now time.Time, length time.Duration) *Counts {
	step := now.UnixNano() / int64(length)
	b := &r[step%ringSize]
	if b.step != step {
		*b = bucket{step: step}
	}
	return &b.Counts
}

// sum adds up the buckets that lie in the span before now.
func (r *ring) sum(now time.Time, length, span time.Duration) Counts {
	last := now.UnixNano() / int64(length)
	first := last - int64(span/length) + 1
	var c Counts
	for i := range r {
		if b := &r[i]; b.step >= first && b.step <= last {
			c.merge(b.Counts)
		}
	}
	return c
}

// windows works out the counts over all windows.
func (l *line) windows(now time.Time) [windows]Counts {
	var out [windows]Counts
	for _, w := range Windows() {
		if w == Minutes5 {
			out[w] = l.fine.sum(now, fineStep, w.Length())
		} else {
			out[w] = l.coarse.sum(now, coarseStep, w.Length())
		}
	}
	return out
}
