package pipeline

import (
	"bytes"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

func (m *Machine) onAccepted(ev Accepted) {
	a := m.live(ev.Attempt)
	if a == nil {
		return
	}
	a.attached = a.attached || ev.Attached
	a.attachTries, a.goneTries = 0, 0
}

func (m *Machine) onRefused(now time.Time, ev Refused) {
	a := m.live(ev.Attempt)
	if a == nil {
		return
	}
	switch {
	case ev.Code == result.ClaimLost && ev.Holder != nil && a.holder == nil:
		m.follow(a, ev.Holder)
		return
	case ev.Code == result.ClaimLost:
		// The attempt did not run, but the work of its key belongs to another.
		a.attached = true
	case ev.Code == result.Tombstoned && ev.Ran != result.RanNo && a.holder == nil:
		// The incarnation asked never got the attempt. A tombstone keeps a copy that
		// is still on its way from running.
		a.settling = true
		m.emitAction(Cancel{Attempt: a.id, Server: a.server})
		return
	}
	a.settle(ev.Ran)
	ran := ev.Ran
	if a.holder != nil {
		ran = result.RanUnknown
	}
	m.failed(now, a, &result.Error{Code: lostCode(a, ev.Code, ran), Message: ev.Message, RetryAfter: ev.RetryAfter}, ran)
}

// follow attaches to the attempt that holds the key.
func (m *Machine) follow(a *attempt, h *Holder) {
	a.attached, a.holder, a.server = true, h, h.Server
	m.emitAction(Attach{Attempt: a.id, Server: a.server, FromSeq: a.next, Holder: h})
}

// lostCode returns the code towards the caller: a wrong incarnation on attaching
// means that the one that had the work is gone.
func lostCode(a *attempt, c result.Code, ran result.Ran) result.Code {
	switch {
	case a.holder != nil && (c == result.WrongIncarnation || c == result.Tombstoned || c == result.AgentLost):
		return result.HolderGone
	case c == result.WrongIncarnation && ran != result.RanNo:
		return result.AgentLost
	}
	return c
}

// settled goes on after the answer whether a lost attempt ever arrived.
func (m *Machine) settled(now time.Time, a *attempt, state CancelState) {
	a.settling = false
	switch state {
	case CancelNotRun:
		m.failed(now, a, &result.Error{Code: result.AgentLost, Message: "the attempt was lost on its way", RetryAfter: ComeBack}, result.RanNo)
	case CancelUnknown:
		m.failed(now, a, &result.Error{Code: result.AgentLost, Message: "the agent does not know the attempt"}, result.RanUnknown)
	default:
		m.reattach(now, a)
	}
}

func (m *Machine) onFailed(now time.Time, ev Failed) {
	a := m.live(ev.Attempt)
	if a == nil {
		return
	}
	a.settle(ev.Ran)
	m.failed(now, a, &result.Error{Code: ev.Code, Message: ev.Message}, a.ran)
}

func (m *Machine) onChunk(now time.Time, ev Chunk) {
	a := m.live(ev.Attempt)
	if a == nil || ev.Seq < a.next {
		return
	}
	if ev.Seq > a.next {
		m.reattach(now, a)
		return
	}
	a.next++
	a.attachTries, a.goneTries = 0, 0
	a.ran = result.RanYes
	a.tokens += ev.Tokens
	a.received += int64(len(ev.Data))
	_, _ = a.hash.Write(ev.Data)
	direct := m.opts.Live && m.current().InAnswer
	a.data = append(a.data, ev.Data...)
	if !direct && m.current().InAnswer {
		a.ends = append(a.ends, len(a.data))
	}
	if len(a.data) > MaxResultBytes {
		m.giveUp(now, &result.Error{Code: result.StreamTooLong, Message: "the result of stage " + m.Stage() + " is too long"})
		return
	}
	if direct {
		m.direct(now, a, ev.Data)
	}
}

// direct emits a chunk at once, unless it repeats what was emitted already.
func (m *Machine) direct(now time.Time, a *attempt, data []byte) {
	if a != m.source && m.prefix != nil {
		n := min(len(a.data), len(m.prefix))
		if !bytes.Equal(a.data[:n], m.prefix[:n]) {
			m.giveUp(now, m.last)
			return
		}
		data = a.data[n:]
		if len(data) == 0 {
			return
		}
	}
	m.claim(a)
	m.text(now, data, false)
}

// replay lets another attempt repeat and go on with what the source emitted.
func (m *Machine) replay() {
	m.prefix = append([]byte{}, m.source.data...)
	m.source = nil
}

// claim makes the attempt the only one whose chunks of the stage are emitted.
func (m *Machine) claim(a *attempt) {
	if m.source == nil {
		m.source = a
		m.hedgeAt = time.Time{}
		m.abandon(a)
	}
}

func (m *Machine) onDone(now time.Time, ev Done) {
	a := m.live(ev.Attempt)
	if a == nil {
		return
	}
	if ev.Ref == nil && ev.Count >= a.next {
		m.reattach(now, a)
		return
	}
	a.ran = result.RanYes
	if ev.Ref == nil && (ev.Count != a.next-1 || ev.Checksum != a.hash.Sum64()) {
		m.failed(now, a, &result.Error{Code: result.ChecksumMismatch, Message: "the result of stage " + m.Stage() + " does not match its checksum"}, result.RanYes)
		return
	}
	if m.opts.Live && a != m.source && len(a.data) < len(m.prefix) {
		a.ended = true
		m.giveUp(now, m.last)
		return
	}
	a.ended, a.done = true, true
	m.hedgeAt = time.Time{}
	m.abandon(a)
	m.account(a, ev)
	m.results[m.stage] = Payload{Data: a.data, Ref: ev.Ref}
	if m.current().InAnswer {
		if !m.emitResult(now, a) {
			return
		}
	}
	a.data, a.ends = nil, nil
	m.advance(now)
}

func (m *Machine) account(a *attempt, ev Done) {
	use := &m.use[m.stage]
	use.Queue, use.Service = ev.Queue, ev.Service
	use.Server, use.Region = a.server.ID, a.server.Region
	use.ReceivedBytes += a.received
	use.Tokens = max(ev.Tokens, a.tokens)
	use.FetchedBytes += ev.FetchedBytes
	use.FetchedRegion = ev.FetchedRegion
}

// emitResult emits what is left of an answer stage; false if the request ended.
// The chunks are the same as those of a live stream, so that a caller may go on
// reading at any entry.
func (m *Machine) emitResult(now time.Time, a *attempt) bool {
	m.source = a
	from := 0
	for _, end := range a.ends {
		if !m.text(now, a.data[from:end], false) {
			return false
		}
		from = end
	}
	return m.text(now, nil, true)
}

// onLost attaches again to an attempt whose stream broke or fell silent.
func (m *Machine) onLost(now time.Time, ev Lost) {
	a := m.live(ev.Attempt)
	if a == nil {
		return
	}
	switch ev.Cause {
	case NotSent:
		a.settle(result.RanNo)
		m.failed(now, a, &result.Error{Code: result.AgentLost, Message: "the agent cannot be reached", RetryAfter: ComeBack}, result.RanNo)
		return
	case Gone:
		a.goneTries++
	case Silent:
		a.goneTries = 0
		if a.attachTries == 0 {
			m.hedge(now)
		}
	}
	if a.goneTries >= GoneTries {
		m.failed(now, a, &result.Error{Code: lostCode(a, result.AgentLost, result.RanUnknown), Message: "the agent that took the work is gone"}, result.RanUnknown)
		return
	}
	if ev.Cause == Silent && a.attachTries >= SilentTries && m.moveOn(now, a) {
		return
	}
	m.reattach(now, a)
}

// moveOn runs an idempotent stage elsewhere when its agent cannot be reached.
func (m *Machine) moveOn(now time.Time, a *attempt) bool {
	if !m.current().Idempotent || m.openAtStage() > 1 || m.orphaned() {
		return false
	}
	wait, ok := m.mayRetry(now, result.AgentLost, result.RanUnknown)
	if !ok {
		return false
	}
	a.ended = true
	m.last = &result.Error{Code: result.AgentLost, Message: "the agent that took the work does not answer"}
	if a == m.source {
		m.replay()
	}
	m.emitAction(Drop{Attempt: a.id})
	m.emitAction(Cancel{Attempt: a.id, Server: a.server})
	m.retryAt = now.Add(wait)
	if wait <= 0 {
		m.retryAt = time.Time{}
		m.send(now, false)
	}
	return true
}

// reattach plans the next attempt to attach.
func (m *Machine) reattach(now time.Time, a *attempt) {
	m.emitAction(Drop{Attempt: a.id})
	wait := a.backoff()
	a.attachTries++
	if wait == 0 {
		a.attachAt = time.Time{}
		m.emitAction(Attach{Attempt: a.id, Server: a.server, FromSeq: a.next, Holder: a.holder})
		return
	}
	a.attachAt = now.Add(wait)
}
