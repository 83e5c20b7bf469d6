package pipeline

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// attempt is the state of one attempt at a stage.
type attempt struct {
	id     Attempt
	server Server
	sentAt time.Time
	hedge  bool

	ended bool
	// awaitingCancelReply is set between a Cancel and its CancelReply.
	awaitingCancelReply bool
	// checkingDelivery is set while the reply to a Cancel is awaited that shows whether
	// a lost attempt reached the agent.
	checkingDelivery bool
	// attached is set when the work belongs to an earlier attempt with the same
	// idempotency key.
	attached bool
	// holder is set when that earlier attempt runs at another agent.
	holder *ClaimHolder
	// ran is the known execution state of the work of the attempt.
	ran result.Ran
	// nextSeq is the next expected chunk sequence number.
	nextSeq uint64
	data    []byte
	// chunkEnds holds the end offset of each chunk in data. It is recorded only if the
	// chunks are emitted when the stage ends.
	chunkEnds []int
	checksum  xxhash.Digest
	tokens    int
	// receivedBytes counts the bytes of all received chunks.
	receivedBytes int64
	succeeded     bool
	acked         bool

	// attachAt is the time of the next Attach, zero if none is planned. attachCount counts
	// the Attach actions since the agent last sent an event, and connectionRefusals the
	// consecutive refused connections.
	attachAt           time.Time
	attachCount        int
	connectionRefusals int
}

func newAttempt(id Attempt, server Server, now time.Time, hedge bool) *attempt {
	a := &attempt{id: id, server: server, sentAt: now, hedge: hedge, nextSeq: 1, ran: result.RanUnknown}
	a.checksum.Reset()
	return a
}

func (a *attempt) isOpen() bool { return !a.ended }

// recordRan records what an agent reported about the execution of the attempt. It
// never overrides RanYes, and an attached attempt never becomes RanNo because the
// work may have run under another attempt.
func (a *attempt) recordRan(ran result.Ran) {
	if a.ran == result.RanYes || ran == result.RanUnspecified {
		return
	}
	if ran == result.RanNo && a.attached {
		return
	}
	a.ran = ran
}

// backoff returns the wait before the next Attach.
func (a *attempt) backoff() time.Duration {
	if a.attachCount == 0 {
		return 0
	}
	d := InitialAttachBackoff << min(a.attachCount-1, 8)
	return min(d, MaxAttachBackoff)
}

// maxRan returns the greater of two execution states in the order RanNo, RanUnknown,
// RanYes.
func maxRan(a, b result.Ran) result.Ran {
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

// executionState combines the execution state of all attempts: ran covers every
// stage, effects only the stages that are not idempotent.
func (m *Machine) executionState() (ran, effects result.Ran) {
	ran, effects = result.RanNo, result.RanNo
	if m.opts.AdoptedAttempts != nil {
		// The failed entry may have sent attempts that no queried agent knows.
		ran = result.RanUnknown
		if m.opts.Pipeline.HasSideEffects() {
			effects = result.RanUnknown
		}
	}
	for _, a := range m.attempts {
		ran = maxRan(ran, a.ran)
		if !m.opts.Pipeline.Stages[a.id.Stage].Idempotent {
			effects = maxRan(effects, a.ran)
		}
	}
	return ran, effects
}

// findAttempt returns the attempt with the given ID, or nil.
func (m *Machine) findAttempt(id Attempt) *attempt {
	for _, a := range m.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

// findOpenAttempt returns the attempt if the request is running and the attempt has not
// ended, and nil otherwise.
func (m *Machine) findOpenAttempt(id Attempt) *attempt {
	a := m.findAttempt(id)
	if a == nil || a.ended || m.phase != phaseRunning {
		return nil
	}
	return a
}
