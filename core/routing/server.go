package routing

import (
	"slices"
	"time"
)

// server is what the router knows of one backend server.
type server struct {
	Server
	tier int
	// rank orders the servers of a tier, differently at each entry; hash is the
	// same at all entries.
	rank, hash uint64
	zone       int

	load Load
	// reported is when the load came in; zero if none did.
	reported time.Time
	// starts holds when the attempts in flight from this entry began, oldest first.
	starts []time.Time
	// startsReported is the number of them when the load came in.
	startsReported int
	// used is when the last attempt began or ended.
	used time.Time
	// refused is when the server last refused for load.
	refused time.Time

	// slow is the time of an attempt that was given up after much longer than usual,
	// and slowAt when it was.
	slow   time.Duration
	slowAt time.Time

	// failing is the smoothed share of failed attempts as of failingAt.
	failing   float64
	failingAt time.Time
	ejections int
	// until is the end of the current or last ejection.
	until time.Time
	// returned is when the server came back from ejection or silence.
	returned time.Time
	// silent is set until the next load report.
	silent bool

	// asked is when the last probe was asked for; unanswered counts probes
	// without a report.
	asked      time.Time
	unanswered int
}

func newServer(s Server, seed uint64) *server {
	h := hashString(s.ID)
	return &server{Server: s, hash: h, rank: mix(h ^ mix(seed))}
}

func (st *server) leaving() bool { return st.Leaving || st.load.Leaving }

// mayServe tells whether the server has the model as far as is known.
func (st *server) mayServe(model string) bool {
	return model == "" || len(st.load.Models) == 0 || slices.Contains(st.load.Models, model)
}

// occupied estimates the calls at the server: those reported, and those sent
// since from here and, going by the pool, from other entries.
func (st *server) occupied(others float64) float64 {
	sent := max(0, len(st.starts)-st.startsReported)
	return max(float64(st.load.Running+st.load.Queued)+float64(sent)*others, float64(len(st.starts)))
}

func (st *server) started(now time.Time) {
	st.starts = append(st.starts, now)
	st.used = now
}

// ended removes the attempt whose start is nearest to the given time.
func (st *server) ended(now, start time.Time) {
	st.used = now
	best := -1
	for i, t := range st.starts {
		if best < 0 || start.Sub(t).Abs() < start.Sub(st.starts[best]).Abs() {
			best = i
		}
	}
	if best >= 0 {
		st.starts = slices.Delete(st.starts, best, best+1)
		st.startsReported = min(st.startsReported, len(st.starts))
	}
}

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

// hashString is FNV-1a with a final mix.
func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
