package staging

import "time"

const (
	// latenessWeight is the weight of the newest job in the lateness averages.
	latenessWeight = 0.08
	// maxLateness bounds the average lateness in both directions.
	maxLateness = time.Second
	// deviationShare is the fraction of the lateness deviation that is added to
	// expected durations.
	deviationShare = 0.7
)

// recordLateness updates the lateness averages when the request of a job has started.
func (s *Scheduler) recordLateness(j *job, now time.Duration) {
	if !j.done || len(j.def.PriorResults) > 0 {
		return
	}
	lateness := now - j.submittedAt - j.expectedDuration - j.def.RequestDuration
	s.meanLateness += time.Duration(latenessWeight * float64(lateness-s.meanLateness))
	s.meanLateness = min(max(s.meanLateness, -maxLateness), maxLateness)
	s.latenessDeviation += time.Duration(latenessWeight * float64((lateness-s.meanLateness).Abs()-s.latenessDeviation))
}

// latenessMargin returns the time that is added to expected durations.
func (s *Scheduler) latenessMargin() time.Duration {
	return max(0, s.meanLateness+time.Duration(deviationShare*float64(s.latenessDeviation)))
}
