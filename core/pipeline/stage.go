package pipeline

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/retry"
)

// begin starts the present stage.
func (m *Machine) begin(now time.Time) {
	m.source, m.prefix, m.last = nil, nil, nil
	m.held = m.held[:0]
	m.retryAt, m.hedgeAt = time.Time{}, time.Time{}
	if m.started[m.stage].IsZero() {
		m.started[m.stage] = now
	}
	if m.adopt(now) {
		return
	}
	m.opts.Decider.Request(now)
	m.send(now, false)
}

// send places one attempt at the present stage.
func (m *Machine) send(now time.Time, hedge bool) {
	st := m.current()
	q := Query{Stage: st, Input: m.input(), Exclude: m.tried()}
	server, ok := m.opts.Decider.Place(now, &q)
	if !ok && len(q.Exclude) > 0 && !hedge {
		q.Exclude = nil
		server, ok = m.opts.Decider.Place(now, &q)
	}
	if !ok {
		if !hedge {
			m.noServer(now)
		}
		return
	}
	use := &m.use[m.stage]
	id := Attempt{Stage: uint32(m.stage), Number: m.firstNumber() + uint32(use.Attempts)}
	use.Attempts++
	use.SentBytes += int64(len(q.Input.Data))
	if hedge {
		use.Hedges++
	}
	m.all = append(m.all, newAttempt(id, server, now, hedge))
	m.emitAction(Send{Attempt: id, Server: server, Input: q.Input, KeepOver: m.keepOver()})
	if !hedge && st.Idempotent {
		m.planHedge(now)
	}
}

func (m *Machine) keepOver() int64 {
	if m.current().Answer || m.stage == len(m.results)-1 {
		return 0
	}
	return m.opts.ReferenceBytes
}

// tried names the servers of earlier attempts at the present stage.
func (m *Machine) tried() []string {
	var ids []string
	for _, a := range m.all {
		if a.id.Stage == uint32(m.stage) && !a.done {
			ids = append(ids, a.server.ID)
		}
	}
	return ids
}

func (m *Machine) noServer(now time.Time) {
	err := m.last
	if err == nil {
		err = &result.Error{Code: result.NoServer, Message: "no usable server for stage " + m.Stage(), RetryAfter: ComeBack}
	}
	m.giveUp(now, err)
}

func (m *Machine) planHedge(now time.Time) {
	if m.input().Ref != nil {
		return
	}
	after, ok := m.opts.Decider.HedgeAfter(now, m.current(), m.opts.Deadline.Sub(now))
	if ok {
		m.hedgeAt = now.Add(after)
	}
}

// hedge sends a second attempt at an idempotent stage of which nothing was emitted.
func (m *Machine) hedge(now time.Time) {
	if m.source != nil || m.prefix != nil || !m.retryAt.IsZero() || !m.current().Idempotent || m.openAtStage() != 1 {
		return
	}
	if m.opts.Decider.HedgeSent(now) {
		m.send(now, true)
	}
}

func (m *Machine) openAtStage() int {
	n := 0
	for _, a := range m.all {
		if a.open() && a.id.Stage == uint32(m.stage) {
			n++
		}
	}
	return n
}

// failed handles an attempt that ended without a result.
func (m *Machine) failed(now time.Time, a *attempt, err *result.Error, ran result.Ran) {
	a.ended = true
	m.last = err
	if m.orphaned() {
		m.giveUp(now, err)
		return
	}
	if a == m.source {
		m.replay()
	}
	if m.openAtStage() > 0 {
		return
	}
	if err.Code == result.PayloadLost && m.stage > 0 && m.rebuild(now, ran) {
		return
	}
	if !repeatable(err.Code) {
		m.giveUp(now, err)
		return
	}
	wait, ok := m.mayRetry(now, err.Code, ran)
	if !ok {
		m.giveUp(now, err)
		return
	}
	if wait <= 0 {
		m.send(now, false)
		return
	}
	m.retryAt = now.Add(wait)
}

// repeatable tells whether another attempt could end otherwise.
func repeatable(c result.Code) bool {
	switch c {
	case result.KeyReused, result.KeyFromFuture, result.KeyExpired, result.ClaimUnavailable,
		result.HolderGone, result.BudgetSpent, result.BadBody, result.StreamTooLong, result.ResultExpired:
		return false
	}
	return true
}

func (m *Machine) mayRetry(now time.Time, code result.Code, ran result.Ran) (time.Duration, bool) {
	st := m.current()
	if !st.Idempotent && ran != result.RanNo {
		return 0, false
	}
	remaining := m.opts.Deadline.Sub(now)
	wait, ok := m.opts.Decider.Retry(now, &retry.FailedAttempt{
		Code: code, Ran: ran, Idempotent: st.Idempotent, Attempts: m.use[m.stage].Attempts,
		TimeLeft: remaining, ExpectedTime: m.expected(),
	})
	return wait, ok && wait < remaining
}

// expected returns the typical time of the stages left.
func (m *Machine) expected() time.Duration {
	var d time.Duration
	for i := m.stage; i < len(m.opts.Pipeline.Stages); i++ {
		d += m.opts.Pipeline.Stages[i].Typical.Std()
	}
	return d
}

// rebuild runs the stage that made a lost payload again, if it is idempotent.
func (m *Machine) rebuild(now time.Time, ran result.Ran) bool {
	if m.results[m.stage-1].Ref == nil || !m.opts.Pipeline.Stages[m.stage-1].Idempotent {
		return false
	}
	if _, ok := m.mayRetry(now, result.PayloadLost, ran); !ok {
		return false
	}
	m.stage--
	m.results[m.stage] = Payload{}
	m.begin(now)
	return true
}

// abandon cancels the attempts of the present stage other than winner.
func (m *Machine) abandon(winner *attempt) {
	for _, a := range m.all {
		if a.open() && a != winner && a.id.Stage == uint32(m.stage) {
			a.ended = true
			m.emitAction(Drop{Attempt: a.id})
			m.emitAction(Cancel{Attempt: a.id, Server: a.server})
		}
	}
}

// advance goes on with the next stage, or ends the request.
func (m *Machine) advance(now time.Time) {
	use := &m.use[m.stage]
	use.Took = now.Sub(m.started[m.stage])
	if m.stage == len(m.results)-1 {
		m.finish()
		return
	}
	m.stage++
	if m.opts.Adopted != nil {
		m.stage = m.firstNeeded(m.stage)
	}
	m.begin(now)
}

// orphaned tells whether the present stage cannot be sent again for want of its
// input or of knowledge about an entry that is gone.
func (m *Machine) orphaned() bool {
	if m.opts.Adopted == nil {
		return false
	}
	return !m.current().Idempotent || m.stage == 0 || (m.results[m.stage-1].Data == nil && m.results[m.stage-1].Ref == nil)
}
