package quarantine

import (
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

// Pattern is a set of parts that requests whose servers ended had in common.
type Pattern struct {
	// Parts are sorted.
	Parts []string
	// Crashes is the number of servers that ended by it.
	Crashes int
	// Until is the time at which the pattern is forgotten.
	Until time.Duration

	// nextTrial is the time from which one request is placed as a trial. trials counts
	// them.
	nextTrial time.Duration
	trials    int
	// toldUntil is the Until of the last Change.
	toldUntil time.Duration
	// lastServer is the start of the server that ended last.
	lastServer notice.Server
}

// proven reports whether the pattern has ended so many servers that it is hardly tried.
func (p *Pattern) proven() bool { return p.Crashes >= provenCrashes }

// scheduleTrial sets the time of the next trial.
func (p *Pattern) scheduleTrial(now time.Duration) {
	delay := trialDelay << min(p.trials, maxTrialDoublings)
	if p.proven() {
		delay = retention
	}
	p.nextTrial = now + delay
}

// Change is a pattern that other instances must know, or that they must forget.
type Change struct {
	Pattern
	Released bool
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

func (t *Table) change(p *Pattern, released bool) {
	p.toldUntil = p.Until
	c := Change{Pattern: *p, Released: released}
	c.Parts = slices.Clone(p.Parts)
	t.changes = append(t.changes, c)
}

// Decision says what to do with a request.
type Decision struct {
	// Held requests must not be placed. RetryAfter is the time until they may be.
	Held       bool
	RetryAfter time.Duration
	// Trial requests match a pattern that may be wrong, and are placed to find out.
	Trial bool
	// Pattern is the one that the request matches, or nil.
	Pattern *Pattern
}

// Decide decides about a request whose prompt has the given parts.
func (t *Table) Decide(now time.Duration, parts []string) Decision {
	t.expire(now)
	p := t.match(parts)
	if p == nil {
		return Decision{}
	}
	p.Until = now + retention
	if p.toldUntil-now < retention/2 {
		t.change(p, false)
	}
	if now >= p.nextTrial {
		p.trials++
		p.scheduleTrial(now)
		return Decision{Trial: true, Pattern: p}
	}
	return Decision{Held: true, RetryAfter: p.nextTrial - now, Pattern: p}
}

// match returns the pattern all of whose parts are among the given ones, or nil. Of several
// it returns the one that ended the most servers.
func (t *Table) match(parts []string) *Pattern {
	var matching *Pattern
	for _, p := range t.patterns {
		if len(intersection(p.Parts, parts)) == len(p.Parts) && (matching == nil || p.Crashes > matching.Crashes) {
			matching = p
		}
	}
	return matching
}

// expire removes the patterns that no request matched for retention.
func (t *Table) expire(now time.Duration) {
	t.removePatterns(func(p *Pattern) bool { return p.Until <= now })
}

// removePatterns removes the selected patterns and records that they are released.
func (t *Table) removePatterns(selects func(*Pattern) bool) {
	t.patterns = slices.DeleteFunc(t.patterns, func(p *Pattern) bool {
		if !selects(p) {
			return false
		}
		t.change(p, true)
		return true
	})
}

// addPattern holds back a pattern that explains some of the crashes.
func (t *Table) addPattern(now time.Duration, parts []string, crashes []*crash) {
	p := &Pattern{Parts: parts, Until: now + retention}
	t.patterns = append(t.patterns, p)
	for _, c := range crashes {
		if slices.ContainsFunc(c.suspects(now), func(a []string) bool { return len(intersection(parts, a)) == len(parts) }) {
			p.Crashes++
			p.lastServer = c.server
		}
	}
	p.scheduleTrial(now)
	t.change(p, false)
}

// countCrash counts the crash of a server whose interrupted attempt matches a known
// pattern.
func (t *Table) countCrash(now time.Duration, c *crash, parts []string) {
	p := t.match(parts)
	if p == nil || p.lastServer == c.server {
		return
	}
	p.Crashes++
	p.lastServer = c.server
	p.Until = now + retention
	p.scheduleTrial(now)
	if p.Crashes <= provenCrashes {
		t.change(p, false)
	}
}

// releaseSound removes sound parts from the patterns. A pattern without any other part was
// none.
func (t *Table) releaseSound(now time.Duration, sound []string) {
	for _, p := range slices.Clone(t.patterns) {
		rest := slices.DeleteFunc(slices.Clone(p.Parts), func(part string) bool { return slices.Contains(sound, part) })
		if len(rest) == len(p.Parts) {
			continue
		}
		t.removePatterns(func(other *Pattern) bool { return other == p })
		if len(rest) == 0 || t.find(rest) != nil {
			continue
		}
		narrowed := *p
		narrowed.Parts, narrowed.Until = rest, now+retention
		t.patterns = append(t.patterns, &narrowed)
		t.change(&narrowed, false)
	}
}

// Learn adds a pattern that another instance found, or updates the known one.
func (t *Table) Learn(now time.Duration, p Pattern) {
	t.patterns = slices.DeleteFunc(t.patterns, func(known *Pattern) bool { return known.Until <= now })
	if p.Until <= now || len(p.Parts) == 0 || len(p.Parts) > maxParts {
		return
	}
	p.Until = min(p.Until, now+retention)
	if known := t.find(p.Parts); known != nil {
		known.Crashes, known.Until = max(known.Crashes, p.Crashes), max(known.Until, p.Until)
		known.toldUntil = max(known.toldUntil, p.Until)
		known.scheduleTrial(now)
		return
	}
	if len(t.patterns) >= maxPatterns {
		return
	}
	p.toldUntil = p.Until
	p.scheduleTrial(now)
	t.patterns = append(t.patterns, &p)
	t.releaseSound(now, slices.DeleteFunc(slices.Clone(p.Parts), func(part string) bool { return !t.sound.has(part) }))
}

// Forget removes a pattern that another instance released.
func (t *Table) Forget(parts []string) {
	t.patterns = slices.DeleteFunc(t.patterns, func(p *Pattern) bool { return slices.Equal(p.Parts, parts) })
}

func (t *Table) find(parts []string) *Pattern {
	i := slices.IndexFunc(t.patterns, func(p *Pattern) bool { return slices.Equal(p.Parts, parts) })
	if i < 0 {
		return nil
	}
	return t.patterns[i]
}
