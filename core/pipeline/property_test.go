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

// simulation runs a request against agents that follow the protocol, on a network that
// may lose, cut and delay anything. It records what actually ran.
type simulation struct {
	t         *rapid.T
	machine   *Machine
	now       time.Time
	streaming bool
	// deterministic is set if all attempts at a stage produce the same result.
	deterministic bool
	stages        []schema.Stage
	agentWorks    map[Attempt]*agentWork
	// sentOrder lists the attempts in the order they were sent.
	sentOrder []Attempt
	// emittedTexts and finish record the Emit and Finish actions.
	emittedTexts []string
	finish       *Finish
}

// agentWork is the state of an attempt at its agent.
type agentWork struct {
	id Attempt
	// arrived is set when the agent has received the attempt, ran when the server was
	// called, agentStopped when the agent's incarnation ended, and tombstoned when the
	// agent will never run the attempt.
	arrived, ran, finished, agentStopped, tombstoned bool
	// streaming is set while a connection carries events of it.
	streaming bool
	// nextSeq is the next chunk to stream.
	nextSeq uint64
	// pendingCancels counts the Cancel actions not yet answered.
	pendingCancels int
	// attaching is set if the connection was opened by Attach rather than Send.
	attaching bool
	// acceptPending is set until the agent has sent the first event on a connection.
	acceptPending bool
}

const chunksPerStage = 3

// oneIn200 and oneIn8 are sampled to draw true with that probability. Drawing a number
// from a range instead would favor small values.
var (
	oneIn200 = append(make([]bool, 199), true)
	oneIn8   = append(make([]bool, 7), true)
)

// chunkText returns the data of a chunk. It names the attempt unless the result is
// deterministic.
func (w *simulation) chunkText(id Attempt, seq uint64) string {
	if w.deterministic {
		id.Number = 0
	}
	return fmt.Sprintf("%d.%d.%d;", id.Stage, id.Number, seq)
}

func (w *simulation) Place(_ time.Time, q *PlacementQuery) (Server, bool) {
	for _, id := range []string{"s1", "s2", "s3"} {
		if !slices.Contains(q.Exclude, id) {
			return Server{ID: id}, true
		}
	}
	return Server{}, false
}

func (w *simulation) RecordRequest(time.Time) {}

func (w *simulation) Retry(_ time.Time, a *retry.FailedAttempt) (time.Duration, bool) {
	if !a.Idempotent && a.Ran != result.RanNo {
		w.t.Fatalf("retry requested for a stage with effects that may have run")
	}
	return 10 * time.Millisecond, a.Attempts < 4
}

func (w *simulation) HedgeDelay(time.Time, *schema.Stage, time.Duration) (time.Duration, bool) {
	return 20 * time.Millisecond, true
}

func (w *simulation) AllowHedge(time.Time) bool { return true }

// step passes an event to the machine and applies the resulting actions.
func (w *simulation) step(ev Event) {
	for _, a := range slices.Clone(w.machine.Step(w.now, ev)) {
		w.apply(a)
	}
}

func (w *simulation) apply(a Action) {
	if w.finish != nil {
		switch a.(type) {
		case Send, Emit, Finish, Attach:
			w.t.Fatalf("%s after Finish", describe(a))
		}
	}
	switch a := a.(type) {
	case Send:
		w.recordSend(a.Attempt)
	case Attach:
		wk := w.agentWorks[a.Attempt]
		wk.streaming, wk.attaching, wk.acceptPending = true, true, true
		wk.nextSeq = a.FromSeq
	case CloseStream:
		w.agentWorks[a.Attempt].streaming = false
	case Cancel:
		w.agentWorks[a.Attempt].pendingCancels++
	case Emit:
		if a.Seq != uint64(len(w.emittedTexts))+1 {
			w.t.Fatalf("emitted chunk %d after chunk %d", a.Seq, len(w.emittedTexts))
		}
		w.emittedTexts = append(w.emittedTexts, a.Text)
	case Finish:
		w.finish = &a
		w.checkFinish(a)
	}
}

// recordSend checks that a stage with effects is never sent while another attempt may
// still run.
func (w *simulation) recordSend(id Attempt) {
	if !w.stages[id.Stage].Idempotent {
		for _, wk := range w.agentWorks {
			if wk.id.Stage == id.Stage && !wk.tombstoned {
				w.t.Fatalf("stage %d sent again while attempt %s may run", id.Stage, wk.id)
			}
		}
	}
	w.agentWorks[id] = &agentWork{id: id, streaming: true, nextSeq: 1, acceptPending: true}
	w.sentOrder = append(w.sentOrder, id)
}

// checkFinish compares the reported outcome with what actually ran or can still run.
func (w *simulation) checkFinish(f Finish) {
	ran, effects := false, false
	for _, wk := range w.agentWorks {
		possible := wk.ran || (!wk.tombstoned && !wk.agentStopped)
		ran = ran || possible
		effects = effects || (possible && !w.stages[wk.id.Stage].Idempotent)
	}
	if f.Err == nil {
		w.checkCompleteAnswer(f)
		return
	}
	if f.Err.Ran == result.RanNo && ran {
		w.t.Fatalf("ran reported as no, but work ran or may still run")
	}
	if f.Err.Effects == result.RanNo && effects {
		w.t.Fatalf("effects reported as no, but a stage with effects ran or may still run")
	}
}

// checkCompleteAnswer checks that each answer stage was emitted completely and from one
// attempt.
func (w *simulation) checkCompleteAnswer(f Finish) {
	text := strings.Join(w.emittedTexts, "")
	if f.Checksum != xxhash.Sum64String(text) || f.Chunks != uint64(len(w.emittedTexts)) {
		w.t.Fatalf("count or checksum of the answer is wrong")
	}
	i := 0
	for st := range w.stages {
		if !w.stages[st].InAnswer {
			continue
		}
		var source Attempt
		for seq := uint64(1); seq <= chunksPerStage; seq++ {
			if i == len(w.emittedTexts) {
				w.t.Fatalf("the answer is incomplete: %q", w.emittedTexts)
			}
			var id Attempt
			var n uint64
			if _, err := fmt.Sscanf(w.emittedTexts[i], "%d.%d.%d;", &id.Stage, &id.Number, &n); err != nil {
				w.t.Fatalf("chunk %q", w.emittedTexts[i])
			}
			if seq == 1 {
				source = id
			}
			if id != source || n != seq || int(id.Stage) != st {
				w.t.Fatalf("mixed or reordered chunks: %q", w.emittedTexts)
			}
			i++
		}
	}
	if i != len(w.emittedTexts) {
		w.t.Fatalf("the answer has too many chunks: %q", w.emittedTexts)
	}
}

// stepAgent lets the agent of an attempt, or the network, perform one random step.
func (w *simulation) stepAgent(wk *agentWork) {
	switch rapid.SampledFrom([]string{"arrive", "run", "refuse", "event", "event", "event", "lose", "die", "cancel"}).Draw(w.t, "step") {
	case "arrive":
		wk.arrived = wk.arrived || (!wk.tombstoned && !wk.agentStopped)
	case "run":
		if wk.arrived && !wk.tombstoned && !wk.agentStopped {
			wk.ran = true
		}
	case "refuse":
		if wk.streaming && !wk.attaching && !wk.ran && !wk.agentStopped {
			wk.tombstoned, wk.streaming = true, false
			w.step(Refused{Attempt: wk.id, Code: result.QueueFull, Ran: result.RanNo})
		}
	case "event":
		w.sendNextEvent(wk)
	case "lose":
		if wk.streaming {
			wk.streaming = false
			w.step(StreamLost{Attempt: wk.id, Cause: rapid.SampledFrom([]StreamLostCause{ConnectionBroken, ConnectionSilent}).Draw(w.t, "cause")})
		}
	case "die":
		if rapid.SampledFrom(oneIn8).Draw(w.t, "dies") {
			wk.agentStopped = true
		}
	case "cancel":
		w.cancelReply(wk)
	}
}

// sendNextEvent sends the next event of the attempt's stream, possibly a duplicate or
// one after a gap.
func (w *simulation) sendNextEvent(wk *agentWork) {
	switch {
	case !wk.streaming:
	case wk.agentStopped:
		wk.streaming = false
		if wk.attaching && rapid.Bool().Draw(w.t, "replaced") {
			w.step(Refused{Attempt: wk.id, Code: result.WrongIncarnation, Ran: result.RanUnknown})
			return
		}
		w.step(StreamLost{Attempt: wk.id, Cause: ConnectionRefused})
	case wk.attaching && !wk.arrived:
		wk.streaming = false
		w.step(Refused{Attempt: wk.id, Code: result.Tombstoned, Ran: result.RanUnknown})
	case !wk.arrived:
	case wk.acceptPending:
		wk.acceptPending = false
		w.step(Accepted{Attempt: wk.id})
	case wk.tombstoned && !wk.ran:
		wk.streaming = false
		w.step(Refused{Attempt: wk.id, Code: result.Tombstoned, Ran: result.RanNo})
	case !wk.ran:
	case wk.nextSeq <= chunksPerStage:
		seq := wk.nextSeq
		switch rapid.SampledFrom([]string{"next", "next", "next", "again", "gap"}).Draw(w.t, "order") {
		case "next":
			wk.nextSeq++
		case "again":
			seq = max(1, seq-1)
		case "gap":
			seq++
		}
		w.step(Chunk{Attempt: wk.id, Seq: seq, Data: []byte(w.chunkText(wk.id, seq))})
	default:
		wk.finished, wk.streaming = true, false
		h := xxhash.New()
		for seq := uint64(1); seq <= chunksPerStage; seq++ {
			_, _ = h.WriteString(w.chunkText(wk.id, seq))
		}
		w.step(Done{Attempt: wk.id, ChunkCount: chunksPerStage, Checksum: h.Sum64()})
	}
}

// cancelReply answers a pending Cancel.
func (w *simulation) cancelReply(wk *agentWork) {
	if wk.pendingCancels == 0 {
		return
	}
	wk.pendingCancels--
	switch {
	case wk.agentStopped:
		w.step(CancelReply{Attempt: wk.id, State: CancelUnknown})
	case wk.finished:
		w.step(CancelReply{Attempt: wk.id, State: CancelFinished})
	case wk.ran:
		w.step(CancelReply{Attempt: wk.id, State: CancelRunning})
	default:
		wk.tombstoned = true
		w.step(CancelReply{Attempt: wk.id, State: CancelNotRun})
	}
}

// TestInvariantsUnderFaults runs requests against agents and a network that may fail in
// any way the protocol allows, and checks the invariants of the package.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t, now: epoch, agentWorks: map[Attempt]*agentWork{}, streaming: rapid.Bool().Draw(t, "streaming"), deterministic: rapid.Bool().Draw(t, "deterministic")}
		n := rapid.IntRange(1, 3).Draw(t, "stages")
		for i := range n {
			w.stages = append(w.stages, schema.Stage{
				Name: fmt.Sprint("stage", i), Pool: "p", Idempotent: rapid.Bool().Draw(t, "idempotent"),
				InAnswer: i == n-1 || rapid.Bool().Draw(t, "answer"),
			})
		}
		w.machine = New(Options{
			RequestID: "r", Pipeline: &schema.Pipeline{Name: "p", Stages: w.stages}, Body: []byte("body"),
			Deadline: epoch.Add(3 * time.Second), Streaming: w.streaming, Decider: w,
		})
		w.step(Start{})
		for i := 0; w.finish == nil; i++ {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			if wake := w.machine.NextTick(); !wake.IsZero() && !w.now.Before(wake) {
				w.step(Tick{})
				continue
			}
			if rapid.SampledFrom(oneIn200).Draw(t, "cancels") {
				w.step(CallerCancel{})
				continue
			}
			w.stepAgent(w.agentWorks[rapid.SampledFrom(w.sentOrder).Draw(t, "attempt")])
		}
		if late := w.now.Sub(epoch.Add(3*time.Second + CancelTimeout)); late > 50*time.Millisecond {
			t.Fatalf("ended %s after the latest allowed time", late)
		}
		for range 20 {
			w.stepAgent(w.agentWorks[rapid.SampledFrom(w.sentOrder).Draw(t, "attempt")])
		}
		w.step(Delivered{})
	})
}
