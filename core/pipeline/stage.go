package pipeline

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/retry"
)

// beginStage starts the current stage.
func (m *Machine) beginStage(now time.Time) {
	m.source, m.emittedPrefix, m.lastErr = nil, nil, nil
	m.partialRune = m.partialRune[:0]
	m.retryAt, m.hedgeAt = time.Time{}, time.Time{}
	if m.stageStarted[m.stage].IsZero() {
		m.stageStarted[m.stage] = now
	}
	if m.adoptStage(now) {
		return
	}
	m.opts.Decider.RecordRequest(now)
	m.sendAttempt(now, false)
}

// sendAttempt sends a new attempt at the current stage. If all usable servers were
// tried already, it tries them again, unless the attempt is a hedge.
func (m *Machine) sendAttempt(now time.Time, hedge bool) {
	st := m.currentStage()
	q := PlacementQuery{Stage: st, Input: m.stageInput(), Exclude: m.triedServers()}
	server, ok := m.opts.Decider.Place(now, &q)
	if !ok && len(q.Exclude) > 0 && !hedge {
		q.Exclude = nil
		server, ok = m.opts.Decider.Place(now, &q)
	}
	if !ok {
		if !hedge {
			m.abortNoServer(now)
		}
		return
	}
	usage := &m.usage[m.stage]
	id := Attempt{Stage: uint32(m.stage), Number: m.firstAttemptNumber() + uint32(usage.Attempts)}
	usage.Attempts++
	usage.SentBytes += int64(len(q.Input.Data))
	if hedge {
		usage.Hedges++
	}
	m.attempts = append(m.attempts, newAttempt(id, server, now, hedge))
	m.addAction(Send{Attempt: id, Server: server, Input: q.Input, KeepOverBytes: m.keepOverBytes()})
	if !hedge && st.Idempotent {
		m.scheduleHedge(now)
	}
}

// keepOverBytes returns Send.KeepOverBytes for the current stage. It is 0 for answer
// stages and the last stage, whose results are always streamed.
func (m *Machine) keepOverBytes() int64 {
	if m.currentStage().InAnswer || m.stage == len(m.results)-1 {
		return 0
	}
	return m.opts.ReferenceThresholdBytes
}

// triedServers returns the servers of earlier attempts at the current stage.
func (m *Machine) triedServers() []string {
	var ids []string
	for _, a := range m.attempts {
		if a.id.Stage == uint32(m.stage) && !a.succeeded {
			ids = append(ids, a.server.ID)
		}
	}
	return ids
}

// abortNoServer aborts the request with the last error of the stage, or with NoServer
// if no attempt was made.
func (m *Machine) abortNoServer(now time.Time) {
	err := m.lastErr
	if err == nil {
		err = &result.Error{Code: result.NoServer, Message: "no usable server for stage " + m.Stage(), RetryAfter: DefaultRetryAfter}
	}
	m.abort(now, err)
}

// scheduleHedge sets the time of a hedge. A stage whose input is a reference is not
// hedged.
func (m *Machine) scheduleHedge(now time.Time) {
	if m.stageInput().Ref != nil {
		return
	}
	delay, ok := m.opts.Decider.HedgeDelay(now, m.currentStage(), m.opts.Deadline.Sub(now))
	if ok {
		m.hedgeAt = now.Add(delay)
	}
}

// startHedge sends a second attempt at an idempotent stage if exactly one is open and
// nothing was emitted yet.
func (m *Machine) startHedge(now time.Time) {
	if m.source != nil || m.emittedPrefix != nil || !m.retryAt.IsZero() || !m.currentStage().Idempotent || m.countOpenAttempts() != 1 {
		return
	}
	if m.opts.Decider.AllowHedge(now) {
		m.sendAttempt(now, true)
	}
}

// countOpenAttempts counts the open attempts at the current stage.
func (m *Machine) countOpenAttempts() int {
	n := 0
	for _, a := range m.attempts {
		if a.isOpen() && a.id.Stage == uint32(m.stage) {
			n++
		}
	}
	return n
}

// attemptFailed handles an attempt that ended without a result: it retries the stage,
// waits for another open attempt, or aborts the request.
func (m *Machine) attemptFailed(now time.Time, a *attempt, err *result.Error, ran result.Ran) {
	a.ended = true
	m.lastErr = err
	if m.cannotResend() {
		m.abort(now, err)
		return
	}
	if a == m.source {
		m.requireEmittedPrefix()
	}
	if m.countOpenAttempts() > 0 {
		return
	}
	if err.Code == result.PayloadLost && m.stage > 0 && m.rerunPreviousStage(now, ran) {
		return
	}
	if !retryable(err.Code) {
		m.abort(now, err)
		return
	}
	wait, ok := m.retryDelay(now, err.Code, ran)
	if !ok {
		m.abort(now, err)
		return
	}
	if wait <= 0 {
		m.sendAttempt(now, false)
		return
	}
	m.retryAt = now.Add(wait)
}

// retryable reports whether another attempt could have a different outcome.
func retryable(c result.Code) bool {
	switch c {
	case result.KeyReused, result.KeyFromFuture, result.KeyExpired, result.ClaimUnavailable,
		result.HolderGone, result.BudgetSpent, result.BadBody, result.StreamTooLong, result.ResultExpired:
		return false
	}
	return true
}

// retryDelay returns the delay before a retry; ok is false if the stage may not be
// retried.
func (m *Machine) retryDelay(now time.Time, code result.Code, ran result.Ran) (time.Duration, bool) {
	st := m.currentStage()
	if !st.Idempotent && ran != result.RanNo {
		return 0, false
	}
	remaining := m.opts.Deadline.Sub(now)
	wait, ok := m.opts.Decider.Retry(now, &retry.FailedAttempt{
		Code: code, Ran: ran, Idempotent: st.Idempotent, Attempts: m.usage[m.stage].Attempts,
		TimeLeft: remaining, ExpectedTime: m.expectedRemaining(),
	})
	return wait, ok && wait < remaining
}

// expectedRemaining returns the typical duration of the current and all later stages.
func (m *Machine) expectedRemaining() time.Duration {
	var d time.Duration
	for i := m.stage; i < len(m.opts.Pipeline.Stages); i++ {
		d += m.opts.Pipeline.Stages[i].TypicalDuration.AsDuration()
	}
	return d
}

// rerunPreviousStage runs the previous stage again if it is idempotent and its result,
// kept by reference, was lost.
func (m *Machine) rerunPreviousStage(now time.Time, ran result.Ran) bool {
	if m.results[m.stage-1].Ref == nil || !m.opts.Pipeline.Stages[m.stage-1].Idempotent {
		return false
	}
	if _, ok := m.retryDelay(now, result.PayloadLost, ran); !ok {
		return false
	}
	m.stage--
	m.results[m.stage] = Payload{}
	m.beginStage(now)
	return true
}

// cancelOthers cancels the open attempts at the current stage other than winner.
func (m *Machine) cancelOthers(winner *attempt) {
	for _, a := range m.attempts {
		if a.isOpen() && a != winner && a.id.Stage == uint32(m.stage) {
			a.ended = true
			m.addAction(CloseStream{Attempt: a.id})
			m.addAction(Cancel{Attempt: a.id, Server: a.server})
		}
	}
}

// beginNextStage starts the next stage, or ends the request after the last one.
func (m *Machine) beginNextStage(now time.Time) {
	usage := &m.usage[m.stage]
	usage.Elapsed = now.Sub(m.stageStarted[m.stage])
	if m.stage == len(m.results)-1 {
		m.finish()
		return
	}
	m.stage++
	if m.opts.AdoptedAttempts != nil {
		m.stage = m.firstNeededStage(m.stage)
	}
	m.beginStage(now)
}

// cannotResend reports whether the current stage of a request taken over from a failed
// entry cannot be sent again, because its input is unknown or the failed entry may
// have sent a stage with effects.
func (m *Machine) cannotResend() bool {
	if m.opts.AdoptedAttempts == nil {
		return false
	}
	return !m.currentStage().Idempotent || m.stage == 0 || (m.results[m.stage-1].Data == nil && m.results[m.stage-1].Ref == nil)
}
