package pipeline

import (
	"strings"
	"time"
	"unicode/utf8"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// text emits a part of the answer. An incomplete rune at the end is held back
// until the next part, or replaced if there is none, so that each text is valid
// UTF-8. It returns false if the answer is too long and the request was given up.
func (m *Machine) text(now time.Time, data []byte, end bool) bool {
	if len(m.held) > 0 {
		data = append(m.held, data...)
		m.held = nil
	}
	keep := 0
	if !end {
		keep = incomplete(data)
	}
	if keep > 0 {
		m.held = append([]byte(nil), data[len(data)-keep:]...)
		data = data[:len(data)-keep]
	}
	if len(data) == 0 {
		return true
	}
	text := string(data)
	if !utf8.ValidString(text) {
		text = strings.ToValidUTF8(text, string(utf8.RuneError))
	}
	m.bytes += int64(len(text))
	if m.opts.MaxAnswer > 0 && m.bytes > m.opts.MaxAnswer {
		m.giveUp(now, &result.Error{Code: result.StreamTooLong, Message: "the answer is over the call's limit"})
		return false
	}
	m.emitted++
	_, _ = m.checksum.WriteString(text)
	m.emitAction(Emit{Seq: m.emitted, Stage: m.Stage(), Text: text})
	return true
}

// incomplete returns the length of a rune that is cut off at the end of b.
func incomplete(b []byte) int {
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

// giveUp ends the request with an error. Attempts in flight are cancelled; their
// answers are awaited for CancelWait if they can still tell that work did not run.
func (m *Machine) giveUp(now time.Time, err *result.Error) {
	if m.phase == phaseClosing || m.phase == phaseEnded {
		return
	}
	m.phase = phaseClosing
	m.failure = err
	m.cancelBy = now.Add(CancelWait)
	if m.use[m.stage].Took == 0 && !m.started[m.stage].IsZero() {
		m.use[m.stage].Took = now.Sub(m.started[m.stage])
	}
	wait := false
	ran, _ := m.truth()
	for _, a := range m.all {
		if !a.open() {
			continue
		}
		m.emitAction(Drop{Attempt: a.id})
		if a.holder != nil {
			// The work belongs to another request.
			continue
		}
		a.cancelling = true
		m.emitAction(Cancel{Attempt: a.id, Server: a.server})
		useful := ran != result.RanYes || !m.opts.Pipeline.Stages[a.id.Stage].Idempotent
		wait = wait || (useful && a.ran == result.RanUnknown && !a.attached)
	}
	if !wait {
		m.finish()
	}
}

func (m *Machine) onCancelReply(now time.Time, ev CancelReply) {
	a := m.find(ev.Attempt)
	if a == nil {
		return
	}
	switch ev.State {
	case CancelNotRun:
		a.settle(result.RanNo)
	case CancelFinished:
		a.settle(result.RanYes)
	}
	if m.phase == phaseRunning && a.settling && a.open() {
		m.settled(now, a, ev.State)
		return
	}
	if m.phase != phaseClosing || !a.cancelling {
		return
	}
	a.cancelling, a.ended = false, true
	for _, b := range m.all {
		if b.cancelling && b.ran == result.RanUnknown && !b.attached {
			return
		}
	}
	m.finish()
}

func (m *Machine) finish() {
	m.phase = phaseEnded
	f := Finish{Chunks: m.emitted, Checksum: m.checksum.Sum64()}
	if m.failure != nil {
		f.Err = m.failure
		f.Err.Ran, f.Err.Effects = m.truth()
		if f.Err.RetryAfter == 0 && f.Err.Effects == result.RanNo && comingBackHelps(f.Err.Code) {
			f.Err.RetryAfter = ComeBack
		}
	}
	for _, a := range m.all {
		a.ended, a.cancelling = true, false
	}
	m.emitAction(f)
	m.acknowledge(m.failure != nil)
}

// acknowledge releases the results kept at the agents: those of answer stages
// only once the caller has them or the request failed.
func (m *Machine) acknowledge(answers bool) {
	if m.phase != phaseEnded {
		return
	}
	for _, a := range m.all {
		if a.acked || !a.done || (!answers && m.opts.Pipeline.Stages[a.id.Stage].InAnswer) {
			continue
		}
		a.acked = true
		m.emitAction(Ack{Attempt: a.id, Server: a.server})
	}
}

// comingBackHelps tells whether the same request may succeed later.
func comingBackHelps(c result.Code) bool {
	switch c {
	case result.DeadlineExceeded, result.ServerFailed, result.AgentLost, result.PayloadLost, result.ClaimUnavailable:
		return true
	}
	return c >= result.Overloaded && c <= result.RetryBudgetSpent && c != result.DeadlineTooShort
}
