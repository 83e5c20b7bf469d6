package agent

import (
	"fmt"
	"io"
	"sort"
	"time"
)

// leavingReason is a set of reasons for not accepting new calls.
type leavingReason uint8

const (
	// leavingSignal is set when the process was told to stop.
	leavingSignal leavingReason = 1 << iota
	// leavingListed is set while the platform's instance list marks the instance as
	// leaving.
	leavingListed
	// leavingOrdered is set while an order to drain is in effect.
	leavingOrdered
)

// setLeaving sets or clears a reason for not accepting new calls.
func (w *worker) setLeaving(reason leavingReason, active bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if active {
		w.leavingReasons |= reason
	} else {
		w.leavingReasons &^= reason
	}
}

// isLeaving tells whether any reason for not accepting new calls is set.
func (w *worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leavingReasons != 0
}

// pendingCounts returns the number of queued or running attempts and the number
// of unacknowledged results.
func (w *worker) pendingCounts() (active, unacknowledged int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.PendingCounts()
}

// waitIdle returns once no attempt is queued or running.
func (w *worker) waitIdle() {
	for {
		if active, _ := w.pendingCounts(); active == 0 {
			return
		}
		<-w.changed
	}
}

// waitAcknowledged returns once all results are acknowledged and all releases
// are written, or when grace fires. It returns the number of unacknowledged
// results.
func (w *worker) waitAcknowledged(grace <-chan time.Time) int {
	for {
		_, unacknowledged := w.pendingCounts()
		if unacknowledged == 0 && w.claimer.pendingReleaseCount() == 0 {
			return 0
		}
		select {
		case <-w.changed:
		case <-time.After(expireInterval):
		case <-grace:
			return unacknowledged
		}
	}
}

// stop cancels the running calls and pending releases and waits for them to
// return.
func (w *worker) stop() {
	w.cancel()
	w.wg.Wait()
	w.claimer.wg.Wait()
}

// writeCut lists the attempts whose call or result would be lost if the process
// exited now.
func (w *worker) writeCut(out io.Writer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lines []string
	for id := range w.tasks {
		a := w.ledger.Get(id)
		lines = append(lines, fmt.Sprintf("%s %s", a.State, attemptName(id)))
	}
	sort.Strings(lines)
	for _, line := range lines {
		_, _ = fmt.Fprintln(out, "cut:", line)
	}
}
