// Package quarantine finds the requests that crash backend servers, and holds them back.
// Either one request does, whatever server runs it, or a part of prompts that several
// requests share. What a request may have in common with others are its elements: its
// identity, and the shared parts of its prompt. A server that crashes interrupts its
// attempts, some of them before the first event of their responses.
//
// A pattern is a set of elements that crashes have in common. Only requests that contain
// all of them are held back, and an element of a request that completed is sound: it is
// never in a pattern. So sound requests that share the server, the customer, the route or
// some parts with crashing ones are still placed. The package has no clock and does no I/O.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

const (
	// minRequestCrashes is the number of servers that end under one request before it is
	// held back. A third one is given to it only as a trial, so that the service keeps
	// servers for others.
	minRequestCrashes = 2
	// minPartCrashes is the number of servers that end before parts are held back, under
	// minPartRequests different requests, and minRepeatCrashes the number from which a part
	// of a known pattern is blamed alone.
	minPartCrashes   = 3
	minPartRequests  = 2
	minRepeatCrashes = 2
	// provenCrashes is the number of ended servers from which a pattern is proven.
	provenCrashes = 5
	// retention is how long a pattern is held back after the last request with it.
	retention = 10 * time.Minute
	// evidenceAge bounds the age of the crashes that count.
	evidenceAge = 10 * time.Minute
	// settleTime is how long after the end of a server the last of its attempts may be
	// reported, or a response that shows that the server still runs.
	settleTime = 300 * time.Millisecond
	// minRestartTime is the least time that a crashed server takes to start again, and
	// startKnownTime the time after a crash from which that start is known.
	minRestartTime = time.Second
	startKnownTime = 10 * time.Second
	// evaluationTimePerAttempt is the least time between two searches for patterns, for each
	// interrupted attempt that is known.
	evaluationTimePerAttempt = 10 * time.Microsecond
	// The following bound the memory, and the time to find a pattern.
	maxCrashes          = 32
	maxAttemptsPerCrash = 64
	maxPatterns         = 64
	maxParts            = 16
	maxPartBytes        = 64
)

// Ending is how an attempt at a server ended.
type Ending uint8

const (
	// Other endings say nothing about the request.
	Other Ending = iota
	// Completed attempts got a whole response.
	Completed
	// InterruptedWaiting attempts lost their connection before the head of the response,
	// InterruptedAnswering ones after it and before the first event.
	InterruptedWaiting
	InterruptedAnswering
)

// Interrupted reports whether the attempt may have crashed its server.
func (e Ending) Interrupted() bool { return e == InterruptedWaiting || e == InterruptedAnswering }

// Attempt is an attempt at a request that reached a server.
type Attempt struct {
	Server   notice.Server
	Elements []string
	BeganAt  time.Duration
	EndedAt  time.Duration
	Ending   Ending
}

// crash is a server that interrupted attempts before their first event.
type crash struct {
	server notice.Server
	at     time.Duration
	// answering and waiting are the elements of the interrupted attempts, by whether the
	// server had begun to answer them, identities the identities of both.
	answering, waiting [][]string
	identities         map[string]bool
}

// add records the elements of an interrupted attempt. It returns false if they are known, or
// there are too many.
func (c *crash) add(elements []string, answering bool) bool {
	attempts := &c.waiting
	if answering {
		attempts = &c.answering
	}
	known := slices.ContainsFunc(*attempts, func(a []string) bool { return slices.Equal(a, elements) })
	if known || len(*attempts) >= maxAttemptsPerCrash {
		return false
	}
	*attempts = append(*attempts, elements)
	if identity, ok := identityOf(elements); ok {
		c.identities[identity] = true
	}
	return true
}

// removeRequest removes the attempts at a request.
func (c *crash) removeRequest(identity string) {
	isOfRequest := func(elements []string) bool {
		id, ok := identityOf(elements)
		return ok && id == identity
	}
	c.answering = slices.DeleteFunc(c.answering, isOfRequest)
	c.waiting = slices.DeleteFunc(c.waiting, isOfRequest)
	delete(c.identities, identity)
}

// settlesAt returns the time from which all attempts that the crash interrupted are known.
func (c *crash) settlesAt() time.Duration { return c.at + settleTime }

func (c *crash) settled(now time.Duration) bool { return now >= c.settlesAt() }

// refutedBy reports whether a response to an attempt that began at the given time shows that
// the server has not crashed. It may have started again since, and its new start not be known.
func (c *crash) refutedBy(beganAt time.Duration) bool {
	return beganAt > c.at && beganAt < c.at+minRestartTime || beganAt >= c.at+startKnownTime
}

// suspects returns the elements of the attempts one of which may have caused the crash.
func (c *crash) suspects(now time.Duration) [][]string {
	switch {
	case len(c.answering) > 0:
		return c.answering
	case c.settled(now):
		return c.waiting
	}
	return nil
}

// placed is a placed request that has not ended.
type placed struct {
	server   notice.Server
	elements []string
	placedAt time.Duration
}

// Table holds the evidence and the patterns. It is not safe for concurrent use.
type Table struct {
	placed map[string]placed
	// crashes are sorted by time.
	crashes  []*crash
	sound    soundElements
	patterns []*Pattern
	changes  []Change
	// released are the times at which patterns were released lately, by patternKey.
	released map[string]time.Duration
	// evaluationDue is set while there is evidence that was not searched for patterns;
	// nextEvaluation is when to do so. evaluatedAt is the time of the last search.
	evaluationDue               bool
	nextEvaluation, evaluatedAt time.Duration
}

// New returns an empty table.
func New() *Table {
	return &Table{placed: map[string]placed{}, sound: newSoundElements(), released: map[string]time.Duration{}}
}

// Begin records that a request with the given elements was placed on a server.
func (t *Table) Begin(now time.Duration, id string, server notice.Server, elements []string) {
	if len(elements) == 0 {
		return
	}
	t.placed[id] = placed{server: server, elements: elements, placedAt: now}
}

// End records how the attempt at a placed request ended.
func (t *Table) End(now time.Duration, id string, ending Ending) {
	p, ok := t.placed[id]
	if !ok {
		return
	}
	delete(t.placed, id)
	t.Report(now, Attempt{Server: p.server, Elements: p.elements, BeganAt: p.placedAt, EndedAt: now, Ending: ending})
}

// Report records how an attempt ended. It reports whether that is news for other instances:
// the attempt was interrupted, or its response refutes evidence.
func (t *Table) Report(now time.Duration, a Attempt) bool {
	switch {
	case a.Ending == Completed:
		return t.completed(now, a)
	case a.Ending.Interrupted():
		return t.interrupted(now, a)
	}
	return false
}

// completed records that the elements of an attempt are sound.
func (t *Table) completed(now time.Duration, a Attempt) bool {
	refuted := t.ServerAnswered(now, a.Server, a.BeganAt)
	for _, e := range a.Elements {
		refuted = refuted || t.isSuspect(e)
		t.sound.add(e)
	}
	if t.releaseSound(now, a.Elements) {
		refuted = true
	}
	if refuted {
		t.scheduleEvaluation(now)
	}
	return refuted
}

// isSuspect reports whether an element that is not known to be sound is among the evidence.
func (t *Table) isSuspect(element string) bool {
	return len(t.crashes) > 0 && isIdentity(element) && !t.sound.has(element) &&
		slices.ContainsFunc(t.crashes, func(c *crash) bool { return c.identities[element] })
}

// ServerAnswered records that the start of a server answered an attempt that began at the
// given time, so it has not crashed before. It reports whether that refutes evidence.
func (t *Table) ServerAnswered(now time.Duration, server notice.Server, beganAt time.Duration) bool {
	refuted := slices.DeleteFunc(slices.Clone(t.crashes), func(c *crash) bool { return c.server != server || !c.refutedBy(beganAt) })
	for _, c := range refuted {
		t.crashes = slices.DeleteFunc(t.crashes, func(other *crash) bool { return other == c })
		t.discountCrash(now, c)
	}
	return len(refuted) > 0
}

// interrupted records an attempt that its server interrupted.
func (t *Table) interrupted(now time.Duration, a Attempt) bool {
	elements := eligible(a.Elements)
	if len(elements) == 0 {
		return false
	}
	c := t.crashOf(now, a)
	if !c.add(elements, a.Ending == InterruptedAnswering) {
		return false
	}
	t.countCrash(now, c, elements)
	t.scheduleEvaluation(now)
	if identity, ok := identityOf(elements); ok {
		// The request may come again before the next evaluation.
		if crashes, _ := crashesOf(t.crashes, identity); crashes >= minRequestCrashes {
			t.addIdentityPattern(now)
		}
	}
	return true
}

// eligible returns the elements that may be in a pattern.
func eligible(elements []string) []string {
	elements = elements[:min(len(elements), maxParts)]
	return slices.DeleteFunc(slices.Clone(elements), func(e string) bool { return len(e) > maxPartBytes })
}

// crashOf returns the crash that interrupted an attempt, which may be a new one.
func (t *Table) crashOf(now time.Duration, a Attempt) *crash {
	if i := slices.IndexFunc(t.crashes, func(c *crash) bool { return c.server == a.Server }); i >= 0 {
		return t.crashes[i]
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now-c.at >= evidenceAge })
	if len(t.crashes) >= maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	c := &crash{server: a.Server, at: min(now, a.EndedAt), identities: map[string]bool{}}
	t.crashes = append(t.crashes, c)
	slices.SortStableFunc(t.crashes, func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
	return c
}

// Evidence returns the interrupted attempts that are known, for an instance that knows none
// of them.
func (t *Table) Evidence(now time.Duration) []Attempt {
	var all []Attempt
	for _, c := range t.crashes {
		if now-c.at >= evidenceAge {
			continue
		}
		for _, a := range c.answering {
			all = append(all, Attempt{Server: c.server, Elements: a, BeganAt: c.at, EndedAt: c.at, Ending: InterruptedAnswering})
		}
		for _, a := range c.waiting {
			all = append(all, Attempt{Server: c.server, Elements: a, BeganAt: c.at, EndedAt: c.at, Ending: InterruptedWaiting})
		}
	}
	return all
}
