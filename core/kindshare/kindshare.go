// Package kindshare divides the capacity of a pool of servers between kinds of requests, so
// that a burst of one kind delays that kind and not the others. Work and capacity are in any
// one unit, such as pieces and pieces per second. The package has no clock and does no I/O.
package kindshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// recentHalfLife is short, so that a burst shows within half a second.
	recentHalfLife = 1500 * time.Millisecond
	// usualHalfLife is long compared with bursts, which last some seconds.
	usualHalfLife = 20 * time.Second
	// minUsualShare is the least share of the accepted work that a kind is assumed to have,
	// so that a new or rare kind is served.
	minUsualShare = 0.05
	// minLeftoverShare is the least share of the capacity that is assumed to be left besides
	// the usual work. It bounds the times that Reserve returns.
	minLeftoverShare = 0.05
	// maxReservation bounds how far ahead capacity is reserved; beyond it the demand is
	// unknown.
	maxReservation = 60 * time.Second
	// shortWaitFraction is the part of the wait that an objective permits from which queued
	// work is a shortage. The rest is for the work that arrives until a burst is recognized.
	shortWaitFraction = 0.5
	// burstDeviations is how many standard deviations the demand of a kind must exceed its share
	// by, so that random variation is no burst.
	burstDeviations = 3.0
	// overtakingSteps bounds the steps in which Overtaken approaches its result.
	overtakingSteps = 20
	// forgottenAfter is the time without requests after which a kind is forgotten. Its share
	// is negligible by then.
	forgottenAfter = 5 * usualHalfLife
	// maxKinds bounds the memory. Work of further kinds has no share.
	maxKinds = 256
)

// average is an amount that halves within a half-life.
type average struct {
	value float64
	at    time.Duration
}

func (a *average) read(now, halfLife time.Duration) float64 {
	return a.value * math.Exp2(-float64(now-a.at)/float64(halfLife))
}

func (a *average) add(now, halfLife time.Duration, amount float64) {
	a.value, a.at = a.read(now, halfLife)+amount, now
}

// perSecond converts the value of an average to a rate.
func perSecond(value float64, halfLife time.Duration) float64 {
	return value * math.Ln2 / halfLife.Seconds()
}

// kind is the state of one kind of requests.
type kind struct {
	name string
	// usual is the accepted work, recent the work that was asked for. squares sums the squares
	// of the latter's sizes.
	usual, recent, squares average
	offered                time.Duration
	// permittedWait is how long the newest request may wait without risk to its objective.
	permittedWait time.Duration
	// busyUntil is when servers that had exactly the kind's share of the capacity would end
	// the accepted work.
	busyUntil time.Duration
}

// Pool holds the demand for one pool of servers. It is not safe for concurrent use.
type Pool struct {
	kinds map[string]*kind
	// sorted holds the kinds by name, so that sums don't depend on the order of the map.
	sorted []*kind
	recent average
	// startedAt is the time of the first offer.
	startedAt time.Duration
	started   bool
	// reservedUntil is when the capacity left besides the usual work is no longer reserved.
	reservedUntil time.Duration
}

// New returns a pool without demand.
func New() *Pool { return &Pool{kinds: map[string]*kind{}} }

// Offer records work that was asked for, whether it is accepted or not, and how long it may wait
// without risk to its objective.
func (p *Pool) Offer(now time.Duration, name string, work float64, permittedWait time.Duration) {
	if !p.started {
		p.started, p.startedAt = true, now
	}
	p.recent.add(now, recentHalfLife, work)
	k := p.kinds[name]
	if k == nil {
		p.forgetIdle(now)
		if len(p.kinds) >= maxKinds {
			return
		}
		k = &kind{name: name}
		p.kinds[name] = k
		p.sorted = append(p.sorted, k)
		slices.SortFunc(p.sorted, func(a, b *kind) int { return cmp.Compare(a.name, b.name) })
	}
	k.recent.add(now, recentHalfLife, work)
	k.squares.add(now, recentHalfLife, work*work)
	k.offered, k.permittedWait = now, permittedWait
}

// Short reports whether the pool is short of capacity: several kinds compete, the recent demand
// exceeds the capacity, and the queued work takes a considerable part of the wait that the kind
// with the nearest objective permits.
func (p *Pool) Short(now time.Duration, queued, capacity float64) bool {
	if len(p.kinds) < 2 || perSecond(p.recent.read(now, recentHalfLife), recentHalfLife) <= capacity {
		return false
	}
	for _, k := range p.sorted {
		if queued > shortWaitFraction*capacity*k.permittedWait.Seconds() {
			return true
		}
	}
	return false
}

// Exceeds reports whether the recent demand of a kind exceeds its share of the capacity by more
// than random variation.
func (p *Pool) Exceeds(now time.Duration, name string, capacity float64) bool {
	k := p.kinds[name]
	if k == nil {
		return true
	}
	// The squares of the weights of an average with one half-life are those of one with half
	// of it.
	deviation := math.Sqrt(k.squares.read(now, recentHalfLife) / 2)
	recent := k.recent.read(now, recentHalfLife) - burstDeviations*deviation
	return perSecond(recent, recentHalfLife) > capacity*p.share(now, k)
}

// Wait returns how long work of a kind would wait if servers with exactly its share of the
// capacity served only this kind.
func (p *Pool) Wait(now time.Duration, name string) time.Duration {
	k := p.kinds[name]
	if k == nil {
		return 0
	}
	return max(0, k.busyUntil-now)
}

// Overtaken returns when work ends that must wait for the given time, if the usual work of the
// kinds that permit less wait precedes it as far as their objectives are nearer.
func (p *Pool) Overtaken(now, wait, permittedWait time.Duration) time.Duration {
	known := 1 - math.Exp2(-float64(now-p.startedAt)/float64(usualHalfLife))
	if known <= 0 {
		return wait
	}
	end := wait
	for range overtakingSteps {
		next := wait
		for _, k := range p.sorted {
			span := min(end, permittedWait-k.permittedWait)
			if span > 0 {
				next += time.Duration(float64(span) * min(1, perSecond(k.usual.read(now, usualHalfLife), usualHalfLife)/known))
			}
		}
		if next <= end {
			break
		}
		end = next
	}
	return end
}

// Accept records accepted work that counts against the share of its kind. maxWait bounds the
// time until the share is free again.
func (p *Pool) Accept(now time.Duration, name string, work, capacity float64, maxWait time.Duration) {
	k := p.kinds[name]
	if k == nil {
		return
	}
	k.usual.add(now, usualHalfLife, work)
	if rate := capacity * p.share(now, k); rate > 0 {
		until := max(now, k.busyUntil) + time.Duration(work/rate*float64(time.Second))
		k.busyUntil = min(until, max(k.busyUntil, now+maxWait))
	}
}

// share returns the fraction of the capacity that a kind may use: its part of the usual work.
func (p *Pool) share(now time.Duration, k *kind) float64 {
	total := p.usual(now)
	if total <= 0 {
		return 1
	}
	least := minUsualShare * total
	var sum float64
	for _, other := range p.sorted {
		sum += max(least, other.usual.read(now, usualHalfLife))
	}
	return max(least, k.usual.read(now, usualHalfLife)) / sum
}

// usual returns the sum of the accepted work of all kinds, as an average.
func (p *Pool) usual(now time.Duration) float64 {
	var sum float64
	for _, k := range p.sorted {
		sum += k.usual.read(now, usualHalfLife)
	}
	return sum
}

// Leftover returns the capacity that the usual work leaves.
func (p *Pool) Leftover(now time.Duration, capacity float64) float64 {
	// An average that began a short time ago contains only part of the work.
	known := 1 - math.Exp2(-float64(now-p.startedAt)/float64(usualHalfLife))
	usual := 0.0
	if known > 0 {
		usual = perSecond(p.usual(now), usualHalfLife) / known
	}
	return max(capacity-usual, minLeftoverShare*capacity)
}

// ReservedTime returns the time until the capacity that the usual work leaves is no longer
// reserved.
func (p *Pool) ReservedTime(now time.Duration) time.Duration {
	return max(0, p.reservedUntil-now)
}

// Reserve reserves capacity left besides the usual work, after the earlier reservations and not
// before start. It returns when the work can begin, and false if that is too far ahead to be
// reserved.
func (p *Pool) Reserve(now, start time.Duration, work, capacity float64) (time.Duration, bool) {
	begin := max(now, start, p.reservedUntil)
	if begin > now+maxReservation || capacity <= 0 {
		return now + maxReservation, false
	}
	p.reservedUntil = begin + time.Duration(work/p.Leftover(now, capacity)*float64(time.Second))
	return begin, true
}

// forgetIdle removes the kinds without requests for long.
func (p *Pool) forgetIdle(now time.Duration) {
	for name, k := range p.kinds {
		if now-k.offered > forgottenAfter {
			delete(p.kinds, name)
		}
	}
	p.sorted = slices.DeleteFunc(p.sorted, func(k *kind) bool { return p.kinds[k.name] != k })
}
