// Package load sends open-loop load to entries, verifies every answer, and
// reports latencies and outcomes.
package load

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// Trace describes arrivals and the mix of requests.
type Trace struct {
	// Seed makes arrivals and the mix repeatable.
	Seed   uint64  `toml:"seed"`
	Phases []Phase `toml:"phase"`
	Mix    []Kind  `toml:"mix"`
}

// Phase is a stretch of time with a rate that changes linearly.
type Phase struct {
	Duration schema.Duration `toml:"duration"`
	// Rate is the arrivals a second at the start.
	Rate float64 `toml:"rate"`
	// RateEnd is the arrivals a second at the end; 0 keeps Rate.
	RateEnd float64 `toml:"rate_end"`
}

// Kind is one kind of request of the mix.
type Kind struct {
	Call     string `toml:"call"`
	Customer string `toml:"customer"`
	// Key is the customer's key; empty means the name followed by "-key".
	Key string `toml:"key"`
	// Weight is the share of the mix.
	Weight float64 `toml:"weight"`
	// Keyed sends an Idempotency-Key.
	Keyed bool `toml:"keyed"`
	// Stream asks for the answer as a stream.
	Stream bool `toml:"stream"`
	// Timeout is the Request-Timeout; 0 sends none.
	Timeout schema.Duration `toml:"timeout"`
	// Size is the padding of stage results in bytes, Tokens bounds the generation.
	Size   int `toml:"size"`
	Tokens int `toml:"tokens"`
	// Prefixes is how many prompt prefixes the requests share; 0 sends none.
	Prefixes int `toml:"prefixes"`
}

// Request is one request to send.
type Request struct {
	// At is when it is due, since the start of the load.
	At time.Duration
	// Nonce is unique and is part of the body and of every stage result.
	Nonce          string
	Call           string
	Customer       string
	CustomerKey    string
	IdempotencyKey string
	Prefix         string
	Stream         bool
	Timeout        time.Duration
	Body           []byte
}

// maxRequests bounds the requests of one trace.
const maxRequests = 10_000_000

// LoadTrace reads a trace file.
func LoadTrace(path string) (*Trace, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read trace")
	}
	t := &Trace{}
	if m := schema.Decode(text, t); len(m) > 0 {
		return nil, m
	}
	return t, t.Check()
}

// Check returns the first mistake of the trace.
func (t *Trace) Check() error {
	if len(t.Phases) == 0 || len(t.Mix) == 0 {
		return errors.New("a trace needs at least one phase and one mix")
	}
	expected := 0.0
	for i, p := range t.Phases {
		if p.Duration <= 0 || p.Rate < 0 || p.RateEnd < 0 {
			return errors.Newf("phase %d: duration must be over 0, rates at least 0", i+1)
		}
		expected += p.Duration.AsDuration().Seconds() * max(p.Rate, p.RateEnd)
	}
	if expected > maxRequests {
		return errors.Newf("the trace has over %d requests", maxRequests)
	}
	for i, k := range t.Mix {
		if k.Call == "" || k.Customer == "" || k.Weight <= 0 {
			return errors.Newf("mix %d: call, customer and a weight over 0 are needed", i+1)
		}
	}
	return nil
}

// Requests returns the arrivals in order. Nonces start with run.
func (t *Trace) Requests(run string) []Request {
	rng := rand.New(rand.NewPCG(t.Seed, t.Seed^0x9e3779b97f4a7c15))
	var out []Request
	var start time.Duration
	for _, p := range t.Phases {
		for at := p.next(0, rng); at < p.Duration.AsDuration(); at = p.next(at, rng) {
			k := t.pick(rng)
			out = append(out, k.request(run, len(out), start+at, rng))
		}
		start += p.Duration.AsDuration()
	}
	return out
}

// next returns the arrival after at, of a Poisson process with the rate at that time.
func (p Phase) next(at time.Duration, rng *rand.Rand) time.Duration {
	rate := p.Rate
	if p.RateEnd > 0 {
		rate += (p.RateEnd - p.Rate) * at.Seconds() / p.Duration.AsDuration().Seconds()
	}
	if rate <= 0 {
		return at + p.Duration.AsDuration()/100
	}
	return at + time.Duration(rng.ExpFloat64()/rate*float64(time.Second))
}

func (t *Trace) pick(rng *rand.Rand) *Kind {
	total := 0.0
	for _, k := range t.Mix {
		total += k.Weight
	}
	x := rng.Float64() * total
	for i := range t.Mix {
		x -= t.Mix[i].Weight
		if x < 0 {
			return &t.Mix[i]
		}
	}
	return &t.Mix[len(t.Mix)-1]
}

func (k *Kind) request(run string, n int, at time.Duration, rng *rand.Rand) Request {
	nonce := fmt.Sprintf("%s-%07d", run, n)
	r := Request{
		At: at, Nonce: nonce, Call: k.Call, Customer: k.Customer, CustomerKey: k.Key,
		Stream: k.Stream, Timeout: k.Timeout.AsDuration(),
		Body: fmt.Appendf(nil, `{"nonce":%q,"size":%d,"tokens":%d}`, nonce, k.Size, k.Tokens),
	}
	if r.CustomerKey == "" {
		r.CustomerKey = k.Customer + "-key"
	}
	if k.Keyed {
		r.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	if k.Prefixes > 0 {
		r.Prefix = fmt.Sprintf("%s-%d", k.Call, rng.IntN(k.Prefixes))
	}
	return r
}
