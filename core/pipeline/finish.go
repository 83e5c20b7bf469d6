package pipeline

import (
	"strings"
	"time"
	"unicode/utf8"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// emitText emits a part of the answer. An incomplete rune at the end is buffered until
// the next part, or replaced by U+FFFD if end is set, so that every emitted text is
// valid UTF-8. It returns false if the answer exceeded the limit and the request was
// aborted.
func (m *Machine) emitText(now time.Time, data []byte, end bool) bool {
	if len(m.partialRune) > 0 {
		data = append(m.partialRune, data...)
		m.partialRune = nil
	}
	partialLen := 0
	if !end {
		partialLen = partialRuneLen(data)
	}
	if partialLen > 0 {
		m.partialRune = append([]byte(nil), data[len(data)-partialLen:]...)
		data = data[:len(data)-partialLen]
	}
	if len(data) == 0 {
		return true
	}
	text := string(data)
	if !utf8.ValidString(text) {
		text = strings.ToValidUTF8(text, string(utf8.RuneError))
	}
	m.emittedBytes += int64(len(text))
	if m.opts.MaxAnswerBytes > 0 && m.emittedBytes > m.opts.MaxAnswerBytes {
		m.abort(now, &result.Error{Code: result.StreamTooLong, Message: "the answer exceeds the limit of the call"})
		return false
	}
	m.emittedChunks++
	_, _ = m.checksum.WriteString(text)
	m.addAction(Emit{Seq: m.emittedChunks, Stage: m.Stage(), Text: text})
	return true
}

// partialRuneLen returns the length of the incomplete rune at the end of b.
func partialRuneLen(b []byte) int {
	for n := 1; n < utf8.UTFMax && n <= len(b); n++ {
		c := b[len(b)-n]
		if utf8.RuneStart(c) {
			if c >= utf8.RuneSelf && !utf8.FullRune(b[len(b)-n:]) {
				return n
			}
			return 0
		}
	}
	return 0
}

// abort ends the request with an error and cancels all open attempts. It waits up to
// CancelTimeout for those replies that can still show that work did not run.
func (m *Machine) abort(now time.Time, err *result.Error) {
	if m.phase == phaseCancelling || m.phase == phaseEnded {
		return
	}
	m.phase = phaseCancelling
	m.finalErr = err
	m.cancelDeadline = now.Add(CancelTimeout)
	if m.usage[m.stage].Elapsed == 0 && !m.stageStarted[m.stage].IsZero() {
		m.usage[m.stage].Elapsed = now.Sub(m.stageStarted[m.stage])
	}
	awaitReplies := false
	ran, _ := m.executionState()
	for _, a := range m.attempts {
		if !a.isOpen() {
			continue
		}
		m.addAction(CloseStream{Attempt: a.id})
		if a.holder != nil {
			// The work belongs to another request.
			continue
		}
		a.awaitingCancelReply = true
		m.addAction(Cancel{Attempt: a.id, Server: a.server})
		informative := ran != result.RanYes || !m.opts.Pipeline.Stages[a.id.Stage].Idempotent
		awaitReplies = awaitReplies || (informative && a.ran == result.RanUnknown && !a.attached)
	}
	if !awaitReplies {
		m.finish()
	}
}

// onCancelReply records what the agent reported about a cancelled attempt. An aborted
// request finishes as soon as no pending reply can change the reported execution state.
func (m *Machine) onCancelReply(now time.Time, ev CancelReply) {
	a := m.findAttempt(ev.Attempt)
	if a == nil {
		return
	}
	switch ev.State {
	case CancelNotRun:
		a.recordRan(result.RanNo)
	case CancelFinished:
		a.recordRan(result.RanYes)
	}
	if m.phase == phaseRunning && a.checkingDelivery && a.isOpen() {
		m.onDeliveryChecked(now, a, ev.State)
		return
	}
	if m.phase != phaseCancelling || !a.awaitingCancelReply {
		return
	}
	a.awaitingCancelReply, a.ended = false, true
	for _, b := range m.attempts {
		if b.awaitingCancelReply && b.ran == result.RanUnknown && !b.attached {
			return
		}
	}
	m.finish()
}

// finish ends the request and acknowledges the kept results that are no longer needed.
func (m *Machine) finish() {
	m.phase = phaseEnded
	f := Finish{Chunks: m.emittedChunks, Checksum: m.checksum.Sum64()}
	if m.finalErr != nil {
		f.Err = m.finalErr
		f.Err.Ran, f.Err.Effects = m.executionState()
		if f.Err.RetryAfter == 0 && f.Err.Effects == result.RanNo && retryMayHelp(f.Err.Code) {
			f.Err.RetryAfter = DefaultRetryAfter
		}
	}
	for _, a := range m.attempts {
		a.ended, a.awaitingCancelReply = true, false
	}
	m.addAction(f)
	m.acknowledge(m.finalErr != nil)
}

// acknowledge releases the results that agents keep. Results of answer stages are
// released only if answers is set: once the caller has them or the request failed.
func (m *Machine) acknowledge(answers bool) {
	if m.phase != phaseEnded {
		return
	}
	for _, a := range m.attempts {
		if a.acked || !a.succeeded || (!answers && m.opts.Pipeline.Stages[a.id.Stage].InAnswer) {
			continue
		}
		a.acked = true
		m.addAction(Ack{Attempt: a.id, Server: a.server})
	}
}

// retryMayHelp reports whether the same request may succeed later.
func retryMayHelp(c result.Code) bool {
	switch c {
	case result.DeadlineExceeded, result.ServerFailed, result.AgentLost, result.PayloadLost, result.ClaimUnavailable:
		return true
	}
	return c >= result.Overloaded && c <= result.RetryBudgetSpent && c != result.DeadlineTooShort
}
