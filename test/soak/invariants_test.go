package soak

import (
	"net/http"
	"sort"
	"testing"
	"time"
)

// revocationTolerance is added to the time for which a revoked key is accepted. It covers
// the time between the store's response and the moment at which the test records the
// revocation.
const revocationTolerance = 100 * time.Millisecond

// executionCounts returns how often each request was executed, over all servers ever
// started.
func (f *fleet) executionCounts() map[string]int {
	counts := map[string]int{}
	for _, s := range f.allServers {
		for _, id := range s.ExecutedRequests() {
			counts[id]++
		}
	}
	return counts
}

// checkInvariants checks what must hold under all faults.
func checkInvariants(t *testing.T, f *fleet, in *injector, l *requestLog) {
	t.Helper()
	counts := f.executionCounts()
	for _, r := range l.requests {
		checkAnswer(t, r)
		checkExecutions(t, r, counts[r.id])
		if at, ok := in.revokedAt[r.key]; ok && r.sent.After(at.Add(keyValidity+revocationTolerance)) && counts[r.id] > 0 {
			t.Errorf("%s was executed, although it was sent %v after its key was revoked", r.id, r.sent.Sub(at))
		}
	}
	checkKeysStayAccepted(t, in, l)
}

// checkAnswer checks that a complete answer is the expected one, and that a refusal with
// 503 has a Retry-After header.
func checkAnswer(t *testing.T, r *request) {
	t.Helper()
	switch {
	case r.err != nil || r.status == 0:
	case r.status == http.StatusOK && r.answer != r.expectedAnswer():
		t.Errorf("%s got the wrong answer %q", r.id, r.answer)
	case r.status == http.StatusServiceUnavailable && r.retryAfter == "":
		t.Errorf("%s was refused without Retry-After", r.id)
	}
}

// checkExecutions checks that a request that is not repeatable was executed at most once,
// and not at all if it was refused.
func checkExecutions(t *testing.T, r *request, count int) {
	t.Helper()
	if requestKinds[r.kind].repeatable {
		return
	}
	if count > 1 {
		t.Errorf("%s was executed %d times", r.id, count)
	}
	refused := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
	if refused && r.err == nil && count > 0 {
		t.Errorf("%s was refused with status %d, but executed", r.id, r.status)
	}
}

// checkKeysStayAccepted checks that a process does not return to an older version of the
// configuration: once it has accepted a key, it does not refuse that key unless the key was
// revoked.
func checkKeysStayAccepted(t *testing.T, in *injector, l *requestLog) {
	t.Helper()
	type processRun struct {
		e           *entry
		incarnation int
	}
	firstAccepted := map[processRun]map[string]time.Time{}
	byEnd := append([]*request(nil), l.requests...)
	sort.Slice(byEnd, func(i, j int) bool { return byEnd[i].ended.Before(byEnd[j].ended) })
	for _, r := range byEnd {
		run := processRun{r.entry, r.incarnation}
		_, current := r.entry.currentProcess()
		if firstAccepted[run] == nil {
			firstAccepted[run] = map[string]time.Time{}
		}
		acceptedAt, accepted := firstAccepted[run][r.key]
		_, revoked := in.revokedAt[r.key]
		if r.status == http.StatusUnauthorized && accepted && r.sent.After(acceptedAt) && !revoked && current == r.incarnation {
			t.Errorf("%s was refused for its key, which %s had accepted before", r.id, r.entry.name)
		}
		if r.status == http.StatusOK && !accepted {
			firstAccepted[run][r.key] = r.ended
		}
	}
}

// checkRestarts checks that rolling restarts without other faults break no request that has
// reached a server.
func checkRestarts(t *testing.T, f *fleet, all []*request) {
	t.Helper()
	counts := f.executionCounts()
	for _, r := range all {
		if r.err != nil && counts[r.id] > 0 {
			t.Errorf("%s was broken off by a restart of an entry: %v", r.id, r.err)
		}
		if r.status >= http.StatusInternalServerError && r.status != http.StatusServiceUnavailable {
			t.Errorf("%s failed while entries restarted: status %d: %s", r.id, r.status, r.answer)
		}
	}
}
