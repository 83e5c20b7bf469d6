package ledger

import (
	"container/heap"
	"time"
)

// Expire drops what has outlived its retention, and returns the attempts that
// lost their results since the last call.
func (l *Ledger) Expire(now time.Time) (spent []ID) {
	spent, l.dropped = l.dropped, nil
	for len(l.droppable) > 0 && !now.Before(l.droppable[0].expires) {
		spent = append(spent, l.droppable[0].ID)
		l.spend(now, l.droppable[0])
	}
	for len(l.firm) > 0 && !now.Before(l.firm[0].expires) {
		a := l.firm[0]
		if a.State == Finished {
			l.spend(now, a)
			spent = append(spent, a.ID)
			continue
		}
		l.forget(a)
	}
	for len(l.evictable) > 0 && !now.Before(l.evictable[0].expires) {
		l.forget(l.evictable[0])
	}
	return spent
}

// room makes room for size bytes by dropping shared results, and returns false if
// there is not enough.
func (l *Ledger) room(now time.Time, size int64) bool {
	for l.kept+size > l.opts.KeptBytes && len(l.droppable) > 0 {
		l.dropped = append(l.dropped, l.droppable[0].ID)
		l.spend(now, l.droppable[0])
	}
	return l.kept+size <= l.opts.KeptBytes
}

func (l *Ledger) spend(now time.Time, a *Attempt) {
	retention := l.opts.TombstoneRetention
	if a.Job.Idempotent {
		retention = l.opts.ReplayRetention
	}
	l.remember(a, Spent, now.Add(retention), a.Job.Idempotent)
}

// remember moves an attempt to state NotRun or Spent and drops its result.
func (l *Ledger) remember(a *Attempt, s State, expires time.Time, evictable bool) {
	if a.State != NotRun && a.State != Spent {
		l.remembered++
	}
	l.kept -= a.reserved
	a.State, a.reserved, a.Chunks = s, 0, nil
	h := &l.firm
	if evictable {
		h = &l.evictable
	}
	schedule(h, a, expires)
}

// evict forgets the evictable attempt that expires first, and returns false if
// there is none.
func (l *Ledger) evict() bool {
	if len(l.evictable) == 0 {
		return false
	}
	l.forget(l.evictable[0])
	return true
}

func (l *Ledger) forget(a *Attempt) {
	l.remembered--
	heap.Remove(a.heap, a.index)
	delete(l.attempts, a.ID)
}

// schedule moves an attempt to a heap.
func schedule(h *expiries, a *Attempt, at time.Time) {
	if a.heap != nil {
		heap.Remove(a.heap, a.index)
	}
	a.heap, a.expires = h, at
	heap.Push(h, a)
}
