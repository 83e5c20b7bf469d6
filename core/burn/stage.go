package burn

import "time"

// Cost adds up what a stage took and cost. Times are in seconds.
type Cost struct {
	Requests uint64 `json:"requests"`
	Attempts uint64 `json:"attempts"`
	Hedges   uint64 `json:"hedges"`
	// Seconds is the time from the first attempt to the result; Queue is the part
	// spent in agents' queues and Server the part at servers.
	Seconds float64 `json:"seconds"`
	Queue   float64 `json:"queue_seconds"`
	Server  float64 `json:"server_seconds"`
	Tokens  uint64  `json:"tokens"`
	// CrossRegionBytes are billed.
	CrossRegionBytes uint64 `json:"cross_region_bytes"`
	// Late counts requests that missed their deadline; Spent those of them in which
	// this stage took longest.
	Late  uint64 `json:"late"`
	Spent uint64 `json:"spent_deadline"`
	// Wasted is the server time of requests that were not good, in seconds.
	Wasted float64 `json:"wasted_server_seconds"`
	// Good counts the good requests that went through the stage.
	Good uint64 `json:"good"`
}

func (c *Cost) add(s *Stage, class outcome, longest bool) {
	c.Requests++
	c.Attempts += uint64(max(s.Attempts, 0))
	c.Hedges += uint64(max(s.Hedges, 0))
	c.Seconds += s.Took.Seconds()
	c.Queue += s.Queue.Seconds()
	c.Server += s.Service.Seconds()
	c.Tokens += uint64(max(s.Tokens, 0))
	c.CrossRegionBytes += uint64(max(s.CrossRegionBytes, 0))
	switch class {
	case good:
		c.Good++
		return
	case late:
		c.Late++
		if longest {
			c.Spent++
		}
	}
	c.Wasted += s.Service.Seconds()
}

func (c *Cost) merge(o *Cost) {
	c.Requests += o.Requests
	c.Attempts += o.Attempts
	c.Hedges += o.Hedges
	c.Seconds += o.Seconds
	c.Queue += o.Queue
	c.Server += o.Server
	c.Tokens += o.Tokens
	c.CrossRegionBytes += o.CrossRegionBytes
	c.Late += o.Late
	c.Spent += o.Spent
	c.Wasted += o.Wasted
	c.Good += o.Good
}

// stageLine adds up the cost of one stage of one call over the last hours.
type stageLine struct {
	// order is the place of the stage in its pipeline.
	order   int
	buckets [ringSize]struct {
		step int64
		cost Cost
	}
}

func (l *stageLine) add(now time.Time, s *Stage, class outcome, longest bool) {
	step := now.UnixNano() / int64(coarseStep)
	b := &l.buckets[step%ringSize]
	if b.step != step {
		b.step, b.cost = step, Cost{}
	}
	b.cost.add(s, class, longest)
}

func (l *stageLine) sum(now time.Time, span time.Duration) Cost {
	last := now.UnixNano() / int64(coarseStep)
	first := last - int64(span/coarseStep) + 1
	var c Cost
	for i := range l.buckets {
		if b := &l.buckets[i]; b.step >= first && b.step <= last {
			c.merge(&b.cost)
		}
	}
	return c
}
