package ledger

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// TestAttemptsStartAtMostOnce checks over any interleaving that no attempt starts
// twice, that none starts after NotRun was said of it or after its budget, and
// that the kept bytes are what the attempts hold.
func TestAttemptsStartAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 500
		l := New(Options{KeptBytes: bound, Retention: time.Second, TombstoneRetention: time.Hour, ReplayRetention: time.Hour, MaxRemembered: 1000})
		now := epoch
		begun, notRun, deadlines := map[ID]bool{}, map[ID]bool{}, map[ID]time.Time{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			id := ID{Request: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "request")), Attempt: uint32(rapid.IntRange(0, 1).Draw(t, "attempt"))}
			switch rapid.SampledFrom([]string{"accept", "begin", "append", "finish", "cancel", "ack", "expire", "unrun"}).Draw(t, "op") {
			case "accept":
				job := Job{Deadline: now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "budget")) * time.Millisecond), Idempotent: true, Reserve: 50, Shared: rapid.Bool().Draw(t, "shared")}
				known := l.Get(id) != nil
				if code := l.Accept(now, id, job); code == result.OK {
					deadlines[id] = job.Deadline
				} else if !known {
					notRun[id] = true
				}
			case "begin":
				if l.Begin(now, id) != result.OK {
					break
				}
				if begun[id] || notRun[id] || !now.Before(deadlines[id]) {
					t.Fatalf("%v started: begun %v, not run %v, deadline %v, now %v", id, begun[id], notRun[id], deadlines[id], now)
				}
				begun[id] = true
			case "append":
				l.Append(now, id, Chunk{Data: make([]byte, rapid.IntRange(0, 200).Draw(t, "bytes"))})
			case "finish":
				l.Finish(now, id, Outcome{})
			case "unrun":
				l.Unrun(now, id, Outcome{Ran: result.RanNo})
			case "cancel":
				if l.Cancel(now, id) == NotRun {
					notRun[id] = true
				}
			case "ack":
				l.Ack(now, id)
			case "expire":
				l.Expire(now)
			}
			check(t, l, bound)
		}
	})
}

func check(t *rapid.T, l *Ledger, bound int64) {
	sum := int64(0)
	for _, a := range l.attempts {
		sum += a.reserved
		if a.State == Running && a.reserved < a.Bytes || a.State == Finished && a.reserved != a.Bytes {
			t.Fatalf("%v holds %d bytes, %d reserved", a.ID, a.Bytes, a.reserved)
		}
	}
	if sum != l.kept || sum > bound {
		t.Fatalf("kept %d, held %d, bound %d", l.kept, sum, bound)
	}
	for _, h := range []expiries{l.evictable, l.droppable, l.firm} {
		for i, a := range h {
			if a.index != i || l.attempts[a.ID] != a {
				t.Fatalf("%v is misplaced", a.ID)
			}
		}
	}
}

func TestFindOrdersAttempts(t *testing.T) {
	l := New(Options{KeptBytes: 1000, MaxRemembered: 10})
	for _, n := range []uint32{3, 1, 2} {
		assert.Equal(t, l.Accept(epoch, ID{Request: "a", Stage: 1, Attempt: n}, Job{Deadline: epoch.Add(time.Second)}), result.OK)
	}
	l.Accept(epoch, ID{Request: "b"}, Job{Deadline: epoch.Add(time.Second)})
	var attempts []uint32
	for _, a := range l.Find("a") {
		attempts = append(attempts, a.ID.Attempt)
	}
	assert.DeepEqual(t, attempts, []uint32{1, 2, 3})
	working, results := l.Unacknowledged()
	assert.Equal(t, working, 4)
	assert.Equal(t, results, 0)
}

func BenchmarkAttempt(b *testing.B) {
	l := New(Options{KeptBytes: 1 << 30, Retention: time.Minute, TombstoneRetention: time.Minute, ReplayRetention: time.Second, MaxRemembered: 1 << 16})
	data := make([]byte, 32)
	now := epoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		id := ID{Request: "entry-1~abcdefgh.ijklmnop", Stage: uint32(i), Attempt: 1}
		l.Accept(now, id, Job{Deadline: now.Add(time.Second), Idempotent: true, Reserve: 1024})
		l.Begin(now, id)
		for range 8 {
			l.Append(now, id, Chunk{Data: data, Tokens: 1})
		}
		l.Finish(now, id, Outcome{})
		l.Ack(now, id)
		l.Expire(now)
	}
}
