package entry

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// waitClosed keeps a stream open without sending anything until its connection is
// closed.
func waitClosed(ctx interface{ Done() <-chan struct{} }) error {
	<-ctx.Done()
	return nil
}

// acceptThen makes Run accept the attempt, send the first chunks and then call next.
func (a *fakeAgent) acceptThen(chunks int, next func(out wire.DRPCAgent_RunStream) error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runFunc = func(req *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
		if err := a.accept(out); err != nil {
			return err
		}
		for i, c := range chunksOf(req.Stage)[:chunks] {
			if err := sendChunk(out, uint64(i+1), c); err != nil {
				return err
			}
		}
		return next(out)
	}
}

// resumeOnAttach makes Attach send the stage's default chunks from the requested one
// on.
func (a *fakeAgent) resumeOnAttach(stage string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attachFunc = func(req *wire.AttachRequest, out wire.DRPCAgent_AttachStream) error {
		if err := a.accept(out); err != nil {
			return err
		}
		return a.sendChunksFrom(out, int(req.FromSeq), chunksOf(stage))
	}
}

// replyToCancel makes Cancel reply with state.
func (a *fakeAgent) replyToCancel(state wire.AttemptState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelFunc = func(*wire.CancelRequest) (*wire.CancelReply, error) { return &wire.CancelReply{State: state}, nil }
}

// staySilent keeps a Run stream open without sending anything.
func staySilent(out wire.DRPCAgent_RunStream) error { return waitClosed(out.Context()) }

// sendHeartbeats keeps a Run stream open and sends nothing but heartbeats.
func (a *fakeAgent) sendHeartbeats(out wire.DRPCAgent_RunStream) error {
	for {
		select {
		case <-out.Context().Done():
			return nil
		case <-time.After(100 * time.Millisecond):
		}
		if err := out.Send(&wire.RunEvent{Event: &wire.RunEvent_Heartbeat{Heartbeat: &wire.Heartbeat{Load: a.load()}}}); err != nil {
			return nil
		}
	}
}

// addServer starts a fake agent and adds it to a pool.
func (b *testBench) addServer(pool, id string) *fakeAgent {
	b.t.Helper()
	a := startAgent(b.t, id)
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	b.view.servers[pool] = append(append([]routing.Server(nil), b.view.servers[pool]...), a.server())
	b.view.version++
	return a
}

// TestStageFaults lists the faults that can occur between the entry and the agent of
// a stage that is not idempotent. The stage must run again only if the first attempt
// provably did not run, and the error must state whether the stage may have run.
func TestStageFaults(t *testing.T) {
	type want struct {
		code         result.Code
		ran, effects string
		// runs is the number of attempts at both filers.
		runs int
	}
	cases := []struct {
		name  string
		fault func(b *testBench)
		want  want
	}{
		{"dies after accepting", func(b *testBench) {
			b.filer.acceptThen(0, func(wire.DRPCAgent_RunStream) error {
				go b.filer.kill()
				return nil
			})
		}, want{result.AgentLost, "yes", "unknown", 1}},
		{"is replaced after accepting", func(b *testBench) {
			b.filer.acceptThen(0, func(wire.DRPCAgent_RunStream) error { return net.ErrClosed })
		}, want{result.AgentLost, "yes", "unknown", 1}},
		{"falls silent and is attached to", func(b *testBench) {
			b.filer.acceptThen(1, staySilent)
			b.filer.resumeOnAttach("file")
		}, want{result.OK, "", "", 1}},
		{"breaks and is attached to", func(b *testBench) {
			b.filer.acceptThen(2, func(wire.DRPCAgent_RunStream) error { return net.ErrClosed })
			b.filer.resumeOnAttach("file")
		}, want{result.OK, "", "", 1}},
		{"refuses and reports not run", func(b *testBench) {
			b.filer.runFunc = func(_ *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
				return sendRefused(out, result.QueueFull, wire.Ran_RAN_NO)
			}
		}, want{result.OK, "", "", 2}},
		{"refuses without saying whether it ran", func(b *testBench) {
			b.filer.runFunc = func(_ *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
				return sendRefused(out, result.QueueFull, wire.Ran_RAN_UNKNOWN)
			}
		}, want{result.QueueFull, "yes", "unknown", 1}},
		{"never got the attempt", func(b *testBench) {
			b.filer.runFunc = func(_ *wire.RunRequest, out wire.DRPCAgent_RunStream) error { return staySilent(out) }
			b.filer.attachFunc = func(_ *wire.AttachRequest, out wire.DRPCAgent_AttachStream) error {
				return sendRefused(out, result.Tombstoned, wire.Ran_RAN_UNKNOWN)
			}
			b.filer.replyToCancel(wire.AttemptState_ATTEMPT_STATE_NOT_RUN)
		}, want{result.OK, "", "", 2}},
		{"never got the attempt but may still get it", func(b *testBench) {
			b.filer.runFunc = func(_ *wire.RunRequest, out wire.DRPCAgent_RunStream) error { return staySilent(out) }
			b.filer.attachFunc = func(_ *wire.AttachRequest, out wire.DRPCAgent_AttachStream) error {
				return sendRefused(out, result.Tombstoned, wire.Ran_RAN_UNKNOWN)
			}
			b.filer.replyToCancel(wire.AttemptState_ATTEMPT_STATE_UNKNOWN_HERE)
		}, want{result.AgentLost, "yes", "unknown", 1}},
		{"was replaced before the attempt", func(b *testBench) {
			b.filer.runFunc = func(_ *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
				return sendRefused(out, result.WrongIncarnation, wire.Ran_RAN_NO)
			}
		}, want{result.OK, "", "", 2}},
		{"sends a result that does not match", func(b *testBench) {
			b.filer.acceptThen(1, func(out wire.DRPCAgent_RunStream) error {
				return out.Send(&wire.RunEvent{Event: &wire.RunEvent_Done{Done: &wire.Done{Count: 1, Checksum: 1}}})
			})
		}, want{result.ChecksumMismatch, "yes", "yes", 1}},
		{"fails and reports not run", func(b *testBench) {
			b.filer.acceptThen(0, func(out wire.DRPCAgent_RunStream) error {
				return out.Send(&wire.RunEvent{Event: &wire.RunEvent_Failed{Failed: &wire.Failed{Code: uint32(result.ServerFailed), Ran: wire.Ran_RAN_NO}}})
			})
		}, want{result.OK, "", "", 2}},
		{"fails and may have run", func(b *testBench) {
			b.filer.acceptThen(0, func(out wire.DRPCAgent_RunStream) error {
				return out.Send(&wire.RunEvent{Event: &wire.RunEvent_Failed{Failed: &wire.Failed{Code: uint32(result.ServerFailed), Ran: wire.Ran_RAN_UNKNOWN}}})
			})
		}, want{result.ServerFailed, "yes", "unknown", 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := startTestBench(t)
			second := b.addServer("filers", "filer-2")
			second.mu.Lock()
			second.runFunc = func(req *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
				// Refuse until the faulty agent has received an attempt.
				if len(b.filer.runs()) == 0 {
					return sendRefused(out, result.QueueFull, wire.Ran_RAN_NO)
				}
				return second.complete(req, out)
			}
			second.mu.Unlock()
			c.fault(b)
			r := b.call("draft")
			if c.want.code == result.OK {
				assert.DeepEqual(t, r.answer(t), draftAnswer)
			} else {
				e := r.errorData(t)
				assert.Equal(t, result.Code(e.Code), c.want.code, r.body)
				assert.Equal(t, e.Ran, c.want.ran)
				assert.Equal(t, e.Effects, c.want.effects)
				assert.Equal(t, r.status, c.want.code.HTTP())
			}
			runCount := len(b.filer.runs())
			for _, run := range second.runs() {
				if run.Attempt.Attempt > b.filer.runs()[0].Attempt.Attempt {
					runCount++
				}
			}
			assert.Equal(t, runCount, c.want.runs)
		})
	}
}

// TestEngineLostAfterFirstChunks checks that after the loss of an engine the answer
// continues on another one only if its output begins with the text already emitted.
func TestEngineLostAfterFirstChunks(t *testing.T) {
	closeConnection := func(wire.DRPCAgent_RunStream) error { return net.ErrClosed }
	// start returns an entry whose first engine closes the connection after two
	// chunks. The second one refuses attempts before that.
	start := func(t *testing.T, chunks []string) *testBench {
		b := startTestBench(t)
		b.engine.acceptThen(2, closeConnection)
		second := b.addServer("engines", "engine-2")
		second.runFunc = func(_ *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
			if len(b.engine.runs()) == 0 {
				return sendRefused(out, result.QueueFull, wire.Ran_RAN_NO)
			}
			if err := second.accept(out); err != nil {
				return err
			}
			return second.sendChunksFrom(out, 1, chunks)
		}
		return b
	}
	t.Run("a live stream continues with the same text", func(t *testing.T) {
		s := start(t, []string{"generate-1 gen", "erate-2 generate", "-3"}).openCall("ask")
		s.readUntil("done")
		assert.Equal(t, s.text.String(), draftAnswer["generate"])
	})
	t.Run("a live stream does not mix outputs", func(t *testing.T) {
		s := start(t, []string{"generate-1 ", "another", " text"}).openCall("ask")
		e := s.readUntil("error")
		assert.Equal(t, e.field("effects"), "no")
		assert.Equal(t, s.text.String(), "generate-1 generate-2 ")
	})
	t.Run("a live stream ends with an error when no server can continue", func(t *testing.T) {
		b := startTestBench(t)
		b.engine.acceptThen(2, closeConnection)
		s := b.openCall("ask")
		s.readUntil("error")
		assert.Equal(t, s.text.String(), "generate-1 generate-2 ")
	})
	t.Run("a whole answer is produced again by another engine", func(t *testing.T) {
		b := startTestBench(t)
		b.engine.acceptThen(2, closeConnection)
		second := b.addServer("engines", "engine-2")
		assert.DeepEqual(t, b.call("ask").answer(t), map[string]string{"generate": draftAnswer["generate"]})
		assert.Equal(t, len(second.runs()), 1)
	})
}

func TestDeadlineCancelsAtAgent(t *testing.T) {
	cases := []struct {
		name    string
		state   wire.AttemptState
		effects string
		retry   bool
	}{
		{"tombstoned", wire.AttemptState_ATTEMPT_STATE_NOT_RUN, "no", true},
		{"running", wire.AttemptState_ATTEMPT_STATE_RUNNING, "unknown", false},
		{"finished", wire.AttemptState_ATTEMPT_STATE_FINISHED, "yes", false},
		{"another incarnation", wire.AttemptState_ATTEMPT_STATE_UNKNOWN_HERE, "unknown", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := startTestBench(t)
			b.filer.acceptThen(0, b.filer.sendHeartbeats)
			b.filer.replyToCancel(c.state)
			r := b.call("draft", "Request-Timeout", "2500")
			e := r.errorData(t)
			assert.Equal(t, result.Code(e.Code), result.DeadlineExceeded)
			assert.Equal(t, e.Effects, c.effects)
			assert.Equal(t, r.header.Get("Retry-After") != "", c.retry)
			assert.Equal(t, b.filer.cancelCount(), 1)
		})
	}
}

func TestCallerCancels(t *testing.T) {
	b := startTestBench(t)
	b.filer.acceptThen(0, staySilent)
	b.filer.replyToCancel(wire.AttemptState_ATTEMPT_STATE_NOT_RUN)
	s := b.openCall("draft")
	s.readUntil("chunk")
	assert.Equal(t, b.do(b.newRequest("DELETE", "/v1/requests/"+s.id, "")).status, http.StatusNoContent)
	last := s.readUntil("error")
	assert.Equal(t, last.field("code"), float64(result.Cancelled))
	assert.Equal(t, last.field("effects"), "no")
}

// TestCallerDisconnectCancelsAttempt checks that a request without a reader is
// cancelled at the agent after the reattach window.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	b := startTestBench(t)
	b.engine.acceptThen(1, b.engine.sendHeartbeats)
	s := b.openCall("ask")
	s.readUntil("chunk")
	s.close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.engine.cancelCount() == 0 {
			return poll.Continue("not cancelled")
		}
		return poll.Success()
	})
}

func TestResultsAreAcknowledged(t *testing.T) {
	b := startTestBench(t)
	b.call("draft")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.encoder.ackCount() != 1 || b.engine.ackCount() != 1 || b.filer.ackCount() != 1 {
			return poll.Continue("not acknowledged")
		}
		return poll.Success()
	})
}

// TestAttachToClaimHolder checks that an attempt refused because another attempt
// holds the claim on its key gets the result from the holder, without running again.
func TestAttachToClaimHolder(t *testing.T) {
	b := startTestBench(t)
	holder := startAgent(t, "filer-9")
	holder.resumeOnAttach("file")
	b.filer.runFunc = func(_ *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
		return out.Send(&wire.RunEvent{Event: &wire.RunEvent_Refused{Refused: &wire.Refused{
			Code: uint32(result.ClaimLost), Ran: wire.Ran_RAN_NO,
			Holder: &wire.ClaimHolder{
				Attempt:  &wire.AttemptID{RequestId: "entry-2~x.y", Stage: 2, Attempt: 1},
				Instance: holder.id, Address: holder.addr, Incarnation: 7,
			},
		}}})
	}
	assert.DeepEqual(t, b.call("draft", "Idempotency-Key", newIdempotencyKey(t)).answer(t), draftAnswer)
	attachRequests := holder.attaches()
	assert.Equal(t, len(attachRequests), 1)
	assert.Equal(t, attachRequests[0].Attempt.RequestId, "entry-2~x.y")
	assert.Equal(t, len(holder.runs()), 0)
}
