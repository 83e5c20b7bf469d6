package burn

import "time"

// Cost is the total time and resource use of a stage. Times are in seconds.
type Cost struct {
	Requests uint64 `json:"requests"`
	Attempts uint64 `json:"attempts"`
	Hedges   uint64 `json:"hedges"`
	// ElapsedSeconds is the time from the first attempt to the result or final
	// failure. QueueSeconds and ServerSeconds are the times that the attempts whose
	// result was used spent in agents' queues and at servers.
	ElapsedSeconds float64 `json:"seconds"`
	QueueSeconds   float64 `json:"queue_seconds"`
	ServerSeconds  float64 `json:"server_seconds"`
	Tokens         uint64  `json:"tokens"`
	// CrossRegionBytes is the input transferred between regions, which is billed.
	CrossRegionBytes uint64 `json:"cross_region_bytes"`
	// Late counts the requests that missed their deadline, SpentDeadline those of
	// them in which this was the longest stage.
	Late          uint64 `json:"late"`
	SpentDeadline uint64 `json:"spent_deadline"`
	// WastedServerSeconds is the server time of requests that missed the objective.
	WastedServerSeconds float64 `json:"wasted_server_seconds"`
	// Good counts the requests that met the objective.
	Good uint64 `json:"good"`
}

func (c *Cost) add(s *Stage, class outcomeClass, longest bool) {
	c.Requests++
	c.Attempts += uint64(max(s.Attempts, 0))
	c.Hedges += uint64(max(s.Hedges, 0))
	c.ElapsedSeconds += s.Elapsed.Seconds()
	c.QueueSeconds += s.QueueTime.Seconds()
	c.ServerSeconds += s.ServiceTime.Seconds()
	c.Tokens += uint64(max(s.Tokens, 0))
	c.CrossRegionBytes += uint64(max(s.CrossRegionBytes, 0))
	switch class {
	case good:
		c.Good++
		return
	case late:
		c.Late++
		if longest {
			c.SpentDeadline++
		}
	}
	c.WastedServerSeconds += s.ServiceTime.Seconds()
}

func (c *Cost) merge(o *Cost) {
	c.Requests += o.Requests
	c.Attempts += o.Attempts
	c.Hedges += o.Hedges
	c.ElapsedSeconds += o.ElapsedSeconds
	c.QueueSeconds += o.QueueSeconds
	c.ServerSeconds += o.ServerSeconds
	c.Tokens += o.Tokens
	c.CrossRegionBytes += o.CrossRegionBytes
	c.Late += o.Late
	c.SpentDeadline += o.SpentDeadline
	c.WastedServerSeconds += o.WastedServerSeconds
	c.Good += o.Good
}

// stageHistory accumulates the cost of one stage of one call in buckets of
// coarseStep.
type stageHistory struct {
	// position is the index of the stage in its pipeline.
	position int
	buckets  [ringSize]struct {
		step int64
		cost Cost
	}
}

func (h *stageHistory) add(now time.Time, s *Stage, class outcomeClass, longest bool) {
	step := now.UnixNano() / int64(coarseStep)
	b := &h.buckets[step%ringSize]
	if b.step != step {
		b.step, b.cost = step, Cost{}
	}
	b.cost.add(s, class, longest)
}

func (h *stageHistory) sum(now time.Time, span time.Duration) Cost {
	last := now.UnixNano() / int64(coarseStep)
	first := last - int64(span/coarseStep) + 1
	var c Cost
	for i := range h.buckets {
		if b := &h.buckets[i]; b.step >= first && b.step <= last {
			c.merge(&b.cost)
		}
	}
	return c
}
