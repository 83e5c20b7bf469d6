package pipeline

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

type attempt struct {
	id     Attempt
	server Server
	sentAt time.Time
	hedge  bool

	ended bool
	// cancelling is set while the answer to a cancellation is awaited.
	cancelling bool
	// settling is set while a cancellation asks whether a lost attempt ever arrived.
	settling bool
	// attached is set when the work belongs to an earlier attempt under the same key.
	attached bool
	// holder is set when that attempt is at another agent.
	holder *Holder
	// ran is what is known of the attempt's work.
	ran result.Ran
	// next is the first sequence number that is missing.
	next uint64
	data []byte
	// ends holds the end of each chunk in data, if the chunks are emitted later.
	ends   []int
	hash   xxhash.Digest
	tokens int
	// received counts the bytes of the chunks.
	received int64
	done     bool
	acked    bool

	attachAt    time.Time
	attachTries int
	goneTries   int
}

func newAttempt(id Attempt, s Server, now time.Time, hedge bool) *attempt {
	a := &attempt{id: id, server: s, sentAt: now, hedge: hedge, next: 1, ran: result.RanUnknown}
	a.hash.Reset()
	return a
}

func (a *attempt) open() bool { return !a.ended }

// settle takes in what an agent said. Knowledge that work ran is never undone,
// and work that belongs to another attempt is never taken for not run.
func (a *attempt) settle(ran result.Ran) {
	if a.ran == result.RanYes || ran == result.RanUnspecified {
		return
	}
	if ran == result.RanNo && a.attached {
		return
	}
	a.ran = ran
}

// backoff returns the wait before the next attempt to attach.
func (a *attempt) backoff() time.Duration {
	if a.attachTries == 0 {
		return 0
	}
	d := AttachBackoff << min(a.attachTries-1, 8)
	return min(d, MaxAttachBackoff)
}

func worse(a, b result.Ran) result.Ran {
	rank := func(r result.Ran) int {
		switch r {
		case result.RanYes:
			return 2
		case result.RanNo:
			return 0
		}
		return 1
	}
	if rank(b) > rank(a) {
		return b
	}
	return a
}

// truth returns what is known of all stages and of those that are not idempotent.
func (m *Machine) truth() (ran, effects result.Ran) {
	ran, effects = result.RanNo, result.RanNo
	if m.opts.Adopted != nil {
		// The entry that is gone may have sent what no agent that was asked knows.
		ran = result.RanUnknown
		if m.opts.Pipeline.HasSideEffects() {
			effects = result.RanUnknown
		}
	}
	for _, a := range m.all {
		ran = worse(ran, a.ran)
		if !m.opts.Pipeline.Stages[a.id.Stage].Idempotent {
			effects = worse(effects, a.ran)
		}
	}
	return ran, effects
}

func (m *Machine) find(id Attempt) *attempt {
	for _, a := range m.all {
		if a.id == id {
			return a
		}
	}
	return nil
}

// live returns the attempt if events of it still count.
func (m *Machine) live(id Attempt) *attempt {
	a := m.find(id)
	if a == nil || a.ended || m.phase != phaseRunning {
		return nil
	}
	return a
}
