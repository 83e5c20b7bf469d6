package agent

import (
	"fmt"
	"io"
	"sort"
	"time"
)

// leavingReason is why the agent takes no new work.
type leavingReason uint8

const (
	// leavingSignal: the process was told to stop.
	leavingSignal leavingReason = 1 << iota
	// leavingListed: the platform's list says that the instance leaves.
	leavingListed
	// leavingOrdered: an operator ordered it.
	leavingOrdered
)

// setLeaving sets or clears a reason to take no new work.
func (w *work) setLeaving(why leavingReason, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if on {
		w.leaving |= why
	} else {
		w.leaving &^= why
	}
}

func (w *work) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving != 0
}

// counts returns how many calls wait or run, and how many results are not taken.
func (w *work) counts() (working, results int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.PendingCounts()
}

// waitIdle returns once no call waits or runs.
func (w *work) waitIdle() {
	for {
		if working, _ := w.counts(); working == 0 {
			return
		}
		<-w.changed
	}
}

// waitAcknowledged returns once no result is kept or the grace is over, with the
// number of results that are left.
func (w *work) waitAcknowledged(grace <-chan time.Time) int {
	for {
		_, results := w.counts()
		if results == 0 && w.claims.waiting() == 0 {
			return 0
		}
		select {
		case <-w.changed:
		case <-time.After(expireInterval):
		case <-grace:
			return results
		}
	}
}

// stop cancels what still runs and waits for it.
func (w *work) stop() {
	w.cancel()
	w.wg.Wait()
	w.claims.wg.Wait()
}

// writeCut lists the attempts whose calls or results would be cut.
func (w *work) writeCut(out io.Writer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lines []string
	for id := range w.tasks {
		a := w.ledger.Get(id)
		lines = append(lines, fmt.Sprintf("%s %s", a.State, idString(id)))
	}
	sort.Strings(lines)
	for _, line := range lines {
		_, _ = fmt.Fprintln(out, "cut:", line)
	}
}
