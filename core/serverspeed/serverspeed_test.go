package serverspeed

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

const ms = time.Millisecond

// promptTokens are sizes of prompts that repeat in the tests.
var promptTokens = []int{300, 1100, 4000, 17_000, 2900, 40_000}

// observe has a server that runs at a rate serve first events at an interval, and returns the
// time afterwards.
func observe(m *Model, s *Server, now time.Duration, n int, tokensPerMS, firstEventMS float64) time.Duration {
	for i := range n {
		now += 300 * ms
		tokens := promptTokens[i%len(promptTokens)]
		took := firstEventMS + float64(tokens)/tokensPerMS
		m.ObserveFirstEvent(now, s, FirstEvent{Tokens: tokens, Took: time.Duration(took * float64(ms))})
	}
	return now
}

func near(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got/want-1) <= tolerance, "got %v, want %v", got, want)
}

// TestBriefSlowdownIsSeenAndForgotten guards against both a slow machine that is not noticed and
// one that is avoided long after it has recovered.
func TestBriefSlowdownIsSeenAndForgotten(t *testing.T) {
	m := New()
	s := m.Server("p", notice.Server{ID: "s"})
	now := observe(m, s, 0, 40, 50, 100)
	before := s.longTerm()
	for range 3 {
		now += 150 * ms
		m.ObserveFirstEvent(now, s, FirstEvent{Tokens: 5000, Took: 500 * ms})
	}
	slow := s.Estimate(now, 0)
	assert.Assert(t, slow.Slowdown > 1.7 && slow.FirstEvent(5000) > 340*ms, "%v", slow)
	near(t, s.longTerm().tokensPerMS, before.tokensPerMS, 0.04)
	later := s.Estimate(now+1200*ms, 0)
	assert.Assert(t, later.Slowdown < 1.1, "%v", later)
}

// TestRestartedServerStartsWithTheMedian guards against one speed for servers that differ by more
// than a factor of 2.7, against a server start that inherits the speed of the one before it, and
// against one whose speed is assumed although the pool's is known.
func TestRestartedServerStartsWithTheMedian(t *testing.T) {
	m := New()
	now := time.Duration(0)
	for i, rate := range []float64{20, 40, 100} {
		s := m.Server("p", notice.Server{ID: fmt.Sprint("s", i), StartTime: 1})
		now = observe(m, s, now, 60, rate, 80)
		e := s.Estimate(now+time.Second, 0)
		near(t, e.TokensPerMS, rate, 0.1)
		near(t, e.FirstEventMS, 80, 0.2)
	}
	// A single further sample after the interval of the median.
	now = observe(m, m.Server("p", notice.Server{ID: "s2", StartTime: 1}), now+medianInterval, 1, 100, 80)
	restarted := m.Server("p", notice.Server{ID: "s2", StartTime: 2}).Estimate(now, 0)
	near(t, restarted.TokensPerMS, 40, 0.1)
	other := m.Server("other", notice.Server{ID: "s0"}).Estimate(now, 0)
	near(t, other.TokensPerMS, startTokensPerMS, 0)
	assert.Equal(t, other.FirstEvent(6000), 230*ms)
}

// TestRunningRequestsSlowPromptsDown guards against estimates for an idle server that are applied
// to a busy one: there, prompts were processed at half the rate.
func TestRunningRequestsSlowPromptsDown(t *testing.T) {
	m := New()
	s := m.Server("p", notice.Server{ID: "s"})
	now := time.Duration(0)
	for i := range 2000 {
		now += 100 * ms
		rate, running := 64.0, 0
		if i%2 == 1 {
			rate, running = 32, 2
		}
		tokens := promptTokens[(i/2)%len(promptTokens)]
		m.ObserveFirstEvent(now, s, FirstEvent{Tokens: tokens, Running: running, Took: 100*ms + time.Duration(float64(tokens)/rate*float64(ms))})
	}
	idle, busy := s.Estimate(now+time.Minute, 0), s.Estimate(now+time.Minute, 2)
	near(t, idle.TokensPerMS, 64, 0.15)
	near(t, busy.TokensPerMS, 32, 0.15)
}

// TestPausesAreLearned guards against avoiding pauses at servers that process prompts in small
// pieces, so that other streams continue meanwhile.
func TestPausesAreLearned(t *testing.T) {
	m := New()
	s := m.Server("p", notice.Server{ID: "s"})
	e := s.Estimate(0, 1)
	near(t, e.PauseMS(30_000), 500, 0)
	for range 200 {
		m.ObservePause(s, 30_000, 1, 50*ms)
		m.ObservePause(s, 600, 1, 50*ms)
	}
	e = s.Estimate(0, 1)
	near(t, e.PauseMS(30_000), 50, 0.2)
}

// TestImportAfterFailover guards against a placing instance that begins without what the one
// before it has reported, lets reports replace what it measured itself, or takes invalid ones.
func TestImportAfterFailover(t *testing.T) {
	first, second := New(), New()
	id := notice.Server{ID: "s", StartTime: 3}
	now := observe(first, first.Server("p", id), 0, 40, 20, 200)
	speeds := first.Export(now + 10*time.Second)
	assert.Equal(t, len(speeds), 1)
	assert.Equal(t, speeds[0].Age, 10*time.Second)
	assert.Equal(t, second.Import(0, speeds), 1)
	s := second.Server("p", id)
	e := s.Estimate(0, 0)
	near(t, e.TokensPerMS, first.Server("p", id).longTerm().tokensPerMS, 1e-9)
	assert.Equal(t, len(second.Export(0)), 0, "values of others are not passed on")
	speeds[0].Age = 0
	assert.Equal(t, second.Import(ms, speeds), 1, "newer values are learned")
	now = observe(second, s, 0, 40, 50, 100)
	speeds[0].Age = 10 * time.Second
	assert.Equal(t, second.Import(now, speeds), 0)
	for _, invalid := range []Speed{
		{}, {TokensPerMS: math.NaN(), FirstEventMS: 1, Slowdown: 1, Samples: 1}, {TokensPerMS: 1, FirstEventMS: math.Inf(1), Slowdown: 1, Samples: 1},
		{TokensPerMS: 1, FirstEventMS: 1, Slowdown: 1, Samples: 1, Age: retention},
	} {
		assert.Equal(t, second.Import(0, []Speed{invalid}), 0)
	}
	assert.Equal(t, len(first.Export(now+retention)), 0)
}

// TestMemoryIsBounded guards against growth with each server start.
func TestMemoryIsBounded(t *testing.T) {
	m := New()
	kept := m.Server("p", notice.Server{ID: "kept"})
	observe(m, kept, 0, 1, 60, 130)
	for i := range 2 * maxServers {
		m.Server("p", notice.Server{ID: "s", StartTime: int64(i)})
	}
	assert.Equal(t, len(m.servers), maxServers)
	assert.Assert(t, m.servers[kept.id] == kept)
}
