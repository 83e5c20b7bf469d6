package soak

import (
	"net/http"
	"sort"
	"testing"
	"time"
)

// revokeSlack is added to the bound for keys: the time between the store's answer and
// the note that the test takes.
const revokeSlack = 100 * time.Millisecond

// runs counts how often each request ran, over all servers that ever were.
func (f *fleet) runs() map[string]int {
	n := map[string]int{}
	for _, s := range f.all {
		for _, id := range s.ExecutedRequests() {
			n[id]++
		}
	}
	return n
}

// checkLedger checks what holds whatever the faults are.
func checkLedger(t *testing.T, f *fleet, in *injector, l *requestLog) {
	t.Helper()
	runs := f.runs()
	for _, r := range l.requests {
		checkAnswer(t, r)
		checkRuns(t, r, runs[r.id])
		if at, ok := in.revokedAt[r.key]; ok && r.sent.After(at.Add(keyValidity+revokeSlack)) && runs[r.id] > 0 {
			t.Errorf("%s ran, sent %v after its key was taken away", r.id, r.sent.Sub(at))
		}
	}
	checkKeysOnlyGrow(t, in, l)
}

// checkAnswer checks that a whole answer is that of the request, and that a refusal
// says when to come back.
func checkAnswer(t *testing.T, r *request) {
	t.Helper()
	switch {
	case r.err != nil || r.status == 0:
	case r.status == http.StatusOK && r.answer != r.expectedAnswer():
		t.Errorf("%s got %q", r.id, r.answer)
	case r.status == http.StatusServiceUnavailable && r.retryAfter == "":
		t.Errorf("%s was refused without a time to come back", r.id)
	}
}

// checkRuns checks that a request that may not run twice ran once at most, and not at
// all if it was refused.
func checkRuns(t *testing.T, r *request, runs int) {
	t.Helper()
	if requestKinds[r.kind].repeatable {
		return
	}
	if runs > 1 {
		t.Errorf("%s ran %d times", r.id, runs)
	}
	refused := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
	if refused && r.err == nil && runs > 0 {
		t.Errorf("%s was refused with %d and ran", r.id, r.status)
	}
}

// checkKeysOnlyGrow checks that a process that knew a version of the configuration
// knows it from there on: once it took a key, it does not refuse that key or an older
// one that is still there.
func checkKeysOnlyGrow(t *testing.T, in *injector, l *requestLog) {
	t.Helper()
	type start struct {
		e           *entry
		incarnation int
	}
	taken := map[start]map[string]time.Time{}
	byEnd := append([]*request(nil), l.requests...)
	sort.Slice(byEnd, func(i, j int) bool { return byEnd[i].ended.Before(byEnd[j].ended) })
	for _, r := range byEnd {
		s := start{r.entry, r.incarnation}
		_, now := r.entry.now()
		if taken[s] == nil {
			taken[s] = map[string]time.Time{}
		}
		first, known := taken[s][r.key]
		_, revoked := in.revokedAt[r.key]
		if r.status == http.StatusUnauthorized && known && r.sent.After(first) && !revoked && now == r.incarnation {
			t.Errorf("%s was refused for its key, which %s had taken before", r.id, r.entry.name)
		}
		if r.status == http.StatusOK && !known {
			taken[s][r.key] = r.ended
		}
	}
}

// checkRestarts checks that restarts in turn, without other faults, cut no request
// that reached a server.
func checkRestarts(t *testing.T, f *fleet, all []*request) {
	t.Helper()
	runs := f.runs()
	for _, r := range all {
		if r.err != nil && runs[r.id] > 0 {
			t.Errorf("%s was cut by a restart of an entry: %v", r.id, r.err)
		}
		if r.status >= http.StatusInternalServerError && r.status != http.StatusServiceUnavailable {
			t.Errorf("%s failed while entries restarted: %d %s", r.id, r.status, r.answer)
		}
	}
}
