package pipeline

import (
	"bytes"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

func (m *Machine) onAccepted(ev Accepted) {
	a := m.findOpenAttempt(ev.Attempt)
	if a == nil {
		return
	}
	a.attached = a.attached || ev.Attached
	a.attachCount, a.connectionRefusals = 0, 0
}

// onRefused handles a refusal: it attaches to the holder of the claim, checks
// whether a lost attempt reached its agent, or treats the attempt as failed.
func (m *Machine) onRefused(now time.Time, ev Refused) {
	a := m.findOpenAttempt(ev.Attempt)
	if a == nil {
		return
	}
	switch {
	case ev.Code == result.ClaimLost && ev.Holder != nil && a.holder == nil:
		m.attachToHolder(a, ev.Holder)
		return
	case ev.Code == result.ClaimLost:
		// The attempt did not run, but another attempt holds the claim on its key.
		a.attached = true
	case ev.Code == result.Tombstoned && ev.Ran != result.RanNo && a.holder == nil:
		// The queried incarnation never received the attempt. The tombstone left by the
		// cancellation prevents a delayed copy from running.
		a.checkingDelivery = true
		m.addAction(Cancel{Attempt: a.id, Server: a.server})
		return
	}
	a.recordRan(ev.Ran)
	ran := ev.Ran
	if a.holder != nil {
		ran = result.RanUnknown
	}
	m.attemptFailed(now, a, &result.Error{Code: callerCode(a, ev.Code, ran), Message: ev.Message, RetryAfter: ev.RetryAfter}, ran)
}

// attachToHolder attaches to the attempt that holds the claim on the key.
func (m *Machine) attachToHolder(a *attempt, h *ClaimHolder) {
	a.attached, a.holder, a.server = true, h, h.Server
	m.addAction(Attach{Attempt: a.id, Server: a.server, FromSeq: a.nextSeq, Holder: h})
}

// callerCode maps an agent's code to the code reported to the caller. A wrong
// incarnation on Attach means that the incarnation that was sent the work no longer exists.
func callerCode(a *attempt, c result.Code, ran result.Ran) result.Code {
	switch {
	case a.holder != nil && (c == result.WrongIncarnation || c == result.Tombstoned || c == result.AgentLost):
		return result.HolderGone
	case c == result.WrongIncarnation && ran != result.RanNo:
		return result.AgentLost
	}
	return c
}

// onDeliveryChecked handles the reply to a Cancel that checked whether a lost attempt
// reached the agent.
func (m *Machine) onDeliveryChecked(now time.Time, a *attempt, state CancelState) {
	a.checkingDelivery = false
	switch state {
	case CancelNotRun:
		m.attemptFailed(now, a, &result.Error{Code: result.AgentLost, Message: "the attempt did not reach the agent", RetryAfter: DefaultRetryAfter}, result.RanNo)
	case CancelUnknown:
		m.attemptFailed(now, a, &result.Error{Code: result.AgentLost, Message: "the agent does not know the attempt"}, result.RanUnknown)
	default:
		m.scheduleAttach(now, a)
	}
}

func (m *Machine) onFailed(now time.Time, ev Failed) {
	a := m.findOpenAttempt(ev.Attempt)
	if a == nil {
		return
	}
	a.recordRan(ev.Ran)
	m.attemptFailed(now, a, &result.Error{Code: ev.Code, Message: ev.Message}, a.ran)
}

// onChunk stores the next chunk of an attempt and emits it if the stage is streamed.
// It ignores duplicates and attaches again after a gap.
func (m *Machine) onChunk(now time.Time, ev Chunk) {
	a := m.findOpenAttempt(ev.Attempt)
	if a == nil || ev.Seq < a.nextSeq {
		return
	}
	if ev.Seq > a.nextSeq {
		m.scheduleAttach(now, a)
		return
	}
	a.nextSeq++
	a.attachCount, a.connectionRefusals = 0, 0
	a.ran = result.RanYes
	a.tokens += ev.Tokens
	a.receivedBytes += int64(len(ev.Data))
	_, _ = a.checksum.Write(ev.Data)
	streaming := m.opts.Streaming && m.currentStage().InAnswer
	a.data = append(a.data, ev.Data...)
	if !streaming && m.currentStage().InAnswer {
		a.chunkEnds = append(a.chunkEnds, len(a.data))
	}
	if len(a.data) > MaxResultBytes {
		m.abort(now, &result.Error{Code: result.StreamTooLong, Message: "the result of stage " + m.Stage() + " is too long"})
		return
	}
	if streaming {
		m.emitStreamed(now, a, ev.Data)
	}
}

// emitStreamed emits a chunk as it arrives, except for the part that repeats
// emittedPrefix. It aborts the request if the data differs from emittedPrefix.
func (m *Machine) emitStreamed(now time.Time, a *attempt, data []byte) {
	if a != m.source && m.emittedPrefix != nil {
		n := min(len(a.data), len(m.emittedPrefix))
		if !bytes.Equal(a.data[:n], m.emittedPrefix[:n]) {
			m.abort(now, m.lastErr)
			return
		}
		data = a.data[n:]
		if len(data) == 0 {
			return
		}
	}
	m.selectSource(a)
	m.emitText(now, data, false)
}

// requireEmittedPrefix lets another attempt continue the output of the lost source,
// provided that the result of that attempt begins with the same bytes.
func (m *Machine) requireEmittedPrefix() {
	m.emittedPrefix = append([]byte{}, m.source.data...)
	m.source = nil
}

// selectSource makes a the only attempt whose chunks are emitted for the stage and
// cancels the others.
func (m *Machine) selectSource(a *attempt) {
	if m.source == nil {
		m.source = a
		m.hedgeAt = time.Time{}
		m.cancelOthers(a)
	}
}

// onDone verifies the result of an attempt and completes the stage with it. It attaches
// again if chunks are missing.
func (m *Machine) onDone(now time.Time, ev Done) {
	a := m.findOpenAttempt(ev.Attempt)
	if a == nil {
		return
	}
	if ev.Ref == nil && ev.ChunkCount >= a.nextSeq {
		m.scheduleAttach(now, a)
		return
	}
	a.ran = result.RanYes
	if ev.Ref == nil && (ev.ChunkCount != a.nextSeq-1 || ev.Checksum != a.checksum.Sum64()) {
		m.attemptFailed(now, a, &result.Error{Code: result.ChecksumMismatch, Message: "the result of stage " + m.Stage() + " does not match its checksum"}, result.RanYes)
		return
	}
	if m.opts.Streaming && a != m.source && len(a.data) < len(m.emittedPrefix) {
		a.ended = true
		m.abort(now, m.lastErr)
		return
	}
	a.ended, a.succeeded = true, true
	m.hedgeAt = time.Time{}
	m.cancelOthers(a)
	m.recordUsage(a, ev)
	m.results[m.stage] = Payload{Data: a.data, Ref: ev.Ref}
	if m.currentStage().InAnswer {
		if !m.emitResult(now, a) {
			return
		}
	}
	a.data, a.chunkEnds = nil, nil
	m.beginNextStage(now)
}

// recordUsage records the resources used by the successful attempt.
func (m *Machine) recordUsage(a *attempt, ev Done) {
	usage := &m.usage[m.stage]
	usage.QueueTime, usage.ServiceTime = ev.QueueTime, ev.ServiceTime
	usage.Server, usage.Region = a.server.ID, a.server.Region
	usage.ReceivedBytes += a.receivedBytes
	usage.Tokens = max(ev.Tokens, a.tokens)
	usage.FetchedBytes += ev.FetchedBytes
	usage.FetchedRegion = ev.FetchedRegion
}

// emitResult emits the not yet emitted rest of an answer stage; it returns false if
// the request was aborted. The chunk boundaries are those of a streaming request, so
// that a caller can resume reading at any entry.
func (m *Machine) emitResult(now time.Time, a *attempt) bool {
	m.source = a
	from := 0
	for _, end := range a.chunkEnds {
		if !m.emitText(now, a.data[from:end], false) {
			return false
		}
		from = end
	}
	return m.emitText(now, nil, true)
}

// onStreamLost attaches again to an attempt whose stream was lost, or retries the stage
// if the agent is considered lost or does not answer.
func (m *Machine) onStreamLost(now time.Time, ev StreamLost) {
	a := m.findOpenAttempt(ev.Attempt)
	if a == nil {
		return
	}
	switch ev.Cause {
	case NotConnected:
		a.recordRan(result.RanNo)
		m.attemptFailed(now, a, &result.Error{Code: result.AgentLost, Message: "the agent cannot be reached", RetryAfter: DefaultRetryAfter}, result.RanNo)
		return
	case ConnectionRefused:
		a.connectionRefusals++
	case ConnectionSilent:
		a.connectionRefusals = 0
		if a.attachCount == 0 {
			m.startHedge(now)
		}
	}
	if a.connectionRefusals >= MaxConnectionRefusals {
		m.attemptFailed(now, a, &result.Error{Code: callerCode(a, result.AgentLost, result.RanUnknown), Message: "the agent that was sent the attempt is no longer running"}, result.RanUnknown)
		return
	}
	if ev.Cause == ConnectionSilent && a.attachCount >= MaxSilentAttaches && m.retryElsewhere(now, a) {
		return
	}
	m.scheduleAttach(now, a)
}

// retryElsewhere retries an idempotent stage on another server when its agent does not
// answer. It returns false if the stage cannot be retried.
func (m *Machine) retryElsewhere(now time.Time, a *attempt) bool {
	if !m.currentStage().Idempotent || m.countOpenAttempts() > 1 || m.cannotResend() {
		return false
	}
	wait, ok := m.retryDelay(now, result.AgentLost, result.RanUnknown)
	if !ok {
		return false
	}
	a.ended = true
	m.lastErr = &result.Error{Code: result.AgentLost, Message: "the agent that was sent the attempt does not respond"}
	if a == m.source {
		m.requireEmittedPrefix()
	}
	m.addAction(CloseStream{Attempt: a.id})
	m.addAction(Cancel{Attempt: a.id, Server: a.server})
	m.retryAt = now.Add(wait)
	if wait <= 0 {
		m.retryAt = time.Time{}
		m.sendAttempt(now, false)
	}
	return true
}

// scheduleAttach closes the stream and attaches again after the backoff.
func (m *Machine) scheduleAttach(now time.Time, a *attempt) {
	m.addAction(CloseStream{Attempt: a.id})
	wait := a.backoff()
	a.attachCount++
	if wait == 0 {
		a.attachAt = time.Time{}
		m.addAction(Attach{Attempt: a.id, Server: a.server, FromSeq: a.nextSeq, Holder: a.holder})
		return
	}
	a.attachAt = now.Add(wait)
}
