package burn

import "time"

const (
	// fineStep is the bucket length for the 5 min window, coarseStep that for the
	// longer windows. ringSize is the number of buckets kept: the 72 coarse buckets
	// of 6 h and one more.
	fineStep   = 10 * time.Second
	coarseStep = 5 * time.Minute
	ringSize   = 73
)

// Window is a time span ending now over which burn rates are calculated.
type Window int

// The windows. Those of 5 min and 1 h form a pair, as do those of 30 min and 6 h.
// The short window of a pair confirms that the error budget is still being spent,
// so that an alert ends soon after its cause.
const (
	Last5Minutes Window = iota
	LastHour
	Last30Minutes
	Last6Hours
	windowCount
)

// Windows lists all windows.
func Windows() []Window { return []Window{Last5Minutes, LastHour, Last30Minutes, Last6Hours} }

// String returns the short name, such as "5m".
func (w Window) String() string { return [...]string{"5m", "1h", "30m", "6h"}[w] }

// Length returns the length of the window.
func (w Window) Length() time.Duration {
	return [...]time.Duration{5 * time.Minute, time.Hour, 30 * time.Minute, 6 * time.Hour}[w]
}

// Counts holds the number of requests by outcome. Good requests were answered
// completely within their deadline.
type Counts struct {
	Total   uint64 `json:"total"`
	Good    uint64 `json:"good"`
	Refused uint64 `json:"refused"`
	Late    uint64 `json:"late"`
	Failed  uint64 `json:"failed"`
}

func (c *Counts) add(class outcomeClass) {
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

// Attainment returns the fraction of good requests, or 1 if there were none.
func (c Counts) Attainment() float64 {
	if c.Total == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Total)
}

// BurnRate returns the error rate divided by the rate that the objective allows. At
// a burn rate of 1 the error budget lasts exactly for the objective's period.
func (c Counts) BurnRate(objective float64) float64 {
	allowed := 1 - objective
	if c.Total == 0 || allowed <= 0 {
		return 0
	}
	return (1 - c.Attainment()) / allowed
}

// bucket counts the requests of one time step. Steps are numbered from the Unix
// epoch.
type bucket struct {
	step int64
	Counts
}

// bucketRing holds the latest buckets, indexed by step modulo ringSize.
type bucketRing [ringSize]bucket

// bucketAt returns the counts of the bucket at the time now, which replaces an
// outdated bucket in the same place.
func (r *bucketRing) bucketAt(now time.Time, length time.Duration) *Counts {
	step := now.UnixNano() / int64(length)
	b := &r[step%ringSize]
	if b.step != step {
		*b = bucket{step: step}
	}
	return &b.Counts
}

// sum adds up the buckets of the span that ends now.
func (r *bucketRing) sum(now time.Time, length, span time.Duration) Counts {
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

// windowCounts returns the counts over each window.
func (h *history) windowCounts(now time.Time) [windowCount]Counts {
	var counts [windowCount]Counts
	for _, w := range Windows() {
		if w == Last5Minutes {
			counts[w] = h.fine.sum(now, fineStep, w.Length())
		} else {
			counts[w] = h.coarse.sum(now, coarseStep, w.Length())
		}
	}
	return counts
}
