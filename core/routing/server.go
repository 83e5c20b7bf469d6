package routing

import (
	"slices"
	"time"
)

// server holds the router's state of one backend server.
type server struct {
	Server
	tier int
	// rank orders the servers of a tier and differs between entries, so that their
	// subsets differ; hash is the same at all entries.
	rank, hash uint64
	zoneIndex  int

	load Load
	// reportedAt is when the last load report arrived; zero if there is none.
	reportedAt time.Time
	// attemptStarts holds the start times of this entry's attempts in flight, oldest
	// first.
	attemptStarts []time.Time
	// startsAtReport is the number of attempts in flight when the last load report
	// arrived.
	startsAtReport int
	// lastUsedAt is when an attempt last started or ended.
	lastUsedAt time.Time
	// refusedAt is when the server last refused an attempt.
	refusedAt time.Time

	// slowAttempt is the duration of the last attempt that was abandoned after much
	// longer than usual; slowAttemptAt is when that happened.
	slowAttempt   time.Duration
	slowAttemptAt time.Time

	// failureRate is the smoothed share of failed attempts as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// ejectionCount counts ejections; it restarts after ejectionResetAfter without one.
	ejectionCount int
	// ejectedUntil is the end of the current or last ejection.
	ejectedUntil time.Time
	// returnedAt is when the server last returned from ejection or unresponsiveness.
	returnedAt time.Time
	// unresponsive is set when the server stops answering and cleared by its next load
	// report.
	unresponsive bool

	// probedAt is the time of the last probe; unansweredProbes counts the probes that
	// timed out since the last load report.
	probedAt         time.Time
	unansweredProbes int
}

func newServer(s Server, seed uint64) *server {
	h := hashString(s.ID)
	return &server{Server: s, hash: h, rank: mix(h ^ mix(seed))}
}

func (st *server) isLeaving() bool { return st.Leaving || st.load.Leaving }

// mayServeModel reports whether the server has the model or its models are unknown.
func (st *server) mayServeModel(model string) bool {
	return model == "" || len(st.load.Models) == 0 || slices.Contains(st.load.Models, model)
}

// estimatedCalls estimates the number of calls at the server: the reported ones plus
// those sent since the report. callRatio scales the latter up from this entry's calls
// to those of all entries.
func (st *server) estimatedCalls(callRatio float64) float64 {
	sent := max(0, len(st.attemptStarts)-st.startsAtReport)
	return max(float64(st.load.Running+st.load.Queued)+float64(sent)*callRatio, float64(len(st.attemptStarts)))
}

func (st *server) recordStart(now time.Time) {
	st.attemptStarts = append(st.attemptStarts, now)
	st.lastUsedAt = now
}

// recordEnd removes the attempt whose start time is closest to start.
func (st *server) recordEnd(now, start time.Time) {
	st.lastUsedAt = now
	best := -1
	for i, t := range st.attemptStarts {
		if best < 0 || start.Sub(t).Abs() < start.Sub(st.attemptStarts[best]).Abs() {
			best = i
		}
	}
	if best >= 0 {
		st.attemptStarts = slices.Delete(st.attemptStarts, best, best+1)
		st.startsAtReport = min(st.startsAtReport, len(st.attemptStarts))
	}
}

// compareRank orders servers by tier, then by rank.
func compareRank(a, b *server) int {
	switch {
	case a.tier != b.tier:
		return a.tier - b.tier
	case a.rank < b.rank:
		return -1
	case a.rank > b.rank:
		return 1
	}
	return 0
}

// hashString computes the FNV-1a hash of s and applies mix to it.
func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h)
}

// mix applies the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
