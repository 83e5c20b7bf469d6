package serverspeed

import (
	"math"
	"slices"
	"time"
)

const (
	// medianInterval is the least time between two updates of a pool's median, each of which
	// looks at all servers.
	medianInterval = 2 * time.Second
	// minMedianSamples is the number of samples from which a server counts for the median.
	minMedianSamples = 3.0
	// loadGain and pauseGain are the weights of the newest sample in the load factors and in
	// the pause share of a pool. All servers of the pool contribute samples.
	loadGain, pauseGain = 0.04, 0.02
	// loadDecay is the strength with which load factors return to 1. Servers with always the
	// same load do not tell the factor from their speed; the speed covers both then.
	loadDecay = 0.02
	// maxLoadFactor bounds the load factors.
	maxLoadFactor = 8.0
	// minPauseMS is the least processing time from which a pause says something: shorter ones
	// are not told from the usual time between events.
	minPauseMS = 100.0
	// maxPauseShare bounds the pause share: longer pauses have other causes.
	maxPauseShare = 2.0
)

// loadBuckets are the least numbers of running requests of the load factors.
var loadBuckets = [...]int{0, 1, 4, 16}

// pool holds what the servers of a pool have in common.
type pool struct {
	// median holds the medians of the servers' long-term values at the time medianAt.
	median      speed
	medianAt    time.Duration
	medianKnown bool
	// loadFactors are the factors by which the processing of prompts takes longer while as
	// many requests run as loadBuckets says. The first is always 1.
	loadFactors [len(loadBuckets)]float64
	pauseShare  float64
	// meanError is the mean error of the samples because of their prompts.
	meanError float64
}

func (m *Model) pool(name string) *pool {
	p := m.pools[name]
	if p == nil {
		p = &pool{median: speed{startTokensPerMS, startFirstEventMS}, loadFactors: [...]float64{1, 1, 1, 1}, pauseShare: startPauseShare}
		m.pools[name] = p
	}
	return p
}

// estimate returns what is expected of a server of the pool.
func (p *pool) estimate(v speed, slowdown float64, running int) Estimate {
	return Estimate{
		TokensPerMS: v.tokensPerMS / (p.loadFactor(running) * slowdown), FirstEventMS: v.firstEventMS * slowdown, Slowdown: slowdown,
		RunningMS:  startRunningMS * startTokensPerMS / v.tokensPerMS * slowdown,
		pauseShare: p.pauseShare,
	}
}

// loadFactor returns the load factor for a number of running requests. It never falls with
// their number, so that noise does not make a busier server look faster.
func (p *pool) loadFactor(running int) float64 {
	highest := 1.0
	for i, least := range loadBuckets {
		if running >= least {
			highest = max(highest, p.loadFactors[i])
		}
	}
	return highest
}

// observeLoad moves the load factor for a number of running requests by the error that a
// sample had because of its prompt, compared with all samples of the pool.
func (p *pool) observeLoad(running int, relativeError float64) {
	difference := relativeError - p.meanError
	p.meanError += loadGain * difference
	for i := len(loadBuckets) - 1; i > 0; i-- {
		if running >= loadBuckets[i] {
			step := loadGain * (difference - loadDecay*math.Log(p.loadFactors[i]))
			p.loadFactors[i] = bound(p.loadFactors[i]*math.Exp(step), 1, maxLoadFactor)
			return
		}
	}
}

// observePause moves the pause share towards a pause beside prompts that took prefillMS.
func (p *pool) observePause(pauseMS, prefillMS float64) {
	if pauseMS <= 0 || prefillMS < minPauseMS {
		return
	}
	p.pauseShare += pauseGain * (min(pauseMS/prefillMS, maxPauseShare) - p.pauseShare)
}

// refreshMedian updates the median of a pool if it is too old.
func (m *Model) refreshMedian(now time.Duration, p *pool) {
	if p.medianKnown && now-p.medianAt < medianInterval {
		return
	}
	var rates, firstEvents []float64
	for _, s := range m.servers {
		if s.pool == p && s.samples >= minMedianSamples && now-s.sampledAt < retention {
			rates = append(rates, s.speed.tokensPerMS)
			firstEvents = append(firstEvents, s.speed.firstEventMS)
		}
	}
	if len(rates) == 0 {
		return
	}
	slices.Sort(rates)
	slices.Sort(firstEvents)
	p.median = speed{rates[len(rates)/2], firstEvents[len(firstEvents)/2]}
	p.medianAt, p.medianKnown = now, true
}
