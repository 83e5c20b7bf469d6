package ledger

import (
	"container/heap"
	"time"
)

// Expire drops the results and removes the records whose retention has ended. It
// returns the attempts whose results were dropped since the last call, whether
// they expired or memory was short.
func (l *Ledger) Expire(now time.Time) (dropped []ID) {
	dropped, l.droppedResults = l.droppedResults, nil
	for len(l.droppableResults) > 0 && !now.Before(l.droppableResults[0].expiresAt) {
		dropped = append(dropped, l.droppableResults[0].ID)
		l.dropResult(now, l.droppableResults[0])
	}
	for len(l.nonEvictable) > 0 && !now.Before(l.nonEvictable[0].expiresAt) {
		a := l.nonEvictable[0]
		if a.State == Finished {
			l.dropResult(now, a)
			dropped = append(dropped, a.ID)
			continue
		}
		l.remove(a)
	}
	for len(l.evictable) > 0 && !now.Before(l.evictable[0].expiresAt) {
		l.remove(l.evictable[0])
	}
	return dropped
}

// freeMemory drops acknowledged shared results until size more bytes fit in the
// limit, and returns false if that does not free enough.
func (l *Ledger) freeMemory(now time.Time, size int64) bool {
	for l.usedBytes+size > l.opts.MaxBytes && len(l.droppableResults) > 0 {
		l.droppedResults = append(l.droppedResults, l.droppableResults[0].ID)
		l.dropResult(now, l.droppableResults[0])
	}
	return l.usedBytes+size <= l.opts.MaxBytes
}

// dropResult deletes the result of a finished attempt and keeps the record.
func (l *Ledger) dropResult(now time.Time, a *Attempt) {
	retention := l.opts.TombstoneRetention
	if a.Job.Idempotent {
		retention = l.opts.ReplayRetention
	}
	l.closeAttempt(a, ResultDropped, now.Add(retention), a.Job.Idempotent)
}

// closeAttempt moves an attempt to state NotRun or ResultDropped and releases its
// memory.
func (l *Ledger) closeAttempt(a *Attempt, state State, expiresAt time.Time, evictable bool) {
	if a.State != NotRun && a.State != ResultDropped {
		l.closedCount++
	}
	l.usedBytes -= a.reservedBytes
	a.State, a.reservedBytes, a.Chunks = state, 0, nil
	h := &l.nonEvictable
	if evictable {
		h = &l.evictable
	}
	schedule(h, a, expiresAt)
}

// evict removes the evictable record that expires first, and returns false if
// there is none.
func (l *Ledger) evict() bool {
	if len(l.evictable) == 0 {
		return false
	}
	l.remove(l.evictable[0])
	return true
}

func (l *Ledger) remove(a *Attempt) {
	l.closedCount--
	heap.Remove(a.heap, a.heapIndex)
	delete(l.attempts, a.ID)
}

// schedule moves an attempt to the heap h with a new expiry time.
func schedule(h *expiryHeap, a *Attempt, expiresAt time.Time) {
	if a.heap != nil {
		heap.Remove(a.heap, a.heapIndex)
	}
	a.heap, a.expiresAt = h, expiresAt
	heap.Push(h, a)
}
