package placement

const (
	// evidenceGain is the weight of the newest response in the share of late pauses.
	evidenceGain = 1.0 / 200
	// fullEvidence is the share of responses that are late by a pause from which the costs of
	// pauses count whole. On pools whose servers interleave prompts with the events of
	// streams, no response was late by a pause, and avoiding pauses only made servers process
	// shared prompt parts again.
	fullEvidence = 0.01
)

// pauseEvidence measures which share of the responses of a pool is late by a pause.
type pauseEvidence struct {
	lateShare float64
}

// observe includes a response that has a longest on-time pause.
func (e *pauseEvidence) observe(late bool) {
	sample := 0.0
	if late {
		sample = 1
	}
	e.lateShare += evidenceGain * (sample - e.lateShare)
}

// weight returns the weight of the costs of pauses: 0 without late pauses, at most 1.
func (e *pauseEvidence) weight() float64 { return min(1, e.lateShare/fullEvidence) }

// evidenceFor returns the evidence of a pool.
func (t *Table) evidenceFor(pool string) *pauseEvidence {
	e := t.evidence[pool]
	if e == nil {
		e = &pauseEvidence{}
		t.evidence[pool] = e
	}
	return e
}
