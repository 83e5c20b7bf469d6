// Package load sends open-loop load to entries, verifies every answer, and reports
// latencies and outcomes.
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

// Trace describes the arrival rates and the mix of requests of a load.
type Trace struct {
	// Seed makes the arrival times and the choice of requests reproducible.
	Seed   uint64        `toml:"seed"`
	Phases []Phase       `toml:"phase"`
	Mix    []RequestKind `toml:"mix"`
}

// Phase is a part of the load with an arrival rate that changes linearly.
type Phase struct {
	Duration schema.Duration `toml:"duration"`
	// Rate is the number of arrivals per second at the start.
	Rate float64 `toml:"rate"`
	// RateEnd is the number of arrivals per second at the end; 0 means a constant Rate.
	RateEnd float64 `toml:"rate_end"`
}

// RequestKind describes one kind of request in the mix.
type RequestKind struct {
	Call     string `toml:"call"`
	Customer string `toml:"customer"`
	// CustomerKey is the customer's key; empty means the customer's name followed by
	// "-key".
	CustomerKey string `toml:"key"`
	// Weight is the frequency of this kind relative to the others.
	Weight float64 `toml:"weight"`
	// SendIdempotencyKey sends a new Idempotency-Key with each request.
	SendIdempotencyKey bool `toml:"keyed"`
	// Stream requests the answer as an event stream.
	Stream bool `toml:"stream"`
	// Timeout is sent as Request-Timeout; 0 sends none.
	Timeout schema.Duration `toml:"timeout"`
	// PaddingBytes is the amount of padding that stand-ins add to stage results.
	// MaxTokens limits the tokens that they generate.
	PaddingBytes int `toml:"size"`
	MaxTokens    int `toml:"tokens"`
	// PrefixCount is the number of prompt prefixes among which each request picks one; 0
	// sends none.
	PrefixCount int `toml:"prefixes"`
}

// Request is one request to send.
type Request struct {
	// ScheduledAt is the time from the start of the load at which the request is sent.
	ScheduledAt time.Duration
	// Nonce is unique. It is sent in the body, and each stage result must contain it.
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

// maxRequests is the maximum number of requests of a trace.
const maxRequests = 10_000_000

// ReadTraceFile reads and validates a trace file.
func ReadTraceFile(path string) (*Trace, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read trace file")
	}
	t := &Trace{}
	if m := schema.Decode(text, t); len(m) > 0 {
		return nil, m
	}
	return t, t.Validate()
}

// Validate returns an error for the first invalid value of the trace.
func (t *Trace) Validate() error {
	if len(t.Phases) == 0 || len(t.Mix) == 0 {
		return errors.New("a trace needs at least one phase and one mix element")
	}
	expected := 0.0
	for i, p := range t.Phases {
		if p.Duration <= 0 || p.Rate < 0 || p.RateEnd < 0 {
			return errors.Newf("phase %d: the duration must be greater than 0 and the rates at least 0", i+1)
		}
		expected += p.Duration.AsDuration().Seconds() * max(p.Rate, p.RateEnd)
	}
	if expected > maxRequests {
		return errors.Newf("the trace has more than %d requests", maxRequests)
	}
	for i, k := range t.Mix {
		if k.Call == "" || k.Customer == "" || k.Weight <= 0 {
			return errors.Newf("mix element %d: a call, a customer and a weight greater than 0 are required", i+1)
		}
	}
	return nil
}

// Requests returns the requests in order of arrival. Their nonces start with noncePrefix.
func (t *Trace) Requests(noncePrefix string) []Request {
	rng := rand.New(rand.NewPCG(t.Seed, t.Seed^0x9e3779b97f4a7c15))
	var out []Request
	var start time.Duration
	for _, p := range t.Phases {
		for at := p.nextArrival(0, rng); at < p.Duration.AsDuration(); at = p.nextArrival(at, rng) {
			k := t.pickKind(rng)
			out = append(out, k.newRequest(noncePrefix, len(out), start+at, rng))
		}
		start += p.Duration.AsDuration()
	}
	return out
}

// nextArrival returns the time of the arrival that follows at, in a Poisson process with
// the rate at that time. While the rate is 0, it advances by a hundredth of the phase.
func (p Phase) nextArrival(at time.Duration, rng *rand.Rand) time.Duration {
	rate := p.Rate
	if p.RateEnd > 0 {
		rate += (p.RateEnd - p.Rate) * at.Seconds() / p.Duration.AsDuration().Seconds()
	}
	if rate <= 0 {
		return at + p.Duration.AsDuration()/100
	}
	return at + time.Duration(rng.ExpFloat64()/rate*float64(time.Second))
}

func (t *Trace) pickKind(rng *rand.Rand) *RequestKind {
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

func (k *RequestKind) newRequest(noncePrefix string, index int, at time.Duration, rng *rand.Rand) Request {
	nonce := fmt.Sprintf("%s-%07d", noncePrefix, index)
	r := Request{
		ScheduledAt: at, Nonce: nonce, Call: k.Call, Customer: k.Customer, CustomerKey: k.CustomerKey,
		Stream: k.Stream, Timeout: k.Timeout.AsDuration(),
		Body: fmt.Appendf(nil, `{"nonce":%q,"size":%d,"tokens":%d}`, nonce, k.PaddingBytes, k.MaxTokens),
	}
	if r.CustomerKey == "" {
		r.CustomerKey = k.Customer + "-key"
	}
	if k.SendIdempotencyKey {
		r.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	if k.PrefixCount > 0 {
		r.Prefix = fmt.Sprintf("%s-%d", k.Call, rng.IntN(k.PrefixCount))
	}
	return r
}
