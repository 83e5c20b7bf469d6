package pipeline

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// adopted returns the attempt of the entry that is gone at a stage, or nil. Of
// several the newest is taken.
func (m *Machine) adopted(stage int) *Adopted {
	var newest *Adopted
	for i := range m.opts.Adopted {
		a := &m.opts.Adopted[i]
		if int(a.Attempt.Stage) == stage && (newest == nil || a.Attempt.Number > newest.Attempt.Number) {
			newest = a
		}
	}
	return newest
}

// firstNeeded skips the stages from one on whose results are not needed any more:
// those that are not part of the answer and whose successor was already sent.
func (m *Machine) firstNeeded(stage int) int {
	for stage < len(m.results)-1 && !m.opts.Pipeline.Stages[stage].InAnswer && m.adopted(stage+1) != nil {
		stage++
	}
	return stage
}

// adopt begins the present stage of a request whose entry is gone; false if the
// stage is sent anew.
func (m *Machine) adopt(now time.Time) bool {
	if m.opts.Adopted == nil {
		return false
	}
	if a := m.adopted(m.stage); a != nil && m.find(a.Attempt) == nil {
		at := newAttempt(a.Attempt, a.Server, now, false)
		m.all = append(m.all, at)
		m.use[m.stage].Attempts++
		m.emitAction(Attach{Attempt: at.id, Server: at.server, FromSeq: at.next})
		return true
	}
	if m.stage == 0 || !m.current().Idempotent {
		m.giveUp(now, &result.Error{Code: result.EntryLost, Message: "the entry that had the request is gone in stage " + m.Stage()})
		return true
	}
	return false
}

// firstNumber returns the number of the first attempt at the present stage, above
// those of the entry that is gone.
func (m *Machine) firstNumber() uint32 {
	if a := m.adopted(m.stage); a != nil {
		return max(a.Attempt.Number, 1)
	}
	return 1
}
