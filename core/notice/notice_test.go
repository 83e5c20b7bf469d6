package notice

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// limitOf returns a notice in which a server names a limit.
func limitOf(s Server, limit float64) Notice { return Notice{Server: s, Limit: &limit} }

// maxCallsInWindow returns the largest number of calls within any window of 4 s.
func maxCallsInWindow(calls []time.Duration) int {
	most := 0
	for i := range calls {
		n := 0
		for _, at := range calls[i:] {
			if at-calls[i] < 4*time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestLimitHoldsForAllInstancesTogether plays instances that are told of a limit, are idle
// long enough to collect reserves, and then all call the server whenever they may. In no
// 4 s it may get more than one and a half times what it takes, and five.
func TestLimitHoldsForAllInstancesTogether(t *testing.T) {
	for _, limit := range []float64{0, 0.1, 1, 2.5, 10, 80} {
		for _, entries := range []int{1, 2, 4, 9, 60, 360} {
			t.Run(fmt.Sprint(limit, " ", entries), func(t *testing.T) {
				s := Server{ID: fmt.Sprint("s", entries), StartTime: 1}
				var tables []*Table
				for rank := range entries {
					tab := NewTable(EntryShare{Entries: entries, Rank: rank}.Of)
					tab.Learn(0, limitOf(s, limit))
					tables = append(tables, tab)
				}
				var calls []time.Duration
				for now := 5 * time.Minute; now < 5*time.Minute+10*time.Second; now += 10 * time.Millisecond {
					for _, tab := range tables {
						for tab.Wait(now, s) == 0 {
							tab.RecordCall(now, s)
							calls = append(calls, now)
						}
					}
				}
				most := maxCallsInWindow(calls)
				assert.Assert(t, float64(most) <= 1.5*4*limit+5, "%d calls", most)
				assert.Assert(t, float64(len(calls)) >= 0.9*limit*10-1, "only %d calls", len(calls))
			})
		}
	}
}

// TestLimitBeginsWithoutReserve guards against an instance that is told of a limit which
// another one, that it follows, has just used up.
func TestLimitBeginsWithoutReserve(t *testing.T) {
	tab, s := NewTable(nil), Server{ID: "s"}
	assert.Equal(t, tab.Wait(0, s), time.Duration(0))
	tab.Learn(0, limitOf(s, 2))
	assert.Equal(t, tab.Wait(0, s), 500*time.Millisecond)
	assert.Equal(t, tab.Wait(500*time.Millisecond, s), time.Duration(0))
	assert.Equal(t, tab.Wait(0, Server{ID: "s", StartTime: 2}), time.Duration(0), "another start has said nothing")
}

// TestLimitEndsWithLaterResponse checks which responses without a limit end it.
func TestLimitEndsWithLaterResponse(t *testing.T) {
	tab, s := NewTable(nil), Server{ID: "s"}
	assert.Assert(t, tab.Observe(time.Second, 0, limitOf(s, 1)), "news")
	assert.Assert(t, !tab.Observe(2*time.Second, 0, limitOf(s, 1)), "no news")
	assert.Assert(t, !tab.Observe(3*time.Second, time.Second, Notice{Server: s}), "sent before the last word")
	assert.Assert(t, tab.Wait(2*time.Second, s) == 0)
	tab.RecordCall(2*time.Second, s)
	assert.Assert(t, tab.Wait(2*time.Second, s) > 0)
	assert.Assert(t, tab.Observe(4*time.Second, 2*time.Second+1, Notice{Server: s}), "news")
	assert.Equal(t, tab.Wait(4*time.Second, s), time.Duration(0))
	assert.Equal(t, len(tab.All(4*time.Second)), 0)
}

// TestNoticesAreToldAgainAndForgotten checks that what holds is told again from time to
// time, and is forgotten without another word of the server.
func TestNoticesAreToldAgainAndForgotten(t *testing.T) {
	tab, s := NewTable(nil), Server{ID: "s"}
	leaving := Notice{Server: s, Leaving: true}
	assert.Assert(t, tab.Learn(0, leaving) && !tab.Learn(time.Second, leaving))
	assert.Assert(t, tab.Learn(tellInterval, leaving))
	assert.Equal(t, len(tab.All(tellInterval)), 1)
	assert.Equal(t, len(tab.All(tellInterval+retention)), 0)
	for i := range 2 * maxServers {
		tab.Learn(0, Notice{Server: Server{ID: fmt.Sprint(i)}, Leaving: true})
	}
	assert.Assert(t, len(tab.servers) <= maxServers)
}

// TestChangingLimitIsToldNowAndThen guards against a message to all instances for each response
// of a server that names another limit each time.
func TestChangingLimitIsToldNowAndThen(t *testing.T) {
	tab, s := NewTable(nil), Server{ID: "s"}
	told := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		if tab.Observe(now, now, limitOf(s, now.Seconds())) {
			told++
		}
	}
	assert.Assert(t, told >= 4 && told <= 6, "%d", told)
	assert.Assert(t, tab.Observe(12*time.Second, 12*time.Second, Notice{Server: s}), "the limit ends")
	assert.Assert(t, !tab.Observe(5*time.Minute, 5*time.Minute, Notice{Server: s}), "nothing holds")
}
