// Package schema holds the types of a deployment's schema: regions, pools,
// pipelines with their stages, calls and customers. It parses and validates
// them without I/O.
package schema

import "time"

// Kind is the kind of the backend servers of a pool.
type Kind string

// The kinds of backend servers.
const (
	KindEngine    Kind = "engine"
	KindEncoder   Kind = "encoder"
	KindRetriever Kind = "retriever"
	KindReranker  Kind = "reranker"
	KindService   Kind = "service"
)

// Duration is a time.Duration written as text, such as "3s".
type Duration time.Duration

// MarshalText writes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads Go's notation.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Schema is the whole configuration of a deployment. Lists are kept sorted by
// name by Normalize.
type Schema struct {
	Regions   []Region   `toml:"region" json:"region"`
	Pools     []Pool     `toml:"pool" json:"pool"`
	Pipelines []Pipeline `toml:"pipeline" json:"pipeline"`
	Calls     []Call     `toml:"call" json:"call"`
	Customers []Customer `toml:"customer" json:"customer"`
	Limits    Limits     `toml:"limits" json:"limits"`
}

// Region is a region with its availability zones.
type Region struct {
	Name string `toml:"name" json:"name"`
	// Zones names the availability zones.
	Zones []string `toml:"zones" json:"zones"`
}

// Pool is a set of backend servers of one kind.
type Pool struct {
	Name string `toml:"name" json:"name"`
	Kind Kind   `toml:"kind" json:"kind"`
	// Concurrency is the greatest number of calls at one server at a time.
	Concurrency int `toml:"concurrency" json:"concurrency"`
	// Queue is the greatest number of calls waiting at one agent.
	Queue int `toml:"queue" json:"queue"`
	// Fencing tells whether the servers refuse orders with an old fencing number.
	Fencing bool `toml:"fencing" json:"fencing"`
	// Models names the models that servers of the pool may load.
	Models []string `toml:"models" json:"models"`
}

// Stage is one step of a pipeline.
type Stage struct {
	Name string `toml:"name" json:"name"`
	Pool string `toml:"pool" json:"pool"`
	// Call is the name of the call at the server.
	Call string `toml:"call" json:"call"`
	// Idempotent tells whether the call may be repeated.
	Idempotent bool `toml:"idempotent" json:"idempotent"`
	// Model is the model to run; only for engines.
	Model string `toml:"model" json:"model,omitempty"`
	// MaxTokens bounds the generation; only for engines.
	MaxTokens int `toml:"max_tokens" json:"max_tokens,omitempty"`
	// Answer tells whether the result is part of the caller's answer.
	Answer bool `toml:"answer" json:"answer"`
	// Typical is the expected time of the stage without load, used until
	// measurements exist.
	Typical Duration `toml:"typical" json:"typical"`
}

// Pipeline is an ordered list of stages; each gets the result of the one before.
type Pipeline struct {
	Name   string  `toml:"name" json:"name"`
	Stages []Stage `toml:"stage" json:"stage"`
}

// Call is what callers invoke.
type Call struct {
	Name     string `toml:"name" json:"name"`
	Pipeline string `toml:"pipeline" json:"pipeline"`
	// Deadline applies when the caller sends none, and bounds what it may send.
	Deadline Duration `toml:"deadline" json:"deadline"`
	// MaxBody is the greatest size of a body in bytes.
	MaxBody int64 `toml:"max_body_bytes" json:"max_body_bytes"`
	// MaxAnswer is the greatest size of an answer in bytes.
	MaxAnswer int64 `toml:"max_answer_bytes" json:"max_answer_bytes"`
	// KeyRequired refuses requests without an Idempotency-Key.
	KeyRequired bool `toml:"key_required" json:"key_required"`
	// Objective is the attainment objective, such as 0.99.
	Objective float64 `toml:"objective" json:"objective"`
}

// Customer is a caller with a share of the capacity.
type Customer struct {
	Name string `toml:"name" json:"name"`
	// KeySHA256 is the hash of the customer's key in hexadecimal.
	KeySHA256 string `toml:"key_sha256" json:"key_sha256"`
	// Weight is the customer's share relative to the others.
	Weight int `toml:"weight" json:"weight"`
	// RatePerSecond bounds the requests over all entries; 0 is no bound.
	RatePerSecond float64 `toml:"rate_per_second" json:"rate_per_second,omitempty"`
	// Calls names the calls the customer may invoke; empty allows all.
	Calls []string `toml:"calls" json:"calls,omitempty"`
}

// Limits bounds what the deployment keeps.
type Limits struct {
	// KeyValidity is how long an idempotency key is honoured.
	KeyValidity Duration `toml:"key_validity" json:"key_validity"`
	// KeySkew is the clock difference allowed for keys.
	KeySkew Duration `toml:"key_skew" json:"key_skew"`
	// ResultRetention is how long an unacknowledged result is kept.
	ResultRetention Duration `toml:"result_retention" json:"result_retention"`
	// ReferenceBytes is the size over which a stage result stays at its agent.
	ReferenceBytes int64 `toml:"reference_bytes" json:"reference_bytes"`
	// RetryShare is the share of added load that retries and hedges may make.
	RetryShare float64 `toml:"retry_share" json:"retry_share"`
}

// Pool returns the pool of that name, or nil.
func (s *Schema) Pool(name string) *Pool {
	return find(s.Pools, func(p *Pool) bool { return p.Name == name })
}

// Pipeline returns the pipeline of that name, or nil.
func (s *Schema) Pipeline(name string) *Pipeline {
	return find(s.Pipelines, func(p *Pipeline) bool { return p.Name == name })
}

// Call returns the call of that name, or nil.
func (s *Schema) Call(name string) *Call {
	return find(s.Calls, func(c *Call) bool { return c.Name == name })
}

// Customer returns the customer of that name, or nil.
func (s *Schema) Customer(name string) *Customer {
	return find(s.Customers, func(c *Customer) bool { return c.Name == name })
}

func find[T any](list []T, match func(*T) bool) *T {
	for i := range list {
		if match(&list[i]) {
			return &list[i]
		}
	}
	return nil
}
