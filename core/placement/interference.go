package placement

import (
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/serverspeed"
)

const (
	// lateCostMS is the cost of one response that is late. It exceeds the time to process
	// the shared parts of most prompts, so that a prompt is rather processed again on a
	// server where it delays nobody than make several streams late.
	lateCostMS = 600.0
	// harmlessShare is the share of the allowed time that costs nothing. From there the cost
	// rises, since times are estimates and other delays add to them. With 0.3 and 0.4 more
	// streams were late in TestLongPromptsDelayFewStreams.
	harmlessShare = 0.5
	// maxLateShare bounds the shares of the allowed time that are told apart.
	maxLateShare = 4.0
	// excessCostShare is the cost of each further allowed time, as a share of lateCostMS. It
	// prefers the lesser delay where all are too long.
	excessCostShare = 0.25
)

// lateCost returns the cost of a response that takes timeMS where allowed is on time.
func lateCost(timeMS float64, allowed time.Duration) float64 {
	if allowed <= 0 {
		return 0
	}
	share := min(timeMS*float64(time.Millisecond)/float64(allowed), maxLateShare)
	if share <= harmlessShare {
		return 0
	}
	rise := min(1, (share-harmlessShare)/(1-harmlessShare))
	return lateCostMS * (rise*rise + excessCostShare*max(0, share-1))
}

// pauseLimit is the number of requests on a server with the same longest on-time pause.
type pauseLimit struct {
	maxPause time.Duration
	requests int
}

// countPauseLimit adds n requests with a longest on-time pause.
func (s *server) countPauseLimit(maxPause time.Duration, n int) {
	if maxPause <= 0 {
		return
	}
	i := slices.IndexFunc(s.pauseLimits, func(l pauseLimit) bool { return l.maxPause == maxPause })
	if i < 0 {
		s.pauseLimits = append(s.pauseLimits, pauseLimit{maxPause, n})
		return
	}
	s.pauseLimits[i].requests += n
	if s.pauseLimits[i].requests == 0 {
		s.pauseLimits = slices.Delete(s.pauseLimits, i, i+1)
	}
}

// interference returns the cost of the pauses that a request with so many uncached tokens
// causes for the requests on the server, and that its own response gets because of the
// prompts that the server has still to process.
func (s *server) interference(speed *serverspeed.Estimate, c *choice, uncached int) float64 {
	if c.pauseWeight == 0 || c.MaxPause <= 0 && len(s.pauseLimits) == 0 {
		return 0
	}
	pendingMS, addedMS := speed.PauseMS(s.pendingPrefillTokens), speed.PauseMS(uncached)
	cost := lateCost(pendingMS, c.MaxPause)
	for _, l := range s.pauseLimits {
		// A server that processes one prompt after the other joins the pauses.
		joined := lateCost(pendingMS+addedMS, l.maxPause) - lateCost(pendingMS, l.maxPause)
		cost += float64(l.requests) * max(joined, lateCost(addedMS, l.maxPause))
	}
	return c.pauseWeight * cost
}

// objectiveCost returns the cost of a first event that is late.
func (s *server) objectiveCost(speed *serverspeed.Estimate, r *Request, uncached int) float64 {
	if r.TimeToObjective <= 0 {
		return 0
	}
	expected := speed.FirstEvent(s.pendingPrefillTokens + uncached)
	return lateCost(float64(expected)/float64(time.Millisecond), r.TimeToObjective)
}
