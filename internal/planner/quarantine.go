package planner

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/quarantine"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// OnQuarantine sets the function that receives the patterns of prompts that this planner
// finds or releases. It must be called before Run.
func (p *Planner) OnQuarantine(f func([]quarantine.Change)) { p.onQuarantine = f }

// LearnPattern holds back the requests that match a pattern which another entry found.
func (p *Planner) LearnPattern(pattern quarantine.Pattern) {
	p.update(func(now time.Duration) { p.quarantine.Learn(now, pattern) })
}

// ForgetPattern ends what LearnPattern began.
func (p *Planner) ForgetPattern(parts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quarantine.Forget(parts)
}

// checkRequest returns why a request must not be placed, or 0. The caller holds the lock.
func (p *Planner) checkRequest(now time.Duration, pr *pendingRequest) staging.RefusalReason {
	if refusal := p.checkQuarantine(now, pr); refusal != 0 {
		return refusal
	}
	if refusal := p.setVersion(now, pr); refusal != 0 {
		return refusal
	}
	return p.checkLimits(now, pr)
}

// checkQuarantine returns HeldBack if the prompt of a request may crash servers, else 0.
// The caller holds the lock.
func (p *Planner) checkQuarantine(now time.Duration, pr *pendingRequest) staging.RefusalReason {
	if pr.trial {
		return 0
	}
	d := p.quarantine.Decide(now, sharedParts(pr.req.PromptParts))
	if d.Trial {
		pr.trial = true
		p.log.Info("Request with a held back prompt is tried.", "request", pr.req.ID, "parts", d.Pattern.Parts, "crashes", d.Pattern.Crashes)
	}
	if !d.Held {
		return 0
	}
	pr.retryAfter = d.RetryAfter
	return HeldBack
}

// quarantineCallbacks returns the calls that tell the changed patterns. The caller makes
// them without the lock.
func (p *Planner) quarantineCallbacks() []func() {
	changes := p.quarantine.TakeChanges()
	if len(changes) == 0 {
		return nil
	}
	now := clock.Now()
	for _, c := range changes {
		message := "Prompts are held back."
		if c.Released {
			message = "Prompts are released."
		}
		p.log.Info(message, "parts", c.Parts, "crashes", c.Crashes, "for", c.Until-now)
	}
	if p.onQuarantine == nil {
		return nil
	}
	return []func(){func() { p.onQuarantine(changes) }}
}

// sharedParts returns the IDs of the parts of a prompt that other prompts may have as well:
// all but the last.
func sharedParts(parts []placement.PromptPart) []string {
	if len(parts) == 0 {
		return nil
	}
	ids := make([]string, len(parts)-1)
	for i := range ids {
		ids[i] = parts[i].ID
	}
	return ids
}
