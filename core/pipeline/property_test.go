package pipeline

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/retry"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// world is a set of agents that obey the protocol, on a network that loses, cuts
// and delays anything. It knows what truly ran.
type world struct {
	t    *rapid.T
	m    *Machine
	now  time.Time
	live bool
	// repeatable is set when all attempts at a stage have the same result.
	repeatable bool
	stages     []schema.Stage
	work       map[Attempt]*trueWork
	order      []Attempt
	emitted    []string
	ended      *Finish
}

// trueWork is the state of an attempt at its agent.
type trueWork struct {
	id Attempt
	// arrived is set once the agent has it, ran once the server was called, dead
	// once the agent's incarnation is gone, barred once a tombstone stands.
	arrived, ran, finished, dead, barred bool
	// streaming is set while a connection carries events of it.
	streaming bool
	next      uint64
	cancels   int
	attaching bool
	// first is set until the agent sent its first event on a connection.
	first bool
}

const chunksPerStage = 3

// rarely and sometimes are drawn from without bias.
var (
	rarely    = append(make([]bool, 199), true)
	sometimes = append(make([]bool, 7), true)
)

func (w *world) chunk(id Attempt, seq uint64) string {
	if w.repeatable {
		id.Number = 0
	}
	return fmt.Sprintf("%d.%d.%d;", id.Stage, id.Number, seq)
}

func (w *world) Place(_ time.Time, q *Query) (Server, bool) {
	for _, id := range []string{"s1", "s2", "s3"} {
		if !slices.Contains(q.Exclude, id) {
			return Server{ID: id}, true
		}
	}
	return Server{}, false
}

func (w *world) Request(time.Time) {}

func (w *world) Retry(_ time.Time, a *retry.FailedAttempt) (time.Duration, bool) {
	if !a.Idempotent && a.Ran != result.RanNo {
		w.t.Fatalf("asked to repeat a stage with effects that may have run")
	}
	return 10 * time.Millisecond, a.Attempts < 4
}

func (w *world) HedgeAfter(time.Time, *schema.Stage, time.Duration) (time.Duration, bool) {
	return 20 * time.Millisecond, true
}

func (w *world) HedgeSent(time.Time) bool { return true }

func (w *world) step(ev Event) {
	for _, a := range slices.Clone(w.m.Step(w.now, ev)) {
		w.apply(a)
	}
}

func (w *world) apply(a Action) {
	if w.ended != nil {
		switch a.(type) {
		case Send, Emit, Finish, Attach:
			w.t.Fatalf("%s after the end", describe(a))
		}
	}
	switch a := a.(type) {
	case Send:
		w.sent(a.Attempt)
	case Attach:
		wk := w.work[a.Attempt]
		wk.streaming, wk.attaching, wk.first = true, true, true
		wk.next = a.FromSeq
	case Drop:
		w.work[a.Attempt].streaming = false
	case Cancel:
		w.work[a.Attempt].cancels++
	case Emit:
		if a.Seq != uint64(len(w.emitted))+1 {
			w.t.Fatalf("emitted %d after %d", a.Seq, len(w.emitted))
		}
		w.emitted = append(w.emitted, a.Text)
	case Finish:
		w.ended = &a
		w.check(a)
	}
}

// sent checks that a stage with effects is never sent while another attempt may run.
func (w *world) sent(id Attempt) {
	if !w.stages[id.Stage].Idempotent {
		for _, wk := range w.work {
			if wk.id.Stage == id.Stage && !wk.barred {
				w.t.Fatalf("stage %d sent again while attempt %s may run", id.Stage, wk.id)
			}
		}
	}
	w.work[id] = &trueWork{id: id, streaming: true, next: 1, first: true}
	w.order = append(w.order, id)
}

// check compares what the caller is told with what truly ran or can still run.
func (w *world) check(f Finish) {
	ran, effects := false, false
	for _, wk := range w.work {
		possible := wk.ran || (!wk.barred && !wk.dead)
		ran = ran || possible
		effects = effects || (possible && !w.stages[wk.id.Stage].Idempotent)
	}
	if f.Err == nil {
		w.checkWhole(f)
		return
	}
	if f.Err.Ran == result.RanNo && ran {
		w.t.Fatalf("told that nothing ran, but something did or may yet")
	}
	if f.Err.Effects == result.RanNo && effects {
		w.t.Fatalf("told that there were no effects, but there were or may be yet")
	}
}

// checkWhole checks that each answer stage was emitted whole, from one attempt.
func (w *world) checkWhole(f Finish) {
	text := strings.Join(w.emitted, "")
	if f.Checksum != xxhash.Sum64String(text) || f.Chunks != uint64(len(w.emitted)) {
		w.t.Fatalf("count or checksum of the answer is wrong")
	}
	i := 0
	for st := range w.stages {
		if !w.stages[st].Answer {
			continue
		}
		var source Attempt
		for seq := uint64(1); seq <= chunksPerStage; seq++ {
			if i == len(w.emitted) {
				w.t.Fatalf("the answer lacks chunks: %q", w.emitted)
			}
			var id Attempt
			var n uint64
			if _, err := fmt.Sscanf(w.emitted[i], "%d.%d.%d;", &id.Stage, &id.Number, &n); err != nil {
				w.t.Fatalf("chunk %q", w.emitted[i])
			}
			if seq == 1 {
				source = id
			}
			if id != source || n != seq || int(id.Stage) != st {
				w.t.Fatalf("mixed or reordered chunks: %q", w.emitted)
			}
			i++
		}
	}
	if i != len(w.emitted) {
		w.t.Fatalf("the answer has too many chunks: %q", w.emitted)
	}
}

// deliver lets the agent of an attempt, or the network, do one thing.
func (w *world) deliver(wk *trueWork) {
	switch rapid.SampledFrom([]string{"arrive", "run", "refuse", "event", "event", "event", "lose", "die", "cancel"}).Draw(w.t, "happening") {
	case "arrive":
		wk.arrived = wk.arrived || (!wk.barred && !wk.dead)
	case "run":
		if wk.arrived && !wk.barred && !wk.dead {
			wk.ran = true
		}
	case "refuse":
		if wk.streaming && !wk.attaching && !wk.ran && !wk.dead {
			wk.barred, wk.streaming = true, false
			w.step(Refused{Attempt: wk.id, Code: result.QueueFull, Ran: result.RanNo})
		}
	case "event":
		w.event(wk)
	case "lose":
		if wk.streaming {
			wk.streaming = false
			w.step(Lost{Attempt: wk.id, Cause: rapid.SampledFrom([]LostCause{Broken, Silent}).Draw(w.t, "cause")})
		}
	case "die":
		if rapid.SampledFrom(sometimes).Draw(w.t, "dies") {
			wk.dead = true
		}
	case "cancel":
		w.cancelReply(wk)
	}
}

// event sends the next message of an attempt's stream.
func (w *world) event(wk *trueWork) {
	switch {
	case !wk.streaming:
	case wk.dead:
		wk.streaming = false
		if wk.attaching && rapid.Bool().Draw(w.t, "replaced") {
			w.step(Refused{Attempt: wk.id, Code: result.WrongIncarnation, Ran: result.RanUnknown})
			return
		}
		w.step(Lost{Attempt: wk.id, Cause: Gone})
	case wk.attaching && !wk.arrived:
		wk.streaming = false
		w.step(Refused{Attempt: wk.id, Code: result.Tombstoned, Ran: result.RanUnknown})
	case !wk.arrived:
	case wk.first:
		wk.first = false
		w.step(Accepted{Attempt: wk.id})
	case wk.barred && !wk.ran:
		wk.streaming = false
		w.step(Refused{Attempt: wk.id, Code: result.Tombstoned, Ran: result.RanNo})
	case !wk.ran:
	case wk.next <= chunksPerStage:
		seq := wk.next
		switch rapid.SampledFrom([]string{"next", "next", "next", "again", "gap"}).Draw(w.t, "order") {
		case "next":
			wk.next++
		case "again":
			seq = max(1, seq-1)
		case "gap":
			seq++
		}
		w.step(Chunk{Attempt: wk.id, Seq: seq, Data: []byte(w.chunk(wk.id, seq))})
	default:
		wk.finished, wk.streaming = true, false
		h := xxhash.New()
		for seq := uint64(1); seq <= chunksPerStage; seq++ {
			_, _ = h.WriteString(w.chunk(wk.id, seq))
		}
		w.step(Done{Attempt: wk.id, Count: chunksPerStage, Checksum: h.Sum64()})
	}
}

func (w *world) cancelReply(wk *trueWork) {
	if wk.cancels == 0 {
		return
	}
	wk.cancels--
	switch {
	case wk.dead:
		w.step(CancelReply{Attempt: wk.id, State: CancelUnknown})
	case wk.finished:
		w.step(CancelReply{Attempt: wk.id, State: CancelFinished})
	case wk.ran:
		w.step(CancelReply{Attempt: wk.id, State: CancelRunning})
	default:
		wk.barred = true
		w.step(CancelReply{Attempt: wk.id, State: CancelNotRun})
	}
}

// TestAnyFaults runs requests through agents and a network that do anything the
// protocol allows, and checks the invariants of the package.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: epoch, work: map[Attempt]*trueWork{}, live: rapid.Bool().Draw(t, "live"), repeatable: rapid.Bool().Draw(t, "repeatable")}
		n := rapid.IntRange(1, 3).Draw(t, "stages")
		for i := range n {
			w.stages = append(w.stages, schema.Stage{
				Name: fmt.Sprint("stage", i), Pool: "p", Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Answer: i == n-1 || rapid.Bool().Draw(t, "answer"),
			})
		}
		w.m = New(Options{
			RequestID: "r", Pipeline: &schema.Pipeline{Name: "p", Stages: w.stages}, Body: []byte("body"),
			Deadline: epoch.Add(3 * time.Second), Live: w.live, Decider: w,
		})
		w.step(Start{})
		for i := 0; w.ended == nil; i++ {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			if wake := w.m.Wake(); !wake.IsZero() && !w.now.Before(wake) {
				w.step(Tick{})
				continue
			}
			if rapid.SampledFrom(rarely).Draw(t, "cancels") {
				w.step(CallerCancel{})
				continue
			}
			w.deliver(w.work[rapid.SampledFrom(w.order).Draw(t, "attempt")])
		}
		if late := w.now.Sub(epoch.Add(3*time.Second + CancelWait)); late > 50*time.Millisecond {
			t.Fatalf("ended %s after the bound", late)
		}
		for range 20 {
			w.deliver(w.work[rapid.SampledFrom(w.order).Draw(t, "attempt")])
		}
		w.step(Delivered{})
	})
}
