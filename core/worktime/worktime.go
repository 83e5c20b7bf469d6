// Package worktime learns how long requests take, and decides whether a request can be expected to
// end before its process does. It has no clock and does no I/O.
package worktime

import (
	"cmp"
	"container/list"
	"math/bits"
	"slices"
	"time"
)

const (
	// sampleCount is the number of kept samples of a class, retention the age from which they
	// count no more, and minSamples the number from which a class is learnt.
	sampleCount = 128
	retention   = 2 * time.Minute
	minSamples  = 5
	// usualQuantile is the quantile of the times that is expected, and carefulQuantile that of
	// requests which may not be repeated.
	usualQuantile   = 0.95
	carefulQuantile = 0.99
	// lengthStep is the factor between the lengths of two neighbouring classes, as a power of 2.
	lengthStep = 2
	// maxClasses bounds the classes that are known.
	maxClasses = 1024
	// maxExpected bounds the times that follow from a length.
	maxExpected = time.Hour
)

// Kind names requests that are alike but for their length.
type Kind struct{ Route, Service string }

// Request is what the time of a request depends on.
type Request struct {
	Kind Kind
	// Length is the greatest length of the response in any unit; 0 if it is not known.
	Length int
	// Careful is set for a request that may not be repeated.
	Careful bool
	// Prior is the time that is expected while nothing is learnt, and PriorPerLength what each
	// unit of the length adds to it.
	Prior, PriorPerLength time.Duration
}

// prior returns the time that is expected while nothing is learnt.
func (r *Request) prior() time.Duration {
	all := r.Prior.Seconds() + r.PriorPerLength.Seconds()*float64(r.Length)
	return time.Duration(min(all, maxExpected.Seconds()) * float64(time.Second))
}

// class names requests of one kind and of similar lengths.
type class struct {
	kind   Kind
	length int
}

func (r *Request) class() class { return class{r.Kind, bits.Len(uint(max(r.Length, 0))) / lengthStep} }

// Work is a request whose time is being measured.
type Work struct {
	class   class
	beganAt time.Duration
	// element is the place among the open work of the class; nil once the work has ended.
	element *list.Element
}

// sample is a measured time.
type sample struct{ at, took time.Duration }

// times are the newest times of a class.
type times struct {
	// samples is a ring buffer; count is the number of samples ever added.
	samples [sampleCount]sample
	count   int
	// open holds the open work (*Work) in the order of its begin.
	open   list.List
	usedAt time.Duration
}

// Table holds the times of requests by kind and length. Use New to create one. It is not safe for
// concurrent use.
type Table struct{ classes map[class]*times }

// New returns a table without samples.
func New() *Table { return &Table{classes: map[class]*times{}} }

// Begin records that work on a request begins. End must be called with the result.
func (t *Table) Begin(now time.Duration, r *Request) *Work {
	w := &Work{class: r.class(), beganAt: now}
	c := t.classes[w.class]
	if c == nil {
		t.makeRoom()
		c = &times{}
		t.classes[w.class] = c
	}
	w.element, c.usedAt = c.open.PushBack(w), now
	return w
}

// End records that work has ended. counts is set if it was completed, or was given up although
// it would have taken longer.
func (t *Table) End(now time.Duration, w *Work, counts bool) {
	c := t.classes[w.class]
	if c == nil || w.element == nil {
		return
	}
	c.open.Remove(w.element)
	w.element = nil
	if counts {
		c.samples[c.count%sampleCount] = sample{now, now - w.beganAt}
		c.count++
	}
}

// makeRoom drops the class that was used least recently if there are too many. Classes with open
// work are kept.
func (t *Table) makeRoom() {
	if len(t.classes) < maxClasses {
		return
	}
	var oldest class
	var found *times
	for name, c := range t.classes {
		if c.open.Len() == 0 && (found == nil || c.usedAt < found.usedAt) {
			oldest, found = name, c
		}
	}
	delete(t.classes, oldest)
}

// Expect returns the time that a request is expected to take. Without samples of its length it
// follows from those of the next longer ones, or else in proportion from those of shorter ones.
func (t *Table) Expect(now time.Duration, r *Request) time.Duration {
	quantile := usualQuantile
	if r.Careful {
		quantile = carefulQuantile
	}
	own := r.class()
	took, learnt := t.learnt(now, own, quantile)
	if learnt {
		return took
	}
	for longer := own.length + 1; longer <= bits.UintSize/lengthStep; longer++ {
		if d, ok := t.learnt(now, class{own.kind, longer}, quantile); ok {
			return max(took, d)
		}
	}
	for shorter := own.length - 1; shorter >= 0; shorter-- {
		if d, ok := t.learnt(now, class{own.kind, shorter}, quantile); ok {
			return max(took, timesLength(d, own.length-shorter))
		}
	}
	return max(took, r.prior())
}

// timesLength returns a time multiplied by the factor between lengths that are so many classes
// apart, at most maxExpected.
func timesLength(d time.Duration, classes int) time.Duration {
	for ; classes > 0 && d < maxExpected; classes-- {
		d <<= lengthStep
	}
	return min(d, maxExpected)
}

// learnt returns the quantile of the times of a class, and whether there are enough of them. The
// times so far of open work are among them, since a slowdown shows in them first.
func (t *Table) learnt(now time.Duration, name class, quantile float64) (time.Duration, bool) {
	c := t.classes[name]
	if c == nil {
		return 0, false
	}
	took := make([]time.Duration, 0, sampleCount)
	for _, s := range c.samples[:min(c.count, sampleCount)] {
		if now-s.at < retention {
			took = append(took, s.took)
		}
	}
	all := len(took) + c.open.Len()
	if all == 0 {
		return 0, false
	}
	slices.SortFunc(took, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return c.longest(now, took, all-1-int(quantile*float64(all-1))), len(took) >= minSamples
}

// longest returns the longest of the given times, which are in descending order, and of the times so
// far of open work, leaving out the given number of longer ones.
func (c *times) longest(now time.Duration, took []time.Duration, without int) time.Duration {
	open := c.open.Front()
	for ; ; without-- {
		var d time.Duration
		if open != nil {
			d = now - open.Value.(*Work).beganAt
		}
		if open == nil || len(took) > 0 && took[0] >= d {
			d, took = took[0], took[1:]
		} else {
			open = open.Next()
		}
		if without <= 0 {
			return d
		}
	}
}
