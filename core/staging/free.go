package staging

import "time"

const (
	// freeDelay is how long results to be freed are collected for one FreeRequest, and
	// maxFreeBatch the number of collected results from which it is sent at once.
	freeDelay    = 25 * time.Millisecond
	maxFreeBatch = 32
	// ampleFreeDelay and maxAmpleFreeBatch apply to a server that has at least
	// ampleMemoryShare of its memory left, where freeing can wait.
	ampleFreeDelay    = 400 * time.Millisecond
	maxAmpleFreeBatch = 256
	ampleMemoryShare  = 0.6
	// limitedFreeDelay applies to a server that names a limit, which calls use up as well.
	limitedFreeDelay = 2 * time.Second
)

// queueFree adds a result to the next FreeRequest. Its memory counts as used until that
// request has ended.
func (m *server) queueFree(handle string, bytes int64, now time.Duration) {
	if len(m.handlesToFree) == 0 {
		m.freesQueuedSince = now
	}
	m.pool.hasHandlesToFree = true
	m.handlesToFree = append(m.handlesToFree, handle)
	m.bytesToFree += bytes
}

// hasAmpleMemory reports whether the server has much more memory left than it needs for
// the next calls.
func (m *server) hasAmpleMemory(now time.Duration) bool {
	return float64(m.availableMemory(now)) >= ampleMemoryShare*float64(m.pool.spec.MemoryBytes)
}

// isFreeDue reports whether the collected results are to be freed now.
func (m *server) isFreeDue(now time.Duration) bool {
	if len(m.handlesToFree) == 0 || m.wantsNoCalls(now) || m.pool.notices.Wait(now, m.start()) > 0 {
		return false
	}
	delay, batch := freeDelay, maxFreeBatch
	switch {
	case m.isLimited(now):
		delay, batch = limitedFreeDelay, maxAmpleFreeBatch
	case m.hasAmpleMemory(now):
		delay, batch = ampleFreeDelay, maxAmpleFreeBatch
	}
	return len(m.handlesToFree) >= batch || now-m.freesQueuedSince >= delay
}

// requeueFree collects the results of a refused FreeRequest again.
func (m *server) requeueFree(f pendingFree, now time.Duration) {
	if len(m.handlesToFree) == 0 {
		m.freesQueuedSince = now
	}
	m.pool.hasHandlesToFree = true
	m.handlesToFree = append(f.handles, m.handlesToFree...)
	m.bytesToFree += f.bytes
}

// sendDueFreeRequests sends the collected FreeRequests that are due.
func (s *Scheduler) sendDueFreeRequests(now time.Duration) {
	for _, p := range s.sortedPools {
		if !p.hasHandlesToFree {
			continue
		}
		p.hasHandlesToFree = false
		for _, m := range p.servers {
			if m.isFreeDue(now) {
				s.sendFreeRequest(m, now)
			}
			p.hasHandlesToFree = p.hasHandlesToFree || len(m.handlesToFree) > 0
		}
	}
}

func (s *Scheduler) sendFreeRequest(m *server, now time.Duration) {
	m.pool.notices.RecordCall(now, m.start())
	s.lastFreeID++
	s.pendingFrees[s.lastFreeID] = pendingFree{m, m.handlesToFree, m.bytesToFree}
	s.actions.FreeRequests = append(s.actions.FreeRequests, FreeRequest{ID: s.lastFreeID, Server: m.def, Handles: m.handlesToFree})
	m.handlesToFree, m.bytesToFree = nil, 0
}
