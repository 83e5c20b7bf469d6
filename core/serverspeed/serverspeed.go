// Package serverspeed estimates the speed of model servers from the times of the requests
// that they served: the rate at which a server processes prompts, its time to first event
// without a prompt, and a slowdown of the moment. Each start of a server is a server of its
// own. The package has no clock and does no I/O.
package serverspeed

import (
	"math"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

const (
	// The following are the values of a pool without any sample.
	startTokensPerMS  = 60.0
	startFirstEventMS = 130.0
	startRunningMS    = 3.0
	startPauseShare   = 1.0

	// The following bound the estimates, and what other instances report.
	minTokensPerMS, maxTokensPerMS   = 0.1, 1e4
	minFirstEventMS, maxFirstEventMS = 1.0, 3e4
	maxSlowdown                      = 8.0

	// priorSamples is the weight of the pool's median for a new server, in samples.
	priorSamples = 3.0
	// maxSamples bounds the weight of the past in the long-term values.
	maxSamples = 32.0
	// settledSamples is the number of samples from which a single one moves the long-term
	// values by little, so that a slowdown of some samples does not.
	settledSamples = 8.0
	// maxSettledError and maxError bound the error of a sample, as the logarithm of the
	// ratio of the times, for servers with and without settledSamples.
	maxSettledError, maxError = 0.3, 1.4
	// slowdownGain is the weight of the newest sample in the slowdown.
	slowdownGain = 0.5
	// minSlowdownError is the least error that counts as a slowdown: less is noise.
	minSlowdownError = 0.25
	// slowdownHalfLife is the time in which the logarithm of a slowdown halves. The moments
	// for which machines are slow last about 0.6 s.
	slowdownHalfLife = 350 * time.Millisecond
	// slowdownRetention is the age from which a slowdown is negligible.
	slowdownRetention = 10 * slowdownHalfLife
	// retention is the age from which the samples of a server count no more for its pool,
	// and are not reported.
	retention = 10 * time.Minute
	// maxServers bounds the servers that are known.
	maxServers = 4096
)

// Model holds the speeds of servers. It is not safe for concurrent use.
type Model struct {
	servers map[notice.Server]*Server
	pools   map[string]*pool
}

// New returns a model without samples.
func New() *Model {
	return &Model{servers: map[notice.Server]*Server{}, pools: map[string]*pool{}}
}

// speed holds the long-term values of a server that processes one request at a time.
type speed struct {
	tokensPerMS, firstEventMS float64
}

// Server is what is known of one server start.
type Server struct {
	id   notice.Server
	pool *pool
	// speed is only valid if samples, the weight of what it follows from, is not 0.
	speed   speed
	fit     fit
	samples float64
	// isMeasured is set if a sample of this instance is among them.
	isMeasured bool
	// sampledAt is the time of the newest sample.
	sampledAt time.Duration
	// slowdown is the logarithm of the slowdown at the time slowdownAt.
	slowdown   float64
	slowdownAt time.Duration
}

// Server returns the state of a server of a pool. The state remains usable if the model
// drops the server to bound its memory, but is not exported then.
func (m *Model) Server(poolName string, id notice.Server) *Server {
	s := m.servers[id]
	if s == nil {
		m.makeRoom()
		s = &Server{id: id}
		m.servers[id] = s
	}
	s.pool = m.pool(poolName)
	return s
}

// makeRoom drops the server without samples, or else with the oldest one, if there are too
// many.
func (m *Model) makeRoom() {
	if len(m.servers) < maxServers {
		return
	}
	var oldest *Server
	for _, s := range m.servers {
		if oldest == nil || s.isOlderThan(oldest) {
			oldest = s
		}
	}
	delete(m.servers, oldest.id)
}

func (s *Server) isOlderThan(other *Server) bool {
	if (s.samples == 0) != (other.samples == 0) {
		return s.samples == 0
	}
	return s.sampledAt < other.sampledAt
}

// Estimate is what is expected of a server with a number of running requests, now.
type Estimate struct {
	// TokensPerMS is the rate at which it processes prompts, and FirstEventMS the time to
	// the first event of a request without a prompt to process. Both include Slowdown, the
	// factor by which work takes longer than usual at this moment.
	TokensPerMS, FirstEventMS, Slowdown float64
	// RunningMS is the time that each running request adds to a new one.
	RunningMS float64
	// pauseShare is the part of the processing time of a prompt for which running streams
	// pause.
	pauseShare float64
}

// PrefillMS returns the time to process prompt tokens, in milliseconds.
func (e *Estimate) PrefillMS(tokens int) float64 { return float64(tokens) / e.TokensPerMS }

// PauseMS returns the time for which running streams pause while prompt tokens are processed,
// in milliseconds.
func (e *Estimate) PauseMS(tokens int) float64 { return e.pauseShare * e.PrefillMS(tokens) }

// FirstEvent returns the time to the first event of a request after which so many prompt tokens
// have been processed.
func (e *Estimate) FirstEvent(tokens int) time.Duration {
	return time.Duration((e.FirstEventMS + e.PrefillMS(tokens)) * float64(time.Millisecond))
}

// Estimate returns what is expected of the server while it runs so many other requests.
func (s *Server) Estimate(now time.Duration, running int) Estimate {
	return s.pool.estimate(s.longTerm(), s.slowdownFactor(now), running)
}

// PoolEstimate returns what is expected of the median server of a pool while it runs so many
// other requests.
func (m *Model) PoolEstimate(poolName string, running int) Estimate {
	p := m.pool(poolName)
	return p.estimate(p.median, 1, running)
}

// longTerm returns the long-term values: those of the pool before the first sample.
func (s *Server) longTerm() speed {
	if s.samples == 0 {
		return s.pool.median
	}
	return s.speed
}

// currentSlowdown returns the logarithm of the slowdown.
func (s *Server) currentSlowdown(now time.Duration) float64 {
	if s.slowdown == 0 || now-s.slowdownAt >= slowdownRetention {
		return 0
	}
	return s.slowdown * math.Exp2(-float64(now-s.slowdownAt)/float64(slowdownHalfLife))
}

// slowdownFactor returns the factor by which work takes longer than usual.
func (s *Server) slowdownFactor(now time.Duration) float64 {
	if slowdown := s.currentSlowdown(now); slowdown != 0 {
		return math.Exp(slowdown)
	}
	return 1
}

// UsualFirstEvent returns the time to the first event on a server of usual speed after so many
// prompt tokens have been processed.
func UsualFirstEvent(tokens int) time.Duration {
	usual := Estimate{TokensPerMS: startTokensPerMS, FirstEventMS: startFirstEventMS}
	return usual.FirstEvent(tokens)
}

// FirstEvent is a measured first event.
type FirstEvent struct {
	// Tokens are the prompt tokens that had to be processed before it, those queued before
	// the request included.
	Tokens int
	// Running is the number of other requests on the server when the request was placed.
	Running int
	// Took is the time from sending the request.
	Took time.Duration
}

// ObserveFirstEvent learns from a first event. Without a time it says nothing.
func (m *Model) ObserveFirstEvent(now time.Duration, s *Server, f FirstEvent) {
	if f.Took <= 0 {
		return
	}
	if s.samples == 0 {
		s.setValues(s.pool.median, priorSamples)
	}
	expected := s.pool.estimate(s.speed, 1, f.Running)
	prefillMS := expected.PrefillMS(f.Tokens)
	expectedMS := prefillMS + expected.FirstEventMS
	relativeError := math.Log(milliseconds(f.Took) / expectedMS)
	s.observeSlowdown(now, relativeError)
	relativeError = s.clipped(relativeError)
	// The time that an otherwise idle server needs for these tokens is proportional to it.
	idleTokens := float64(f.Tokens) * s.pool.loadFactor(f.Running)
	s.pool.observeLoad(f.Running, relativeError*prefillMS/expectedMS)
	s.adjust(idleTokens, expectedMS*math.Exp(relativeError))
	s.samples, s.sampledAt, s.isMeasured = min(s.samples+1, maxSamples), now, true
	m.refreshMedian(now, s.pool)
}

// setValues sets the long-term values and the weight of their past.
func (s *Server) setValues(v speed, weight float64) {
	s.speed, s.fit = v, fit{}
	s.fit.addValues(v, weight)
}

// adjust includes a sample in the long-term values.
func (s *Server) adjust(tokens, timeMS float64) {
	s.fit.forget()
	s.fit.addValues(s.speed, anchorWeight)
	s.fit.add(tokens, timeMS, 1)
	s.speed = s.fit.values()
}

// clipped bounds the error of a sample, so that rare ones count little.
func (s *Server) clipped(relativeError float64) float64 {
	limit := maxError
	if s.samples >= settledSamples {
		limit = maxSettledError
	}
	return bound(relativeError, -limit, limit)
}

// observeSlowdown moves the slowdown towards the error of a sample. The first samples of a
// server say how fast it is, not that it is slower than usual.
func (s *Server) observeSlowdown(now time.Duration, relativeError float64) {
	if s.samples < settledSamples {
		return
	}
	if relativeError < minSlowdownError {
		relativeError = 0
	}
	current := s.currentSlowdown(now)
	s.slowdown = current + slowdownGain*(min(relativeError, math.Log(maxSlowdown))-current)
	s.slowdownAt = now
}

// ObservePause learns from the longest pause of a stream. tokens are the most prompt tokens
// that waited on the server at any time while the stream ran, beside running other requests.
func (m *Model) ObservePause(s *Server, tokens, running int, pause time.Duration) {
	expected := s.pool.estimate(s.longTerm(), 1, running)
	s.pool.observePause(milliseconds(pause), expected.PrefillMS(tokens))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func bound(v, low, high float64) float64 { return max(low, min(v, high)) }
