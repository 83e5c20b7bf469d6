package ledger

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// TestAttemptsStartAtMostOnce checks for random interleavings that no attempt
// starts twice, after it was reported as NotRun, or after its deadline, and that
// the accounted memory is the sum of the attempts' reservations.
func TestAttemptsStartAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxBytes = 500
		l := New(Options{MaxBytes: maxBytes, ResultRetention: time.Second, TombstoneRetention: time.Hour, ReplayRetention: time.Hour, MaxClosedAttempts: 1000})
		now := epoch
		started, notRun, deadlines := map[ID]bool{}, map[ID]bool{}, map[ID]time.Time{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			id := ID{Request: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "request")), Attempt: uint32(rapid.IntRange(0, 1).Draw(t, "attempt"))}
			switch rapid.SampledFrom([]string{"accept", "begin", "append", "finish", "cancel", "ack", "expire", "unrun"}).Draw(t, "op") {
			case "accept":
				job := Job{Deadline: now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "budget")) * time.Millisecond), Idempotent: true, ReserveBytes: 50, Shared: rapid.Bool().Draw(t, "shared")}
				exists := l.Get(id) != nil
				if code := l.Accept(now, id, job); code == result.OK {
					deadlines[id] = job.Deadline
				} else if !exists {
					notRun[id] = true
				}
			case "begin":
				if l.Begin(now, id) != result.OK {
					break
				}
				if started[id] || notRun[id] || !now.Before(deadlines[id]) {
					t.Fatalf("%v started: started before %v, reported as not run %v, deadline %v, now %v", id, started[id], notRun[id], deadlines[id], now)
				}
				started[id] = true
			case "append":
				l.Append(now, id, Chunk{Data: make([]byte, rapid.IntRange(0, 200).Draw(t, "bytes"))})
			case "finish":
				l.Finish(now, id, Outcome{})
			case "unrun":
				l.MarkNotRun(now, id, Outcome{Ran: result.RanNo})
			case "cancel":
				if l.Cancel(now, id) == NotRun {
					notRun[id] = true
				}
			case "ack":
				l.Ack(now, id)
			case "expire":
				l.Expire(now)
			}
			checkInvariants(t, l, maxBytes)
		}
	})
}

// checkInvariants compares the accounting and the heaps with the attempts.
func checkInvariants(t *rapid.T, l *Ledger, maxBytes int64) {
	reserved := int64(0)
	for _, a := range l.attempts {
		reserved += a.reservedBytes
		if a.State == Running && a.reservedBytes < a.ResultBytes || a.State == Finished && a.reservedBytes != a.ResultBytes {
			t.Fatalf("%v has a result of %d bytes and %d bytes reserved", a.ID, a.ResultBytes, a.reservedBytes)
		}
	}
	if reserved != l.usedBytes || reserved > maxBytes {
		t.Fatalf("%d bytes accounted, %d reserved by attempts, limit %d", l.usedBytes, reserved, maxBytes)
	}
	for _, h := range []expiryHeap{l.evictable, l.droppableResults, l.nonEvictable} {
		for i, a := range h {
			if a.heapIndex != i || l.attempts[a.ID] != a {
				t.Fatalf("%v is at the wrong heap index or no longer recorded", a.ID)
			}
		}
	}
}

func TestAttemptsByRequestAreOrdered(t *testing.T) {
	l := New(Options{MaxBytes: 1000, MaxClosedAttempts: 10})
	for _, n := range []uint32{3, 1, 2} {
		assert.Equal(t, l.Accept(epoch, ID{Request: "a", Stage: 1, Attempt: n}, Job{Deadline: epoch.Add(time.Second)}), result.OK)
	}
	l.Accept(epoch, ID{Request: "b"}, Job{Deadline: epoch.Add(time.Second)})
	var attempts []uint32
	for _, a := range l.AttemptsByRequest("a") {
		attempts = append(attempts, a.ID.Attempt)
	}
	assert.DeepEqual(t, attempts, []uint32{1, 2, 3})
	active, unacknowledged := l.PendingCounts()
	assert.Equal(t, active, 4)
	assert.Equal(t, unacknowledged, 0)
}

func BenchmarkAttempt(b *testing.B) {
	l := New(Options{MaxBytes: 1 << 30, ResultRetention: time.Minute, TombstoneRetention: time.Minute, ReplayRetention: time.Second, MaxClosedAttempts: 1 << 16})
	data := make([]byte, 32)
	now := epoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		id := ID{Request: "entry-1~abcdefgh.ijklmnop", Stage: uint32(i), Attempt: 1}
		l.Accept(now, id, Job{Deadline: now.Add(time.Second), Idempotent: true, ReserveBytes: 1024})
		l.Begin(now, id)
		for range 8 {
			l.Append(now, id, Chunk{Data: data, Tokens: 1})
		}
		l.Finish(now, id, Outcome{})
		l.Ack(now, id)
		l.Expire(now)
	}
}
