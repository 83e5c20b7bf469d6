package placement

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/residency"
)

// streamKind is a kind of streams of a simulated pool.
type streamKind struct {
	perSecond   float64
	shared, own int
	objective   time.Duration
}

// simulatedPool is a pool whose servers process one prompt after the other, and pause their
// streams meanwhile. Prompts take twice as long beside running streams.
type simulatedPool struct {
	t           *testing.T
	kinds       []streamKind
	tokensPerMS []float64
	maxPause    time.Duration
	// charged is false if pauses and objectives do not count for the choice of servers.
	charged bool
	rng     *rand.Rand
	table   *Table
	events  []event
	servers map[string]*simulatedServer
	// streams, lateFirst and latePause count the streams by their outcome.
	streams, lateFirst, latePause int
	uncached                      int
}

type simulatedServer struct {
	tokensPerMS float64
	busyUntil   time.Duration
	// longestPauses are those of the running streams.
	longestPauses map[string]time.Duration
}

type event struct {
	at time.Duration
	do func(now time.Duration)
}

// at adds an event after those at the same time or before.
func (p *simulatedPool) at(at time.Duration, do func(time.Duration)) {
	i, _ := slices.BinarySearchFunc(p.events, at+1, func(e event, at time.Duration) int { return cmp.Compare(e.at, at) })
	p.events = slices.Insert(p.events, i, event{at, do})
}

func (p *simulatedPool) run(duration time.Duration) {
	p.rng, p.table, p.servers = rand.New(rand.NewPCG(1, 2)), New(nil), map[string]*simulatedServer{}
	var defs []Server
	for i, rate := range p.tokensPerMS {
		id := fmt.Sprint("s", i)
		defs = append(defs, Server{ID: id, Slots: 64, CacheTokens: 533_618})
		p.servers[id] = &simulatedServer{tokensPerMS: rate, longestPauses: map[string]time.Duration{}}
	}
	p.table.SetServers("p", defs)
	for i, k := range p.kinds {
		n := 0
		for at := 0.0; at < duration.Seconds(); at += p.rng.ExpFloat64() / k.perSecond {
			n++
			p.at(time.Duration(at*float64(time.Second)), p.arrival(k, fmt.Sprint(i, "-", n)))
		}
	}
	for len(p.events) > 0 {
		e := p.events[0]
		p.events = p.events[1:]
		e.do(e.at)
	}
}

func (p *simulatedPool) arrival(k streamKind, id string) func(time.Duration) {
	const spread, distinctShared = 1.0, 60
	own := int(float64(k.own) * math.Exp(spread*p.rng.NormFloat64()-spread*spread/2))
	shared := int(distinctShared * math.Pow(p.rng.Float64(), 2))
	length := time.Duration((0.5 + 3*p.rng.Float64()) * float64(time.Second))
	return func(now time.Duration) {
		r := Request{
			ID: id, Pool: "p", MaxTokens: 300, Residency: residency.Unrestricted(),
			Parts: []PromptPart{{ID: fmt.Sprint(k.shared, "-", shared), Tokens: k.shared}, {ID: id, Tokens: min(own, 56_000-k.shared)}},
		}
		if p.charged {
			r.MaxPause, r.TimeToObjective = p.maxPause, k.objective*2/3
		}
		chosen, ok := p.table.Choose(now, r)
		assert.Assert(p.t, ok)
		if now >= warmUpTime {
			p.uncached += chosen.UncachedTokens
		}
		p.prefill(now, p.servers[chosen.ID], id, chosen.UncachedTokens, k.objective*2/3, length)
	}
}

// prefill processes the prompt of a request once those before it are processed.
func (p *simulatedPool) prefill(now time.Duration, s *simulatedServer, id string, tokens int, objective, length time.Duration) {
	if start := s.busyUntil; start > now {
		p.at(start, func(now time.Duration) { p.prefill(now, s, id, tokens, objective, length) })
		return
	}
	rate := s.tokensPerMS
	if len(s.longestPauses) > 0 {
		rate /= 2
	}
	took := time.Duration(float64(tokens) / rate * float64(ms))
	s.busyUntil = now + took + ms
	for other, pause := range s.longestPauses {
		s.longestPauses[other] = max(pause, took)
	}
	p.at(now+took+100*ms, func(end time.Duration) { p.firstEvent(end, s, id, objective, length) })
}

func (p *simulatedPool) firstEvent(now time.Duration, s *simulatedServer, id string, objective, length time.Duration) {
	took := now - p.table.requests[id].placedAt
	p.table.ObserveFirstEvent(now, id, took)
	p.table.RequestStarted(now, id)
	s.longestPauses[id] = 0
	p.at(now+length, func(now time.Duration) {
		longestPause := s.longestPauses[id]
		delete(s.longestPauses, id)
		p.table.ObservePause(id, longestPause)
		p.table.Finish(now, id, Complete)
		if now < warmUpTime {
			return
		}
		p.streams++
		switch {
		case took > objective:
			p.lateFirst++
		case longestPause > p.maxPause:
			p.latePause++
		}
	})
}

// warmUpTime is the time after which the shared parts are cached.
const warmUpTime = 15 * time.Second

// competingKinds and unevenKinds are those of docs/design/hard-load.md.
var (
	competingKinds = []streamKind{{22.2, 13_300, 3720, 1200 * ms}, {32.7, 6300, 2890, 4 * time.Second}, {49, 350, 1110, 1500 * ms}}
	unevenKinds    = []streamKind{{32.3, 13_300, 3720, 1500 * ms}, {23.9, 6300, 2890, 1900 * ms}, {47.5, 350, 1110, 1700 * ms}}
)

// TestLongPromptsDelayFewStreams guards against long prompts beside running streams, which made
// two thirds of the late streams late on days without faults. The shared parts must still be
// used where they are cached.
func TestLongPromptsDelayFewStreams(t *testing.T) {
	even, uneven := slices.Repeat([]float64{64.2}, 53), []float64(nil)
	for i := range 46 {
		uneven = append(uneven, 51.1*(1-0.63*float64(i)/45))
	}
	for _, tt := range []struct {
		name        string
		kinds       []streamKind
		tokensPerMS []float64
		maxPause    time.Duration
		// maxLate is the allowed ratio of late streams, compared with a choice that does not
		// count pauses. On the slow servers ordinary prompts cause long pauses, too.
		maxLate float64
	}{
		{"competing", competingKinds, even, 400 * ms, 0.35},
		{"uneven", unevenKinds, uneven, 500 * ms, 0.7},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var uncharged, charged *simulatedPool
			for _, isCharged := range []bool{false, true} {
				p := &simulatedPool{t: t, kinds: tt.kinds, tokensPerMS: tt.tokensPerMS, maxPause: tt.maxPause, charged: isCharged}
				p.run(time.Minute)
				t.Logf("charged %v: %d streams, %d late by first event, %d by pause, %d uncached tokens per stream", isCharged, p.streams, p.lateFirst, p.latePause, p.uncached/p.streams)
				uncharged, charged = charged, p
			}
			late := float64(charged.lateFirst+charged.latePause) / float64(uncharged.lateFirst+uncharged.latePause)
			assert.Assert(t, late <= tt.maxLate, "%v", late)
			assert.Assert(t, charged.uncached <= uncharged.uncached*5/4)
		})
	}
}
