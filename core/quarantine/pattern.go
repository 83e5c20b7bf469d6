package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

const (
	// partTrialDelay and requestTrialDelay are the times after which one request with a
	// pattern that is not proven is placed as a trial, for parts of prompts and for the
	// identity of a request. They double with each trial. A proven pattern is tried each
	// retention.
	partTrialDelay    = 10 * time.Second
	requestTrialDelay = 5 * time.Second
	maxTrialDoublings = 6
	// releaseMemory is how long a released pattern is not learned again: what other
	// instances tell may arrive by a slower way than its release.
	releaseMemory = 2 * time.Second
)

// Pattern is a set of elements that requests whose servers ended had in common.
type Pattern struct {
	// Elements are sorted: parts of prompts, or the identity of one request.
	Elements []string
	// Crashes is the number of servers that ended by it.
	Crashes int
	// Proven is set if the pattern has ended so many servers, or one in a trial, that it is
	// hardly tried.
	Proven bool
	// SettlesAt is the time until which responses may still show that servers run which are
	// taken for crashed. Until is the time at which the pattern is forgotten.
	SettlesAt, Until time.Duration

	// nextTrial is the time from which one request is placed as a trial. trials counts
	// them; the last one began at triedAt.
	nextTrial, triedAt time.Duration
	trials             int
	// toldUntil is the Until of the last Change.
	toldUntil time.Duration
	// lastServer is the start of the server that ended last.
	lastServer notice.Server
	// Ends are the servers that ended, as far as responses may still show that they run.
	Ends []End
}

// End is the end of a server.
type End struct {
	Server notice.Server
	At     time.Duration
}

// isRequest reports whether the pattern is the identity of one request.
func (p *Pattern) isRequest() bool { return len(p.Elements) == 1 && isIdentity(p.Elements[0]) }

// addCrash counts a server that the pattern ended.
func (p *Pattern) addCrash(c *crash) {
	p.Crashes++
	p.lastServer = c.server
	inTrial := p.trials > 0 && c.at >= p.triedAt
	p.Proven = p.Proven || inTrial || p.Crashes >= provenCrashes
}

// scheduleTrial sets the time of the next trial.
func (p *Pattern) scheduleTrial(now time.Duration) {
	delay := partTrialDelay
	if p.isRequest() {
		delay = requestTrialDelay
	}
	delay <<= min(p.trials, maxTrialDoublings)
	if p.Proven {
		delay = retention
	}
	p.nextTrial = now + delay
}

// Change is a pattern that other instances must know, or that they must forget.
type Change struct {
	Pattern
	Released bool
	// Expired patterns were released because no request matched them for long. Other
	// instances find that out themselves.
	Expired bool
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Patterns returns all patterns, for an instance that knows none of them.
func (t *Table) Patterns(now time.Duration) []Change {
	var all []Change
	for _, p := range t.patterns {
		if p.Until > now {
			all = append(all, p.asChange())
		}
	}
	return all
}

func (p *Pattern) asChange() Change {
	c := Change{Pattern: *p}
	c.Elements = slices.Clone(p.Elements)
	return c
}

// change records that others must know the pattern.
func (t *Table) change(p *Pattern) {
	p.toldUntil = p.Until
	t.changes = append(t.changes, p.asChange())
}

// Decision says what to do with a request.
type Decision struct {
	// Held requests must not be placed. RetryAfter is the time until they may be.
	Held       bool
	RetryAfter time.Duration
	// TrialDue is set for a held request that may be placed if the instance that grants
	// trials says so.
	TrialDue bool
	// Trial requests match a pattern that may be wrong, and are placed to find out.
	Trial bool
	// Unsettled is the time until it is known whether a held request is to be held, or 0.
	Unsettled time.Duration
	// Pattern is the one that the request matches, or nil.
	Pattern *Pattern
}

// Decide decides about a request with the given elements, and grants it a trial if one is
// due. Only one instance may grant trials.
func (t *Table) Decide(now time.Duration, elements []string) Decision {
	d := t.Check(now, elements)
	if !d.TrialDue {
		return d
	}
	d.Pattern.trials++
	d.Pattern.triedAt = now
	d.Pattern.scheduleTrial(now)
	return Decision{Trial: true, Pattern: d.Pattern}
}

// Check decides about a request with the given elements, but grants no trials.
func (t *Table) Check(now time.Duration, elements []string) Decision {
	t.expire(now)
	t.Evaluate(now)
	p := t.match(elements)
	if p == nil {
		return Decision{}
	}
	p.Until = now + retention
	if p.toldUntil-now < retention/2 {
		t.change(p)
	}
	if unsettled := p.SettlesAt - now; unsettled > 0 {
		return Decision{Held: true, RetryAfter: unsettled, Unsettled: unsettled, Pattern: p}
	}
	return Decision{Held: true, RetryAfter: p.nextTrial - now, TrialDue: now >= p.nextTrial, Pattern: p}
}

// Postpone records that no trial is granted to requests with the given elements for a time.
func (t *Table) Postpone(now time.Duration, elements []string, d time.Duration) {
	if p := t.match(elements); p != nil {
		p.nextTrial = max(p.nextTrial, now+d)
	}
}

// match returns the pattern all of whose elements are among the given ones, or nil. Of
// several it returns the one that ended the most servers.
func (t *Table) match(elements []string) *Pattern {
	var matching *Pattern
	for _, p := range t.patterns {
		if len(intersection(p.Elements, elements)) == len(p.Elements) && (matching == nil || p.Crashes > matching.Crashes) {
			matching = p
		}
	}
	return matching
}

// expire removes the patterns that no request matched for retention.
func (t *Table) expire(now time.Duration) {
	for _, p := range slices.Clone(t.patterns) {
		if p.Until <= now {
			t.drop(p)
		}
	}
}

// evictIfFull removes the pattern that no request matched for the longest time if there are too
// many to add another one.
func (t *Table) evictIfFull() {
	if len(t.patterns) < maxPatterns {
		return
	}
	oldest := slices.MinFunc(t.patterns, func(a, b *Pattern) int { return cmp.Compare(a.Until, b.Until) })
	t.drop(oldest)
}

// drop removes a pattern that no request matched lately.
func (t *Table) drop(p *Pattern) { t.remove(p, true) }

// release removes a pattern that was wrong.
func (t *Table) release(now time.Duration, p *Pattern) {
	t.remove(p, false)
	t.rememberRelease(now, p.Elements)
}

// remove removes a pattern and records the change.
func (t *Table) remove(p *Pattern, expired bool) {
	t.patterns = slices.DeleteFunc(t.patterns, func(other *Pattern) bool { return other == p })
	c := p.asChange()
	c.Released, c.Expired = true, expired
	t.changes = append(t.changes, c)
}

// rememberRelease records that a pattern was released.
func (t *Table) rememberRelease(now time.Duration, elements []string) {
	maps.DeleteFunc(t.released, func(_ string, at time.Duration) bool { return now-at >= releaseMemory })
	if len(t.released) < maxPatterns {
		t.released[patternKey(elements)] = now
	}
}

// wasReleased reports whether a pattern was released a moment ago.
func (t *Table) wasReleased(now time.Duration, elements []string) bool {
	at, ok := t.released[patternKey(elements)]
	return ok && now-at < releaseMemory
}

func patternKey(elements []string) string { return strings.Join(elements, ",") }

// addPattern holds back a pattern that explains some of the crashes.
func (t *Table) addPattern(now time.Duration, elements []string, crashes []*crash) {
	t.evictIfFull()
	p := &Pattern{Elements: elements, Until: now + retention}
	t.patterns = append(t.patterns, p)
	for _, c := range crashes {
		if c.explainedBy(p, now) {
			p.addCrash(c)
			p.SettlesAt = max(p.SettlesAt, c.settlesAt())
			p.Ends = append(p.Ends, End{c.server, c.at})
		}
	}
	p.scheduleTrial(now)
	t.change(p)
}

// discountCrash takes back a crash that did not happen from the patterns that it counts for,
// and releases those that have too few left.
func (t *Table) discountCrash(now time.Duration, c *crash) {
	for _, p := range slices.Clone(t.patterns) {
		if !p.isRequest() || p.Proven || !c.identities[p.Elements[0]] {
			continue
		}
		p.Crashes--
		if p.Crashes < minRequestCrashes {
			t.release(now, p)
		}
	}
}

// explainedBy reports whether the pattern may have caused the crash.
func (c *crash) explainedBy(p *Pattern, now time.Duration) bool {
	if p.isRequest() {
		return c.identities[p.Elements[0]]
	}
	return slices.ContainsFunc(c.suspects(now), func(a []string) bool { return len(intersection(p.Elements, a)) == len(p.Elements) })
}

// countCrash counts the crash of a server whose interrupted attempt matches a known
// pattern.
func (t *Table) countCrash(now time.Duration, c *crash, elements []string) {
	p := t.match(elements)
	if p == nil || p.lastServer == c.server {
		return
	}
	told := p.Proven
	p.addCrash(c)
	p.Until = now + retention
	p.scheduleTrial(now)
	if !told {
		t.change(p)
	}
}

// releaseSound removes sound elements from the patterns, and reports whether there were any.
// A pattern without any other element was none.
func (t *Table) releaseSound(now time.Duration, sound []string) bool {
	found := false
	for _, p := range slices.Clone(t.patterns) {
		rest := slices.DeleteFunc(slices.Clone(p.Elements), func(e string) bool { return slices.Contains(sound, e) })
		if len(rest) == len(p.Elements) {
			continue
		}
		found = true
		t.release(now, p)
		if len(rest) == 0 || t.find(rest) != nil {
			continue
		}
		narrowed := *p
		narrowed.Elements, narrowed.Until = rest, now+retention
		t.patterns = append(t.patterns, &narrowed)
		t.change(&narrowed)
	}
	return found
}

// Learn adds a pattern that another instance found, or updates the known one. It reports
// whether that is news.
func (t *Table) Learn(now time.Duration, p Pattern) bool {
	t.expire(now)
	if p.Until <= now || len(p.Elements) == 0 || len(p.Elements) > maxParts || t.wasReleased(now, p.Elements) {
		return false
	}
	p.Until, p.SettlesAt = min(p.Until, now+retention), min(p.SettlesAt, now+settleTime)
	if known := t.find(p.Elements); known != nil {
		return known.update(now, p)
	}
	t.evictIfFull()
	p.toldUntil = p.Until
	p.scheduleTrial(now)
	t.patterns = append(t.patterns, &p)
	t.watchEnds(now, &p)
	// What is sound is released at all instances, and not passed on.
	sound := slices.DeleteFunc(slices.Clone(p.Elements), func(e string) bool { return !t.sound.has(e) })
	return !t.releaseSound(now, sound)
}

// watchEnds records the ends of servers that another instance blames on one request, so that
// a response to this instance can refute them.
func (t *Table) watchEnds(now time.Duration, p *Pattern) {
	if !p.isRequest() {
		return
	}
	for _, end := range p.Ends[:min(len(p.Ends), provenCrashes)] {
		if now < end.At+minRestartTime {
			c := t.crashOf(now, Attempt{Server: end.Server, EndedAt: end.At})
			c.add(p.Elements, false)
		}
	}
}

// update merges what another instance knows of the pattern, and reports whether that is
// news.
func (p *Pattern) update(now time.Duration, other Pattern) bool {
	worse := other.Crashes > p.Crashes || other.Proven && !p.Proven
	renewed := other.Until-p.Until > retention/4
	p.SettlesAt = max(p.SettlesAt, other.SettlesAt)
	p.Crashes, p.Proven = max(p.Crashes, other.Crashes), p.Proven || other.Proven
	p.Until, p.toldUntil = max(p.Until, other.Until), max(p.toldUntil, other.Until)
	if worse {
		p.scheduleTrial(now)
	}
	return worse || renewed
}

// Forget removes a pattern that another instance released, so that it is not found again from
// the same evidence. It reports whether the pattern was known.
func (t *Table) Forget(now time.Duration, elements []string) bool {
	t.rememberRelease(now, elements)
	p := t.find(elements)
	if p == nil {
		return false
	}
	t.patterns = slices.DeleteFunc(t.patterns, func(other *Pattern) bool { return other == p })
	switch {
	case p.isRequest():
		for _, c := range t.crashes {
			c.removeRequest(p.Elements[0])
		}
	case len(p.Elements) == 1:
		// Parts are released only if a request with them completed.
		t.sound.add(p.Elements[0])
	}
	return true
}

func (t *Table) find(elements []string) *Pattern {
	i := slices.IndexFunc(t.patterns, func(p *Pattern) bool { return slices.Equal(p.Elements, elements) })
	if i < 0 {
		return nil
	}
	return t.patterns[i]
}
