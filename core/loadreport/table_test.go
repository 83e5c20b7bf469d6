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
func regarded(t *Table, now time.Duration, servers []notice.Server, i int) (share float64) {
	for k := range 1000 {
		if t.ExtraWaits(now, "p", fmt.Sprint("r", k), servers)[i].Abs() > tieSpread {
			share += 0.001
		}
	}
	return share
}

// TestRequestsDoNotAllMove guards against all entries that hear of the only full server sending
// nothing there, and against an old report that counts as a new one.
func TestRequestsDoNotAllMove(t *testing.T) {
	tab, servers := NewTable(), starts(10)
	tab.Observe(0, servers[3], full)
	got := regarded(tab, 0, servers, 3)
	assert.Assert(t, got > 0.7 && got < 0.9, "full server repels %v", got)
	assert.Assert(t, regarded(tab, 2*queueHalfLife, servers, 3) < got, "an older report counts less")
	assert.DeepEqual(t, tab.ExtraWaits(queueValidity, "p", "r", servers), make([]time.Duration, len(servers)))
}

// TestContradictedReportsLoseTheirWeight guards against a server that reports to be full and is
// avoided although it answers fast, and one that reports to be idle and gets requests although
// it does not answer in time or at all.
func TestContradictedReportsLoseTheirWeight(t *testing.T) {
	for _, tt := range []struct {
		name   string
		before Report
		answer Answer
	}{
		{"full but fast", full, Answer{Time: 50 * ms, Report: &full}},
		{"idle but slow", idle, Answer{Time: 300 * ms, Report: &idle}},
		{"idle but silent", idle, Answer{Time: 400 * ms}},
	} {
		tab, servers := NewTable(), starts(2)
		for range 20 {
			assert.Assert(t, !tab.RecordAnswer(Answer{"p", servers[1], 50 * ms, &idle}))
			tab.Observe(0, servers[1], idle)
		}
		tt.answer.Service, tt.answer.Server = "p", servers[0]
		tab.Observe(0, servers[0], tt.before)
		for range 3 {
			assert.Assert(t, tab.RecordAnswer(tt.answer), tt.name)
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
