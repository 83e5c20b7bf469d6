// Package schema defines the configuration of a deployment: regions, pools of
// backend servers, pipelines of stages, calls, customers and limits. It parses
// and validates the configuration and does no I/O.
package schema

import "time"

// Kind is the kind of backend server that a pool consists of.
type Kind string

// The kinds of backend servers.
const (
	KindEngine    Kind = "engine"
	KindEncoder   Kind = "encoder"
	KindRetriever Kind = "retriever"
	KindReranker  Kind = "reranker"
	KindService   Kind = "service"
)

// Duration is a time.Duration that is encoded as text, such as "3s".
type Duration time.Duration

// MarshalText encodes the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText decodes the format accepted by time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// Schema is the complete configuration of a deployment. Normalize sorts its
// lists by name.
type Schema struct {
	Regions   []Region   `toml:"region" json:"region"`
	Pools     []Pool     `toml:"pool" json:"pool"`
	Pipelines []Pipeline `toml:"pipeline" json:"pipeline"`
	Calls     []Call     `toml:"call" json:"call"`
	Customers []Customer `toml:"customer" json:"customer"`
	Limits    Limits     `toml:"limits" json:"limits"`
}

// Region declares a region and its availability zones.
type Region struct {
	Name string `toml:"name" json:"name"`
	// Zones are the names of the availability zones.
	Zones []string `toml:"zones" json:"zones"`
}

// Pool is a set of backend servers of one kind.
type Pool struct {
	Name string `toml:"name" json:"name"`
	Kind Kind   `toml:"kind" json:"kind"`
	// ConcurrencyLimit is the maximum number of concurrent calls to one server.
	ConcurrencyLimit int `toml:"concurrency" json:"concurrency"`
	// QueueLimit is the maximum number of calls queued at one agent.
	QueueLimit int `toml:"queue" json:"queue"`
	// Fencing is true if the servers reject orders with an outdated fencing number.
	Fencing bool `toml:"fencing" json:"fencing"`
	// Models are the names of the models that servers of the pool may load.
	Models []string `toml:"models" json:"models"`
}

// Stage is one step of a pipeline.
type Stage struct {
	Name string `toml:"name" json:"name"`
	Pool string `toml:"pool" json:"pool"`
	// ServerCall is the name of the operation to invoke on the server.
	ServerCall string `toml:"call" json:"call"`
	// Idempotent is true if the call can be repeated safely.
	Idempotent bool `toml:"idempotent" json:"idempotent"`
	// Model is the model to run; set only for pools of kind engine.
	Model string `toml:"model" json:"model,omitempty"`
	// MaxTokens limits the number of generated tokens; set only for pools of kind
	// engine.
	MaxTokens int `toml:"max_tokens" json:"max_tokens,omitempty"`
	// InAnswer is true if the stage's result is part of the answer to the caller.
	InAnswer bool `toml:"answer" json:"answer"`
	// TypicalDuration is the expected duration of the stage without load. It is
	// used until measurements exist.
	TypicalDuration Duration `toml:"typical" json:"typical"`
}

// Pipeline is a sequence of stages. Each stage receives the result of the
// previous one.
type Pipeline struct {
	Name   string  `toml:"name" json:"name"`
	Stages []Stage `toml:"stage" json:"stage"`
}

// Call is an operation that customers invoke. It runs one pipeline.
type Call struct {
	Name     string `toml:"name" json:"name"`
	Pipeline string `toml:"pipeline" json:"pipeline"`
	// Deadline applies to requests without a deadline. It is also the longest deadline
	// that a caller may set.
	Deadline Duration `toml:"deadline" json:"deadline"`
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `toml:"max_body_bytes" json:"max_body_bytes"`
	// MaxAnswerBytes is the maximum size of an answer.
	MaxAnswerBytes int64 `toml:"max_answer_bytes" json:"max_answer_bytes"`
	// KeyRequired makes the Idempotency-Key header mandatory.
	KeyRequired bool `toml:"key_required" json:"key_required"`
	// Objective is the service-level objective: the fraction of requests to be
	// answered within their deadline, such as 0.99.
	Objective float64 `toml:"objective" json:"objective"`
}

// Customer is a caller with a weighted share of the capacity.
type Customer struct {
	Name string `toml:"name" json:"name"`
	// KeySHA256 is the hexadecimal SHA-256 hash of the customer's key.
	KeySHA256 string `toml:"key_sha256" json:"key_sha256"`
	// Weight is the customer's share relative to those of the other customers.
	Weight int `toml:"weight" json:"weight"`
	// RatePerSecond limits the requests across all entries; 0 means no limit.
	RatePerSecond float64 `toml:"rate_per_second" json:"rate_per_second,omitempty"`
	// Calls are the names of the calls that the customer may invoke; empty means
	// all calls.
	Calls []string `toml:"calls" json:"calls,omitempty"`
}

// Limits holds the deployment-wide retention periods and limits.
type Limits struct {
	// KeyValidity is how long an idempotency key is valid.
	KeyValidity Duration `toml:"key_validity" json:"key_validity"`
	// MaxKeySkew is the maximum clock skew tolerated when the timestamp of a key is
	// checked.
	MaxKeySkew Duration `toml:"key_skew" json:"key_skew"`
	// ResultRetention is how long an unacknowledged result is kept.
	ResultRetention Duration `toml:"result_retention" json:"result_retention"`
	// ReferenceThresholdBytes is the size above which a stage's result stays at its
	// agent and is passed on by reference.
	ReferenceThresholdBytes int64 `toml:"reference_bytes" json:"reference_bytes"`
	// RetryShare is the number of retries and hedges that each first attempt adds to
	// the retry budget.
	RetryShare *float64 `toml:"retry_share" json:"retry_share"`
}

// Pool returns the pool with the given name, or nil.
func (s *Schema) Pool(name string) *Pool {
	return find(s.Pools, func(p *Pool) bool { return p.Name == name })
}

// Pipeline returns the pipeline with the given name, or nil.
func (s *Schema) Pipeline(name string) *Pipeline {
	return find(s.Pipelines, func(p *Pipeline) bool { return p.Name == name })
}

// Call returns the call with the given name, or nil.
func (s *Schema) Call(name string) *Call {
	return find(s.Calls, func(c *Call) bool { return c.Name == name })
}

// Customer returns the customer with the given name, or nil.
func (s *Schema) Customer(name string) *Customer {
	return find(s.Customers, func(c *Customer) bool { return c.Name == name })
}

// find returns the first element that matches, or nil.
func find[T any](list []T, match func(*T) bool) *T {
	for i := range list {
		if match(&list[i]) {
			return &list[i]
		}
	}
	return nil
}
