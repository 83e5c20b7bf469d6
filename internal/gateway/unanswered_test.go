package gateway

import (
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
)

// TestUnansweredRequestsAreLogged guards against a process that ends without a trace of the
// requests that it leaves unanswered, and of what each of them waits for.
func TestUnansweredRequestsAreLogged(t *testing.T) {
	var lines []string
	log := funcr.NewJSON(func(line string) { lines = append(lines, line) }, funcr.Options{})
	g := &Gateway{}
	newRequest := func(id string, phase requestPhase) *request {
		r := &request{log: log.WithValues("request", id)}
		r.setPhase(phase)
		g.unanswered.add(r)
		return r
	}
	answered := newRequest("answered", phaseServer)
	newRequest("waits", phasePlacement)
	newRequest("runs", phaseServer)
	newRequest("is read", phaseDelivery)
	g.unanswered.remove(answered)
	g.LogUnanswered()
	assert.Equal(t, len(lines), 3)
	all := strings.Join(lines, "\n")
	for _, want := range []string{`"request":"waits","phase":"placement"`, `"request":"runs","phase":"server"`, `"request":"is read","phase":"delivery"`} {
		assert.Assert(t, strings.Contains(all, want), all)
	}
	assert.Assert(t, !strings.Contains(all, `"answered"`), all)
}

// TestUnansweredRequestsAreLoggedBounded guards against a log line for each of very many requests
// in the last moments of a process.
func TestUnansweredRequestsAreLoggedBounded(t *testing.T) {
	lines := 0
	log := funcr.NewJSON(func(string) { lines++ }, funcr.Options{})
	g := &Gateway{}
	for range 2 * maxUnansweredLogged {
		g.unanswered.add(&request{log: log})
	}
	g.LogUnanswered()
	assert.Equal(t, lines, maxUnansweredLogged)
}
