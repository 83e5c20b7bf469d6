package loadreport

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

var idle, full = Report{Slots: 4}, Report{Running: 4, Waiting: 16, Slots: 4}

func starts(n int) []notice.Server {
	var s []notice.Server
	for i := range n {
		s = append(s, notice.Server{ID: fmt.Sprint("s", i), StartTime: 1})
	}
	return s
}

// regarded returns the share of requests that expect another wait at a server than at others.
func regarded(t *Table, now time.Duration, servers []notice.Server, i int) float64 {
	const requests = 2000
	n := 0
	for k := range requests {
		if t.ExtraWaits(now, "p", fmt.Sprint("r", k), servers)[i] != 0 {
			n++
		}
	}
	return float64(n) / requests
}

// TestRequestsDoNotAllMove guards against all entries that hear of the only idle server, or of
// the only full one, sending everything or nothing there.
func TestRequestsDoNotAllMove(t *testing.T) {
	tab, servers := NewTable(), starts(10)
	for _, s := range servers {
		tab.Observe(0, s, full)
	}
	assert.Equal(t, regarded(tab, 0, servers, 3), 0.0, "equal queues")
	tab.Observe(0, servers[3], idle)
	assert.Assert(t, tab.ExtraWaits(0, "p", "r", servers)[3] <= 0)
	got := regarded(tab, 0, servers, 3)
	assert.Assert(t, got > 0.15 && got < 0.25, "idle server attracts %v", got)

	tab = NewTable()
	tab.Observe(0, servers[3], full)
	assert.Assert(t, tab.ExtraWaits(0, "p", "r", servers)[3] >= 0)
	got = regarded(tab, 0, servers, 3)
	assert.Assert(t, got > 0.7 && got < 0.9, "full server repels %v", got)
	assert.Assert(t, regarded(tab, queueHalfLife*2, servers, 3) < got, "an older report counts less")
	assert.Equal(t, regarded(tab, queueValidity, servers, 3), 0.0, "a stale report does not count")
}

// TestContradictedReportsLoseTheirWeight guards against a server that reports to be full and is
// avoided although it answers fast, and one that reports to be idle and gets requests although
// it does not answer in time or at all.
func TestContradictedReportsLoseTheirWeight(t *testing.T) {
	tests := []struct {
		name     string
		report   Report
		took     time.Duration
		answered bool
	}{
		{"full but fast", full, 50 * ms, true},
		{"idle but slow", idle, 300 * ms, true},
		{"idle but silent", idle, 400 * ms, false},
	}
	for _, tt := range tests {
		tab, servers := NewTable(), starts(2)
		for range 20 {
			assert.Assert(t, !tab.RecordAnswer(Answer{"p", servers[1], 50 * ms, &idle}))
			tab.Observe(0, servers[1], idle)
		}
		tab.Observe(0, servers[0], tt.report)
		for range 3 {
			a := Answer{Service: "p", Server: servers[0], Time: tt.took}
			if tt.answered {
				a.Report = &tt.report
			}
			assert.Assert(t, tab.RecordAnswer(a), tt.name)
			tab.Observe(0, servers[0], tt.report)
		}
		assert.Equal(t, regarded(tab, 0, servers, 0), 0.0, tt.name)
		for range 20 {
			tab.RecordAnswer(Answer{"p", servers[0], 50 * ms, &idle})
			tab.Observe(0, servers[0], idle)
		}
		_, trust := tab.Queue(0, servers[0])
		assert.Assert(t, trust > 0.8, "%s: truthful again: %v", tt.name, trust)
	}
}

// TestRestartBeginsAnew guards against the reports of an earlier start of a server that count
// for the next one, and against a table that grows with each restart.
func TestRestartBeginsAnew(t *testing.T) {
	tab, servers := NewTable(), starts(3)
	tab.Observe(0, servers[0], full)
	servers[0].StartTime++
	assert.Equal(t, regarded(tab, 0, servers, 0), 0.0)
	for i := range maxServers + 10 {
		tab.Observe(time.Duration(i), notice.Server{ID: "s0", StartTime: int64(10 + i)}, full)
	}
	assert.Equal(t, len(tab.queues), maxServers)
}
