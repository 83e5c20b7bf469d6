package schema

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Bounds of a valid schema.
const (
	MaxStages      = 16
	MaxConcurrency = 4096
	MaxQueue       = 65536
	MaxDeadline    = 10 * time.Minute
	MaxBodyBytes   = 16 << 20
	MaxAnswerBytes = 64 << 20
	MaxWeight      = 1000
	MaxValidity    = 24 * time.Hour
	MaxRate        = 1e6
	MaxModelBytes  = 128
)

var (
	nameRule = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	// callRule is for the names of calls at servers, which are parts of a URL.
	callRule = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
)

// Mistake is one fault of a schema or settings file.
type Mistake struct {
	// Line is 1-based; 0 if it is not known.
	Line int `json:"line,omitempty"`
	// Place is the path of the key, such as pool.encoders.concurrency.
	Place string `json:"place"`
	// Reason says what is wrong and what is allowed.
	Reason string `json:"reason"`
}

// String formats the mistake on one line.
func (m Mistake) String() string {
	if m.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", m.Line, m.Place, m.Reason)
	}
	return m.Place + ": " + m.Reason
}

// Mistakes is a non-empty list of faults.
type Mistakes []Mistake

// Error joins all mistakes, one a line.
func (m Mistakes) Error() string {
	lines := make([]string, len(m))
	for i := range m {
		lines[i] = m[i].String()
	}
	return strings.Join(lines, "\n")
}

// Parse reads a schema in TOML and validates it whole. Unknown keys are
// mistakes. The error is Mistakes.
func Parse(text []byte) (*Schema, error) {
	s := &Schema{}
	if m := Decode(text, s); len(m) > 0 {
		return nil, m
	}
	s.Normalize()
	if m := s.Validate(); len(m) > 0 {
		return nil, m
	}
	return s, nil
}

// Decode reads TOML into v. Unknown keys are mistakes with their line.
func Decode(text []byte, v any) Mistakes {
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeMistakes(err)
	}
	return nil
}

func decodeMistakes(err error) Mistakes {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var list Mistakes
		for i := range strict.Errors {
			line, _ := strict.Errors[i].Position()
			list = append(list, Mistake{Line: line, Place: strings.Join(strict.Errors[i].Key(), "."), Reason: "unknown key"})
		}
		return list
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		line, _ := dec.Position()
		return Mistakes{{Line: line, Place: strings.Join(dec.Key(), "."), Reason: dec.Error()}}
	}
	return Mistakes{{Place: "schema", Reason: err.Error()}}
}

// Normalize sorts the lists by name and fills in defaults.
func (s *Schema) Normalize() {
	sort.SliceStable(s.Regions, func(i, j int) bool { return s.Regions[i].Name < s.Regions[j].Name })
	sort.SliceStable(s.Pools, func(i, j int) bool { return s.Pools[i].Name < s.Pools[j].Name })
	sort.SliceStable(s.Pipelines, func(i, j int) bool { return s.Pipelines[i].Name < s.Pipelines[j].Name })
	sort.SliceStable(s.Calls, func(i, j int) bool { return s.Calls[i].Name < s.Calls[j].Name })
	sort.SliceStable(s.Customers, func(i, j int) bool { return s.Customers[i].Name < s.Customers[j].Name })
	s.Limits.Normalize()
	for i := range s.Pools {
		s.Pools[i].Normalize()
	}
	for i := range s.Calls {
		s.Calls[i].Normalize()
	}
}

// Normalize fills in defaults.
func (l *Limits) Normalize() {
	setDefault(&l.KeyValidity, Duration(10*time.Minute))
	setDefault(&l.KeySkew, Duration(5*time.Second))
	setDefault(&l.ResultRetention, Duration(30*time.Second))
	setDefault(&l.ReferenceBytes, 64<<10)
	setDefault(&l.RetryShare, 0.1)
}

// Normalize gives an empty list the form of an absent one.
func (p *Pool) Normalize() {
	if len(p.Models) == 0 {
		p.Models = nil
	}
}

// Normalize fills in defaults.
func (c *Call) Normalize() {
	setDefault(&c.MaxBody, 1<<20)
	setDefault(&c.MaxAnswer, 4<<20)
	setDefault(&c.Objective, 0.99)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate lists every mistake; the result is empty for a valid schema.
func (s *Schema) Validate() Mistakes {
	c := &checker{s: s}
	c.regions()
	c.pools()
	c.pipelines()
	c.calls()
	c.customers()
	c.limits()
	return c.list
}

type checker struct {
	s    *Schema
	list Mistakes
}

func (c *checker) add(place, format string, args ...any) {
	c.list = append(c.list, Mistake{Place: place, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) name(seen map[string]bool, kind, name string) string {
	place := kind + "." + name
	if !nameRule.MatchString(name) {
		c.add(place, "a name has 1 to 63 lower-case letters, digits or hyphens")
	}
	if seen[name] {
		c.add(place, "the name is declared twice")
	}
	seen[name] = true
	return place
}

func (c *checker) number(place string, value, least, most int64) {
	if value < least || value > most {
		c.add(place, "%d is not between %d and %d", value, least, most)
	}
}

func (c *checker) duration(place string, value Duration, most time.Duration) {
	if value <= 0 || value.Std() > most {
		c.add(place, "%s is not over 0s and up to %s", value.Std(), most)
	}
}

func (c *checker) regions() {
	seen, zones := map[string]bool{}, map[string]bool{}
	for _, r := range c.s.Regions {
		place := c.name(seen, "region", r.Name)
		if len(r.Zones) == 0 {
			c.add(place+".zones", "a region has at least one availability zone")
		}
		for _, z := range r.Zones {
			c.name(zones, "zone", z)
		}
	}
}

func (c *checker) pools() {
	seen := map[string]bool{}
	for i := range c.s.Pools {
		p := &c.s.Pools[i]
		place := c.name(seen, "pool", p.Name)
		switch p.Kind {
		case KindEngine, KindEncoder, KindRetriever, KindReranker, KindService:
		default:
			c.add(place+".kind", "%q is not engine, encoder, retriever, reranker or service", p.Kind)
		}
		c.number(place+".concurrency", int64(p.Concurrency), 1, MaxConcurrency)
		c.number(place+".queue", int64(p.Queue), 1, MaxQueue)
		c.models(place, p.Models)
		if len(p.Models) > 0 && p.Kind != KindEngine {
			c.add(place+".models", "only a pool of kind engine has models")
		}
	}
}

func (c *checker) models(pool string, list []string) {
	for i, name := range list {
		if name == "" || len(name) > MaxModelBytes {
			c.add(pool+".models", "the name of a model has 1 to %d bytes", MaxModelBytes)
		}
		if slices.Contains(list[:i], name) {
			c.add(pool+".models", "%q is named twice", name)
		}
	}
}

func (c *checker) pipelines() {
	seen := map[string]bool{}
	for i := range c.s.Pipelines {
		p := &c.s.Pipelines[i]
		place := c.name(seen, "pipeline", p.Name)
		if len(p.Stages) < 1 || len(p.Stages) > MaxStages {
			c.add(place+".stage", "a pipeline has 1 to %d stages, not %d", MaxStages, len(p.Stages))
		}
		stages, answers := map[string]bool{}, 0
		for j := range p.Stages {
			c.stage(place, stages, &p.Stages[j])
			if p.Stages[j].Answer {
				answers++
			}
		}
		if answers == 0 && len(p.Stages) > 0 {
			c.add(place, "at least one stage has answer = true")
		}
	}
}

func (c *checker) stage(pipeline string, seen map[string]bool, st *Stage) {
	place := c.name(seen, pipeline+".stage", st.Name)
	pool := c.s.Pool(st.Pool)
	if pool == nil {
		c.add(place+".pool", "%q is not a declared pool", st.Pool)
		return
	}
	if !callRule.MatchString(st.Call) {
		c.add(place+".call", "a call has 1 to 63 letters, digits, dots, underscores or hyphens")
	}
	c.duration(place+".typical", st.Typical, MaxDeadline)
	if pool.Kind != KindEngine {
		if st.Model != "" || st.MaxTokens != 0 {
			c.add(place, "model and max_tokens are only for pools of kind engine")
		}
		return
	}
	if !slices.Contains(pool.Models, st.Model) {
		c.add(place+".model", "%q is not among the models of pool %s", st.Model, pool.Name)
	}
	c.number(place+".max_tokens", int64(st.MaxTokens), 1, 1<<20)
}

func (c *checker) calls() {
	seen := map[string]bool{}
	for i := range c.s.Calls {
		call := &c.s.Calls[i]
		place := c.name(seen, "call", call.Name)
		c.duration(place+".deadline", call.Deadline, MaxDeadline)
		c.number(place+".max_body_bytes", call.MaxBody, 1, MaxBodyBytes)
		c.number(place+".max_answer_bytes", call.MaxAnswer, 1, MaxAnswerBytes)
		if !(call.Objective > 0 && call.Objective < 1) {
			c.add(place+".objective", "%g is not between 0 and 1", call.Objective)
		}
		p := c.s.Pipeline(call.Pipeline)
		if p == nil {
			c.add(place+".pipeline", "%q is not a declared pipeline", call.Pipeline)
			continue
		}
		if call.KeyRequired && !p.HasEffects() {
			c.add(place+".key_required", "pipeline %s has no stage with idempotent = false", p.Name)
		}
	}
}

func (c *checker) customers() {
	seen := map[string]bool{}
	for i := range c.s.Customers {
		cu := &c.s.Customers[i]
		place := c.name(seen, "customer", cu.Name)
		if b, err := hex.DecodeString(cu.KeySHA256); err != nil || len(b) != 32 {
			c.add(place+".key_sha256", "a SHA-256 has 64 hexadecimal digits")
		}
		c.number(place+".weight", int64(cu.Weight), 1, MaxWeight)
		if !(cu.RatePerSecond >= 0 && cu.RatePerSecond <= MaxRate) {
			c.add(place+".rate_per_second", "%g is not between 0 and %g", cu.RatePerSecond, MaxRate)
		}
		for _, name := range cu.Calls {
			if c.s.Call(name) == nil {
				c.add(place+".calls", "%q is not a declared call", name)
			}
		}
	}
}

func (c *checker) limits() {
	l := c.s.Limits
	c.duration("limits.key_validity", l.KeyValidity, MaxValidity)
	c.duration("limits.key_skew", l.KeySkew, time.Minute)
	c.duration("limits.result_retention", l.ResultRetention, MaxValidity)
	c.number("limits.reference_bytes", l.ReferenceBytes, 1, MaxBodyBytes)
	if !(l.RetryShare >= 0 && l.RetryShare <= 1) {
		c.add("limits.retry_share", "%g is not between 0 and 1", l.RetryShare)
	}
}

// HasEffects tells whether any stage is not idempotent.
func (p *Pipeline) HasEffects() bool {
	for i := range p.Stages {
		if !p.Stages[i].Idempotent {
			return true
		}
	}
	return false
}
