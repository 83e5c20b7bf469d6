package secondattempt

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

const (
	// maxLateShare is the share of servers that may be late for an attempt to be given up. If
	// more are late, the whole system is slow, and second attempts add to its load. One late
	// server is always permitted.
	maxLateShare = 0.25
	// minOnTimeWindow is the least time for which a first event in time counts. It counts for
	// as long as the attempt to be decided on has waited: events before that say nothing about
	// a slowdown which began in the meantime.
	minOnTimeWindow = time.Second
	// lateWindows is the number of such times for which a late first event counts, so that a
	// slow system is not taken for a sound one between two late events.
	lateWindows = 3
	// maxServers bounds the servers with evidence.
	maxServers = 4096
)

// newest is the newest evidence about a server.
type newest struct {
	at   time.Duration
	late bool
}

// evidence holds the newest evidence about each server start.
type evidence map[notice.Server]newest

func (e evidence) record(now time.Duration, server notice.Server, late bool) {
	if _, known := e[server]; !known && len(e) >= maxServers {
		e.removeOldest()
	}
	e[server] = newest{now, late}
}

// removeOldest removes the server whose evidence is the oldest.
func (e evidence) removeOldest() {
	var oldest notice.Server
	found := false
	for s, n := range e {
		if !found || n.at < e[oldest].at {
			oldest, found = s, true
		}
	}
	delete(e, oldest)
}

// countServers returns the numbers of servers that are late, including that of the attempt,
// and of those that were on time while it waited.
func (t *Tracker) countServers(now time.Duration, a *Attempt) (late, onTime int) {
	window := max(minOnTimeWindow, now-a.sentAt)
	lateServers := map[notice.Server]bool{a.server: true}
	for other := range t.open {
		if now-other.sentAt >= t.overdueAfter(other.expected) {
			lateServers[other.server] = true
		}
	}
	for s, n := range t.servers {
		if n.late && now-n.at <= lateWindows*window {
			lateServers[s] = true
		}
	}
	for s, n := range t.servers {
		if !n.late && now-n.at <= window && !lateServers[s] {
			onTime++
		}
	}
	return len(lateServers), onTime
}
