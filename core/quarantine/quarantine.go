// Package quarantine finds the parts of prompts that crash backend servers, and holds back
// the requests that contain them. A server that begins to answer such a prompt ends, so
// its attempts leave a trace: their responses end before the first event.
//
// A pattern is the set of parts that the interrupted attempts at several servers have in
// common. Only requests that contain all of them are held back, and a part of a request
// that completed is sound: it is never in a pattern. So sound requests that share some
// parts with crashing ones are still placed. The package has no clock and does no I/O.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

const (
	// minCrashes is the number of servers that end before a pattern is held back, and
	// minRepeatCrashes the number from which a part of a known pattern is blamed alone.
	minCrashes       = 3
	minRepeatCrashes = 2
	// provenCrashes is the number of ended servers from which a pattern is proven.
	provenCrashes = 5
	// trialDelay is the time after which one request with a pattern that is not proven is
	// placed as a trial. It doubles with each trial. A proven pattern is tried each
	// retention.
	trialDelay        = 10 * time.Second
	maxTrialDoublings = 6
	// retention is how long a pattern is held back after the last request with it.
	retention = 10 * time.Minute
	// evidenceAge bounds the age of the crashes that count.
	evidenceAge = 10 * time.Minute
	// settleTime is how long after the end of a server the last of its attempts may be
	// reported. Until then only attempts that the server had begun to answer are evidence.
	settleTime = 300 * time.Millisecond
	// The following bound the memory, and the time to find a pattern.
	maxCrashes          = 32
	maxAttemptsPerCrash = 8
	maxPatterns         = 64
	maxParts            = 16
	maxPartBytes        = 64
)

// Ending is how an attempt at a server ended.
type Ending uint8

const (
	// Other endings say nothing about the prompt.
	Other Ending = iota
	// Completed attempts got a whole response.
	Completed
	// InterruptedWaiting attempts lost their connection before the head of the response,
	// InterruptedAnswering ones after it and before the first event.
	InterruptedWaiting
	InterruptedAnswering
)

// attempt is a placed request.
type attempt struct {
	server   notice.Server
	parts    []string
	placedAt time.Duration
}

// crash is a server that interrupted attempts before their first event.
type crash struct {
	server notice.Server
	at     time.Duration
	// answering and waiting are the parts of the interrupted attempts, by whether the
	// server had begun to answer them.
	answering, waiting [][]string
}

// suspects returns the parts of the attempts one of which may have caused the crash.
func (c *crash) suspects(now time.Duration) [][]string {
	switch {
	case len(c.answering) > 0:
		return c.answering
	case now-c.at >= settleTime:
		return c.waiting
	}
	return nil
}

// Table holds the evidence and the patterns. It is not safe for concurrent use.
type Table struct {
	attempts map[string]attempt
	// crashes are sorted by time.
	crashes  []*crash
	sound    soundParts
	patterns []*Pattern
	changes  []Change
}

// New returns an empty table.
func New() *Table { return &Table{attempts: map[string]attempt{}, sound: newSoundParts()} }

// Begin records that a request was placed on a server. parts are the parts of its prompt
// that other requests may share.
func (t *Table) Begin(now time.Duration, id string, server notice.Server, parts []string) {
	if len(parts) == 0 {
		return
	}
	t.attempts[id] = attempt{server: server, parts: eligible(parts), placedAt: now}
}

// eligible returns the parts that may be in a pattern.
func eligible(parts []string) []string {
	parts = parts[:min(len(parts), maxParts)]
	return slices.DeleteFunc(slices.Clone(parts), func(p string) bool { return len(p) > maxPartBytes })
}

// End records how the attempt at a placed request ended.
func (t *Table) End(now time.Duration, id string, ending Ending) {
	a, ok := t.attempts[id]
	if !ok {
		return
	}
	delete(t.attempts, id)
	switch ending {
	case Completed:
		t.completed(now, a)
	case InterruptedWaiting, InterruptedAnswering:
		t.interrupted(now, a, ending == InterruptedAnswering)
	}
}

// completed records that the parts of an attempt are sound, and that a server to which it
// was sent after it had interrupted others has not crashed then.
func (t *Table) completed(now time.Duration, a attempt) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return c.server == a.server && c.at < a.placedAt })
	for _, p := range a.parts {
		t.sound.add(p)
	}
	t.releaseSound(now, a.parts)
}

// interrupted records an attempt that its server interrupted, and looks for patterns.
func (t *Table) interrupted(now time.Duration, a attempt, answering bool) {
	c, isNew := t.crashOf(now, a.server)
	if answering {
		c.answering = appendBounded(c.answering, a.parts)
		t.countCrash(now, c, a.parts)
	} else {
		c.waiting = appendBounded(c.waiting, a.parts)
	}
	if answering || isNew {
		t.findPatterns(now)
	}
}

func appendBounded(attempts [][]string, parts []string) [][]string {
	if len(attempts) >= maxAttemptsPerCrash {
		return attempts
	}
	return append(attempts, parts)
}

// crashOf returns the crash of a server, and whether it is a new one.
func (t *Table) crashOf(now time.Duration, server notice.Server) (*crash, bool) {
	if i := slices.IndexFunc(t.crashes, func(c *crash) bool { return c.server == server }); i >= 0 {
		return t.crashes[i], false
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now-c.at >= evidenceAge })
	if len(t.crashes) >= maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	c := &crash{server: server, at: now}
	t.crashes = append(t.crashes, c)
	return c, true
}

// findPatterns adds the patterns that explain the crashes which no known one explains.
func (t *Table) findPatterns(now time.Duration) {
	for {
		unexplained := t.unexplained(now)
		common := t.mostSpecific(unexplained, now)
		if common == nil || len(t.patterns) >= maxPatterns {
			return
		}
		t.addPattern(now, common, unexplained)
	}
}

// unexplained returns the crashes with suspects none of which matches a pattern.
func (t *Table) unexplained(now time.Duration) []*crash {
	var crashes []*crash
	for _, c := range t.crashes {
		suspects := c.suspects(now)
		explained := slices.ContainsFunc(suspects, func(parts []string) bool { return t.match(parts) != nil })
		if len(suspects) > 0 && !explained {
			crashes = append(crashes, c)
		}
	}
	return crashes
}

// mostSpecific returns the largest set of parts that enough of the crashes have in common,
// or nil.
func (t *Table) mostSpecific(crashes []*crash, now time.Duration) []string {
	var best []string
	bestCount := 0
	for part, crashCount := range t.crashCounts(crashes, now) {
		if crashCount < t.requiredCrashes(part) {
			continue
		}
		common := t.commonWith(part, crashes, now)
		if cmp.Or(cmp.Compare(len(common), len(best)), cmp.Compare(crashCount, bestCount), slices.Compare(best, common)) > 0 {
			best, bestCount = common, crashCount
		}
	}
	return best
}

// crashCounts returns for each part that is not known to be sound the number of crashes
// that it may have caused.
func (t *Table) crashCounts(crashes []*crash, now time.Duration) map[string]int {
	counts := map[string]int{}
	for _, c := range crashes {
		seen := map[string]bool{}
		for _, parts := range c.suspects(now) {
			for _, p := range parts {
				if !seen[p] && !t.sound.has(p) {
					seen[p] = true
					counts[p]++
				}
			}
		}
	}
	return counts
}

// requiredCrashes returns the number of crashes from which a part is blamed.
func (t *Table) requiredCrashes(part string) int {
	if slices.ContainsFunc(t.patterns, func(p *Pattern) bool { return slices.Contains(p.Parts, part) }) {
		return minRepeatCrashes
	}
	return minCrashes
}

// commonWith returns the parts that the attempts with the given part have in common. Of
// several such attempts of one crash, the one that has the most in common with the others
// counts.
func (t *Table) commonWith(part string, crashes []*crash, now time.Duration) []string {
	var common []string
	for _, c := range crashes {
		var closest []string
		for _, parts := range c.suspects(now) {
			if !slices.Contains(parts, part) {
				continue
			}
			shared := t.unsound(parts)
			if common != nil {
				shared = intersection(common, parts)
			}
			if len(shared) > len(closest) {
				closest = shared
			}
		}
		if closest != nil {
			common = closest
		}
	}
	return common
}

// unsound returns the parts that are not known to be sound, sorted.
func (t *Table) unsound(parts []string) []string {
	unsound := slices.DeleteFunc(slices.Clone(parts), t.sound.has)
	slices.Sort(unsound)
	return slices.Compact(unsound)
}

func intersection(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(p string) bool { return !slices.Contains(b, p) })
}
