package serverspeed

import (
	"math"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

// sampleHalfLife is the age at which reported samples have half their weight.
const sampleHalfLife = 2 * time.Minute

// Speed is what one instance tells another of a server.
type Speed struct {
	notice.Server
	// TokensPerMS and FirstEventMS are the long-term values.
	TokensPerMS, FirstEventMS float64
	// Slowdown is the factor by which work takes longer than they say at this moment.
	Slowdown float64
	// Samples is the weight of the values, and Age the time since the newest sample.
	Samples float64
	Age     time.Duration
}

// Export returns what this instance has measured within the retention time. What it has learned
// from others it does not pass on, so that old values do not go round.
func (m *Model) Export(now time.Duration) []Speed {
	var speeds []Speed
	for _, s := range m.servers {
		if age := now - s.sampledAt; s.isMeasured && age < retention {
			speeds = append(speeds, Speed{
				Server: s.id, TokensPerMS: s.speed.tokensPerMS, FirstEventMS: s.speed.firstEventMS,
				Slowdown: s.slowdownFactor(now), Samples: s.samples, Age: age,
			})
		}
	}
	return speeds
}

// Import learns what another instance tells, where that has more weight than what is known. It
// returns the number of servers of which it did.
func (m *Model) Import(now time.Duration, speeds []Speed) int {
	learned := 0
	for _, v := range speeds {
		if v.isValid() && m.importSpeed(now, v) {
			learned++
		}
	}
	for _, p := range m.pools {
		m.refreshMedian(now, p)
	}
	return learned
}

// isValid reports whether the values can be those of a server. NaN fails all comparisons.
func (v *Speed) isValid() bool {
	return v.TokensPerMS >= minTokensPerMS && v.TokensPerMS <= maxTokensPerMS && v.FirstEventMS >= minFirstEventMS && v.FirstEventMS <= maxFirstEventMS &&
		v.Slowdown >= 0 && v.Slowdown <= maxSlowdown && v.Samples > 0 && v.Age >= 0 && v.Age < retention
}

func (m *Model) importSpeed(now time.Duration, v Speed) bool {
	weight := agedWeight(min(v.Samples, maxSamples), v.Age)
	s := m.servers[v.Server]
	if s != nil && agedWeight(s.samples, now-s.sampledAt) >= weight {
		return false
	}
	if s == nil {
		m.makeRoom()
		// The pool is known once the server is looked up.
		s = &Server{id: v.Server}
		m.servers[v.Server] = s
	}
	s.setValues(speed{v.TokensPerMS, v.FirstEventMS}, weight)
	s.samples, s.sampledAt, s.isMeasured = min(v.Samples, maxSamples), now-v.Age, false
	s.slowdown, s.slowdownAt = math.Log(max(1, v.Slowdown)), now
	return true
}

// agedWeight returns the weight of samples of an age.
func agedWeight(samples float64, age time.Duration) float64 {
	return samples * math.Exp2(-float64(age)/float64(sampleHalfLife))
}
