package planner

import (
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/quarantine"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// OnQuarantine sets the functions that receive the patterns of requests that this planner
// finds or releases, and the attempts of stage calls that may have crashed servers. It must be
// called before Run.
func (p *Planner) OnQuarantine(onChanges func([]quarantine.Change), onEvidence func(...quarantine.Attempt)) {
	p.onQuarantine, p.onEvidence = onChanges, onEvidence
}

// LearnPattern holds back the requests that match a pattern which another entry found. It
// reports whether that is news.
func (p *Planner) LearnPattern(pattern quarantine.Pattern) bool {
	news := false
	p.update(func(now time.Duration) {
		news = p.quarantine.Learn(now, pattern)
		if news {
			p.refuseHeld(now)
		}
	})
	return news
}

// ForgetPattern ends what LearnPattern began, and reports whether the pattern was known.
func (p *Planner) ForgetPattern(elements []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quarantine.Forget(clock.Now(), elements)
}

// Patterns returns the patterns of requests that are held back.
func (p *Planner) Patterns() []quarantine.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quarantine.Patterns(clock.Now())
}

// Evidence returns the attempts that may have crashed servers.
func (p *Planner) Evidence() []quarantine.Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quarantine.Evidence(clock.Now())
}

// CheckRequest decides whether a request that this planner does not place is held back. It
// grants no trial; see Request.CheckOnly.
func (p *Planner) CheckRequest(elements []string) quarantine.Decision {
	var d quarantine.Decision
	p.update(func(now time.Duration) { d = p.quarantine.Check(now, elements) })
	return d
}

// PostponeTrial records that a request is held back for a time, as the entry that grants
// trials said.
func (p *Planner) PostponeTrial(elements []string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quarantine.Postpone(clock.Now(), elements, d)
}

// ReportAttempts records how attempts at servers ended, and returns those that are news for
// other entries.
func (p *Planner) ReportAttempts(attempts []quarantine.Attempt) []quarantine.Attempt {
	var news []quarantine.Attempt
	p.update(func(now time.Duration) {
		for _, a := range attempts {
			if p.quarantine.Report(now, a) {
				news = append(news, a)
			}
		}
	})
	return news
}

// applyQuarantine refuses the pending requests that match new patterns, and arranges for the
// next evaluation of the evidence. It returns the changed patterns. The caller holds the lock.
func (p *Planner) applyQuarantine(now time.Duration) []quarantine.Change {
	changes := p.quarantine.TakeChanges()
	if slices.ContainsFunc(changes, func(c quarantine.Change) bool { return !c.Released }) {
		p.refuseHeld(now)
	}
	if at, due := p.quarantine.NextEvaluation(); due {
		p.scheduleEvaluation(at - now)
	}
	return changes
}

// scheduleEvaluation arranges for an evaluation after the given time. The caller holds the
// lock.
func (p *Planner) scheduleEvaluation(delay time.Duration) {
	if p.evaluation == nil {
		p.evaluation = time.AfterFunc(delay, func() { p.update(p.quarantine.Evaluate) })
		return
	}
	p.evaluation.Reset(delay)
}

// refuseHeld refuses the pending requests that are held back. The caller holds the lock.
func (p *Planner) refuseHeld(now time.Duration) {
	for id, pr := range p.pending {
		if pr.refusal != 0 || pr.trial || pr.handingOver {
			continue
		}
		d := p.quarantine.Check(now, pr.elements)
		if !d.Held {
			continue
		}
		pr.refusal, pr.retryAfter = HeldBack, max(d.RetryAfter, 0)
		p.scheduler.Release(now, id)
		p.decided = append(p.decided, pr)
	}
}

// checkRequest returns why a request must not be placed, or 0. The caller holds the lock.
func (p *Planner) checkRequest(now time.Duration, pr *pendingRequest) staging.RefusalReason {
	if refusal := p.checkQuarantine(now, pr); refusal != 0 || pr.req.CheckOnly {
		return refusal
	}
	if refusal := p.setVersion(now, pr); refusal != 0 {
		return refusal
	}
	if refusal := p.checkResidency(pr); refusal != 0 {
		return refusal
	}
	return p.checkLimits(now, pr)
}

// checkQuarantine returns HeldBack if a request may crash servers, else 0. The caller holds
// the lock.
func (p *Planner) checkQuarantine(now time.Duration, pr *pendingRequest) staging.RefusalReason {
	if pr.trial {
		return 0
	}
	d := p.quarantine.Decide(now, pr.elements)
	if d.Trial {
		pr.trial = true
		p.log.Info("Request that is held back is tried.", "request", pr.req.ID, "elements", d.Pattern.Elements, "crashes", d.Pattern.Crashes)
	}
	if !d.Held {
		return 0
	}
	pr.retryAfter = d.RetryAfter
	return HeldBack
}

// quarantineCallbacks returns the calls that tell the changed patterns. The caller makes
// them without the lock.
func (p *Planner) quarantineCallbacks(changes []quarantine.Change) []func() {
	if len(changes) == 0 {
		return nil
	}
	now := clock.Now()
	for _, c := range changes {
		message := "Requests are held back."
		if c.Released {
			message = "Requests are released."
		}
		p.log.Info(message, "elements", c.Elements, "crashes", c.Crashes, "proven", c.Proven, "expired", c.Expired, "for", c.Until-now)
	}
	if p.onQuarantine == nil {
		return nil
	}
	return []func(){func() { p.onQuarantine(changes) }}
}

// reportStageCall records how a call to a stage server ended: it may have crashed the server.
func (p *Planner) reportStageCall(c staging.Call, status staging.CallStatus, beganAt time.Duration) {
	server := notice.Server{ID: c.Server.ID, StartTime: c.Server.StartTime}
	p.mu.Lock()
	if status == staging.Answered {
		p.quarantine.ServerAnswered(clock.Now(), server, beganAt)
	}
	var attempts []quarantine.Attempt
	for _, id := range requestIDs(c) {
		if pr := p.pending[id]; pr != nil && status == staging.Interrupted {
			elements := quarantine.Elements(pr.req.Identity, nil)
			attempts = append(attempts, quarantine.Attempt{Server: server, Elements: elements, BeganAt: beganAt, EndedAt: clock.Now(), Ending: quarantine.InterruptedWaiting})
		}
	}
	p.mu.Unlock()
	if len(attempts) > 0 && p.onEvidence != nil {
		p.onEvidence(attempts...)
	}
}
