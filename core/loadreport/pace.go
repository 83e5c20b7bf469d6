package loadreport

import (
	"math"
	"time"
)

const (
	// paceHalfLife is the age at which a reported time of work counts half, and paceValidity
	// that from which it does not count. Machines are slow for moments of about 0.6 s.
	paceHalfLife = 300 * time.Millisecond
	paceValidity = 600 * time.Millisecond
	// minPace and maxPace bound a reported time of work. minPace is large enough that one
	// false report does not make all other servers of a pool count as slow: it exceeds the
	// inverse of the ratio from which staging treats a server as slow.
	minPace = 0.6
	maxPace = 10.0
	// usualWeight is the weight of the newest call in the usual time of calls.
	usualWeight = 0.2
	// trustWeight is the weight of a call that clearly confirms or contradicts the reports.
	trustWeight = 0.5
	// fullEvidence is the difference between the logarithmic errors of two forecasts from
	// which a call counts as clear evidence: one of them was closer by a factor of 2.
	fullEvidence = math.Ln2
)

// Pace is the reported time of work of one server start. The zero value has no report.
type Pace struct {
	// workTime is the newest reported time of work, reportedAt when it arrived.
	workTime   float64
	reportedAt time.Duration
	known      bool
	// usual is the time of the calls, without the effect of the reported time of work,
	// relative to the time in the pool's description.
	usual float64
	// trust, between 0 and 1, is the weight of the reports compared with that of the calls.
	trust float64
}

// Forecast is what was expected of a call when it was sent, each as a multiple of the time
// in the pool's description.
type Forecast struct {
	// Reported is the expectation by the reports, History that by earlier calls alone.
	Reported, History float64
	// WorkTime is the time of work by the report, weighted by its age.
	WorkTime float64
	// informed is false if there was no valid report.
	informed bool
}

// Observe records the report of a response that arrived at now. history is the ratio that
// earlier calls show; the first report begins with it.
func (p *Pace) Observe(now time.Duration, r Report, history float64) {
	if r.WorkTime <= 0 {
		return
	}
	if !p.known {
		p.known, p.usual = true, history
	}
	p.workTime, p.reportedAt = boundPace(r.WorkTime), now
}

func boundPace(workTime float64) float64 { return min(max(workTime, minPace), maxPace) }

// Known reports whether the server ever told its time of work.
func (p *Pace) Known() bool { return p.known }

// Trust returns the weight of the reports, between 0 and 1.
func (p *Pace) Trust() float64 { return p.trust }

// Usual returns the time of the server's calls at its usual time of work, as a multiple of
// the time in the pool's description.
func (p *Pace) Usual() float64 { return p.usual }

// WorkTime returns the reported time of work, which tends to 1 with the age of the report.
func (p *Pace) WorkTime(now time.Duration) float64 {
	if !p.known {
		return 1
	}
	return 1 + (p.workTime-1)*freshness(now-p.reportedAt, paceHalfLife, paceValidity)
}

// Estimate returns the expected time of a call that starts now, as a multiple of the time in
// the pool's description. history and usual are the ratio that earlier calls show and the
// value of Usual, both adjusted by the caller for the time since those calls. The result is
// history if no report has proved right.
func (p *Pace) Estimate(now time.Duration, history, usual float64) float64 {
	if p.trust == 0 {
		return history
	}
	return (1-p.trust)*history + p.trust*usual*p.WorkTime(now)
}

// Excess returns by how much a call that starts now is expected to take longer because the
// machine is slow at the moment, as a multiple of the time in the pool's description.
func (p *Pace) Excess(now time.Duration) float64 {
	return p.trust * max(0, p.WorkTime(now)-1)
}

// Forecast returns the expectation for a call that is sent now; see Estimate.
func (p *Pace) Forecast(now time.Duration, history, usual float64) Forecast {
	workTime := p.WorkTime(now)
	return Forecast{
		Reported: usual * workTime, History: history, WorkTime: workTime,
		informed: p.known && now-p.reportedAt < paceValidity,
	}
}

// CallAnswered compares an answered call with its forecast. ratio is its time as a multiple
// of the time in the pool's description, r the report of the response, or nil. It must be
// called before Observe for the same response.
func (p *Pace) CallAnswered(f Forecast, ratio float64, r *Report) {
	if !p.known {
		return
	}
	if f.informed {
		p.updateTrust(math.Abs(math.Log(ratio/f.History)) - math.Abs(math.Log(ratio/f.Reported)))
	}
	during := f.WorkTime
	if r != nil && r.WorkTime > 0 {
		during = (during + boundPace(r.WorkTime)) / 2
	}
	p.usual += usualWeight * (ratio/during - p.usual)
}

// updateTrust includes one call. advantage is by how much the forecast with the reports was
// closer than that without them; negative if it was further off.
func (p *Pace) updateTrust(advantage float64) {
	strength := min(1, math.Abs(advantage)/fullEvidence)
	target := 0.0
	if advantage > 0 {
		target = 1
	}
	p.trust += trustWeight * strength * (target - p.trust)
}
