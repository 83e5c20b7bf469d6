// Package fairshare detects customers that send much more than their usual share of the
// requests, so that they, and not the others, wait at a shortage. It has no clock and does
// no I/O.
package fairshare

import (
	"math"
	"time"
)

const (
	// A customer's demand of the last recentHalfLife is compared with that of the last
	// usualHalfLife.
	recentHalfLife = 1500 * time.Millisecond
	usualHalfLife  = 20 * time.Second
	// warmUp is the time after the first request in which no customer counts as flooding,
	// since nothing is known of the usual demand.
	warmUp = 6 * time.Second
	// holdTime is how long requests are held back, once or twice, before they count as
	// usual. The beginning of a flood is recognized within that time, and does not count.
	holdTime = 2 * time.Second
	// minUsualShare is the least share of all requests that a customer is assumed to send
	// usually, so that small and new customers may send a few at once.
	minUsualShare = 0.05
	// A customer floods if it sent more than floodFactor times as many requests as
	// expected, and floodDeviations standard deviations more.
	floodFactor     = 2.0
	floodDeviations = 3.0
	// forgottenAfter is the time without requests after which a customer is forgotten.
	forgottenAfter = 5 * usualHalfLife
)

// count is a number of requests that halves within a half-life.
type count struct {
	value float64
	at    time.Duration
}

func (c *count) read(now, halfLife time.Duration) float64 {
	return c.value * math.Exp2(-float64(now-c.at)/float64(halfLife))
}

func (c *count) add(now, halfLife time.Duration, n float64) {
	c.value, c.at = c.read(now, halfLife)+n, now
}

// span returns the time, in seconds, that a constant rate is multiplied by in a count that
// began elapsed ago.
func span(elapsed, halfLife time.Duration) float64 {
	return halfLife.Seconds() / math.Ln2 * (1 - math.Exp2(-float64(elapsed)/float64(halfLife)))
}

// demand counts the requests of one customer.
type demand struct {
	recent, usual count
	// held and heldLonger are requests that do not count as usual yet. Those in held
	// arrived since heldSince.
	held, heldLonger float64
	heldSince        time.Duration
}

// Tracker holds the demand of all customers. It is not safe for concurrent use.
type Tracker struct {
	customers map[string]*demand
	// recent and usual are the counts of all customers.
	recent, usual count
	startedAt     time.Duration
	started       bool
}

// New returns a tracker without customers.
func New() *Tracker { return &Tracker{customers: map[string]*demand{}} }

// Add records a request of a customer and reports whether the customer floods.
func (t *Tracker) Add(now time.Duration, customer string) bool {
	if !t.started {
		t.started, t.startedAt = true, now
	}
	d := t.customers[customer]
	if d == nil {
		t.forgetIdle(now)
		d = &demand{heldSince: now}
		t.customers[customer] = d
	}
	d.recent.add(now, recentHalfLife, 1)
	t.recent.add(now, recentHalfLife, 1)
	if now-t.startedAt >= warmUp && t.floods(now, d) {
		d.held, d.heldLonger, d.heldSince = 0, 0, now
		return true
	}
	d.held++
	t.releaseHeld(now, d)
	return false
}

// releaseHeld counts requests as usual that were held back for long enough.
func (t *Tracker) releaseHeld(now time.Duration, d *demand) {
	if now-d.heldSince < holdTime {
		return
	}
	d.usual.add(now, usualHalfLife, d.heldLonger)
	t.usual.add(now, usualHalfLife, d.heldLonger)
	d.held, d.heldLonger, d.heldSince = 0, d.held, now
}

// floods reports whether a customer sent much more than it usually does, in proportion to
// how much the demand of all others has grown.
func (t *Tracker) floods(now time.Duration, d *demand) bool {
	recent, usual := d.recent.read(now, recentHalfLife), d.usual.read(now, usualHalfLife)
	allRecent, allUsual := t.recent.read(now, recentHalfLife), t.usual.read(now, usualHalfLife)
	// scale converts a usual count to the recent one at the same rate.
	elapsed := now - t.startedAt
	scale := span(elapsed, recentHalfLife) / span(elapsed-holdTime, usualHalfLife)
	growth := 1.0
	if others := allUsual - usual; others > 0 {
		growth = max(growth, (allRecent-recent)/(others*scale))
	}
	expected := max(usual, minUsualShare*allUsual) * scale * growth
	return recent > floodFactor*expected+floodDeviations*math.Sqrt(expected)
}

// forgetIdle removes the customers that have not sent requests for long.
func (t *Tracker) forgetIdle(now time.Duration) {
	for name, d := range t.customers {
		if now-d.recent.at > forgottenAfter {
			delete(t.customers, name)
		}
	}
}
