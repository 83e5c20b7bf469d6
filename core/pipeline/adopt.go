package pipeline

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// adoptedAttempt returns the newest attempt at the stage that was taken over from a
// failed entry, or nil if there is none.
func (m *Machine) adoptedAttempt(stage int) *AdoptedAttempt {
	var newest *AdoptedAttempt
	for i := range m.opts.AdoptedAttempts {
		a := &m.opts.AdoptedAttempts[i]
		if int(a.Attempt.Stage) == stage && (newest == nil || a.Attempt.Number > newest.Attempt.Number) {
			newest = a
		}
	}
	return newest
}

// firstNeededStage returns the first stage, starting at the given one, whose result
// is still needed. A stage is skipped if it is not part of the answer and its
// successor was already sent.
func (m *Machine) firstNeededStage(stage int) int {
	for stage < len(m.results)-1 && !m.opts.Pipeline.Stages[stage].InAnswer && m.adoptedAttempt(stage+1) != nil {
		stage++
	}
	return stage
}

// adoptStage starts the current stage of a request that was taken over from a failed
// entry: it attaches to the adopted attempt, or aborts the request if the stage
// cannot be sent again. It returns false if the stage must be sent as a new attempt.
func (m *Machine) adoptStage(now time.Time) bool {
	if m.opts.AdoptedAttempts == nil {
		return false
	}
	if a := m.adoptedAttempt(m.stage); a != nil && m.findAttempt(a.Attempt) == nil {
		resumed := newAttempt(a.Attempt, a.Server, now, false)
		m.attempts = append(m.attempts, resumed)
		m.usage[m.stage].Attempts++
		m.addAction(Attach{Attempt: resumed.id, Server: resumed.server, FromSeq: resumed.nextSeq})
		return true
	}
	if m.stage == 0 || !m.currentStage().Idempotent {
		m.abort(now, &result.Error{Code: result.EntryLost, Message: "the entry that ran the request failed in stage " + m.Stage()})
		return true
	}
	return false
}

// firstAttemptNumber returns the number of the first attempt at the current stage:
// that of the adopted attempt, or 1. Later attempts count up from it, so that numbers
// used by the failed entry are not reused.
func (m *Machine) firstAttemptNumber() uint32 {
	if a := m.adoptedAttempt(m.stage); a != nil {
		return max(a.Attempt.Number, 1)
	}
	return 1
}
