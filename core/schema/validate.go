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

// Upper limits that Validate enforces.
const (
	MaxStages         = 16
	MaxConcurrency    = 4096
	MaxQueue          = 65536
	MaxDeadline       = 10 * time.Minute
	MaxBodyBytes      = 16 << 20
	MaxAnswerBytes    = 64 << 20
	MaxWeight         = 1000
	MaxRetention      = 24 * time.Hour
	MaxRatePerSecond  = 1e6
	MaxModelNameBytes = 128
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	// callNamePattern matches the names of server calls, which become part of a URL.
	callNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
)

// ValidationError describes one invalid value in a schema or settings file.
type ValidationError struct {
	// Line is the 1-based line number, or 0 if it is unknown.
	Line int `json:"line,omitempty"`
	// Path is the dotted path of the key, such as pool.encoders.concurrency.
	Path string `json:"place"`
	// Reason states what is wrong and which values are valid.
	Reason string `json:"reason"`
}

// String formats the error on one line.
func (e ValidationError) String() string {
	if e.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", e.Line, e.Path, e.Reason)
	}
	return e.Path + ": " + e.Reason
}

// ValidationErrors is a non-empty list of validation errors.
type ValidationErrors []ValidationError

// Error returns all validation errors, one per line.
func (e ValidationErrors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].String()
	}
	return strings.Join(lines, "\n")
}

// Parse decodes a schema from TOML, fills in defaults and validates it. Unknown
// keys are errors. A non-nil error is of type ValidationErrors.
func Parse(text []byte) (*Schema, error) {
	s := &Schema{}
	if errs := Decode(text, s); len(errs) > 0 {
		return nil, errs
	}
	s.Normalize()
	if errs := s.Validate(); len(errs) > 0 {
		return nil, errs
	}
	return s, nil
}

// Decode decodes TOML into v. Unknown keys are reported with their line.
func Decode(text []byte, v any) ValidationErrors {
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return toValidationErrors(err)
	}
	return nil
}

// toValidationErrors converts an error of the TOML decoder.
func toValidationErrors(err error) ValidationErrors {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var errs ValidationErrors
		for i := range strict.Errors {
			line, _ := strict.Errors[i].Position()
			errs = append(errs, ValidationError{Line: line, Path: strings.Join(strict.Errors[i].Key(), "."), Reason: "unknown key"})
		}
		return errs
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return ValidationErrors{{Line: line, Path: strings.Join(decodeErr.Key(), "."), Reason: decodeErr.Error()}}
	}
	return ValidationErrors{{Path: "schema", Reason: err.Error()}}
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

// defaultRetryShare is the number of retries per first attempt if the schema sets none.
const defaultRetryShare = 0.1

// Normalize sets the limits that are not set to their defaults.
func (l *Limits) Normalize() {
	setDefault(&l.KeyValidity, Duration(10*time.Minute))
	setDefault(&l.MaxKeySkew, Duration(5*time.Second))
	setDefault(&l.ResultRetention, Duration(30*time.Second))
	setDefault(&l.ReferenceThresholdBytes, 64<<10)
	setDefault(&l.RetryShare, new(defaultRetryShare))
}

// Normalize replaces an empty list of models by nil, so that both forms compare
// equal.
func (p *Pool) Normalize() {
	if len(p.Models) == 0 {
		p.Models = nil
	}
}

// Normalize sets the fields that are zero to their defaults.
func (c *Call) Normalize() {
	setDefault(&c.MaxBodyBytes, 1<<20)
	setDefault(&c.MaxAnswerBytes, 4<<20)
	setDefault(&c.Objective, 0.99)
}

// setDefault sets a field that is zero to value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns every error in the schema; the result is empty if it is valid.
func (s *Schema) Validate() ValidationErrors {
	c := &checker{schema: s}
	c.checkRegions()
	c.checkPools()
	c.checkPipelines()
	c.checkCalls()
	c.checkCustomers()
	c.checkLimits()
	return c.errs
}

// checker collects the validation errors of a schema.
type checker struct {
	schema *Schema
	errs   ValidationErrors
}

// add records a validation error for the value at path.
func (c *checker) add(path, format string, args ...any) {
	c.errs = append(c.errs, ValidationError{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// checkName checks the syntax and uniqueness of a name, adds it to seen and
// returns the path of the named object.
func (c *checker) checkName(seen map[string]bool, kind, name string) string {
	path := kind + "." + name
	if !namePattern.MatchString(name) {
		c.add(path, "a name has 1 to 63 lower-case letters, digits or hyphens")
	}
	if seen[name] {
		c.add(path, "the name is declared twice")
	}
	seen[name] = true
	return path
}

// checkRange checks that minimum <= value <= maximum.
func (c *checker) checkRange(path string, value, minimum, maximum int64) {
	if value < minimum || value > maximum {
		c.add(path, "%d is not between %d and %d", value, minimum, maximum)
	}
}

// checkDuration checks that a duration is positive and at most maximum.
func (c *checker) checkDuration(path string, value Duration, maximum time.Duration) {
	if value <= 0 || value.AsDuration() > maximum {
		c.add(path, "%s is not over 0s and up to %s", value.AsDuration(), maximum)
	}
}

func (c *checker) checkRegions() {
	seen, zones := map[string]bool{}, map[string]bool{}
	for _, r := range c.schema.Regions {
		path := c.checkName(seen, "region", r.Name)
		if len(r.Zones) == 0 {
			c.add(path+".zones", "a region has at least one availability zone")
		}
		for _, z := range r.Zones {
			c.checkName(zones, "zone", z)
		}
	}
}

func (c *checker) checkPools() {
	seen := map[string]bool{}
	for i := range c.schema.Pools {
		p := &c.schema.Pools[i]
		path := c.checkName(seen, "pool", p.Name)
		switch p.Kind {
		case KindEngine, KindEncoder, KindRetriever, KindReranker, KindService:
		default:
			c.add(path+".kind", "%q is not engine, encoder, retriever, reranker or service", p.Kind)
		}
		c.checkRange(path+".concurrency", int64(p.ConcurrencyLimit), 1, MaxConcurrency)
		c.checkRange(path+".queue", int64(p.QueueLimit), 1, MaxQueue)
		c.checkModels(path, p.Models)
		if len(p.Models) > 0 && p.Kind != KindEngine {
			c.add(path+".models", "only a pool of kind engine has models")
		}
	}
}

func (c *checker) checkModels(pool string, models []string) {
	for i, name := range models {
		if name == "" || len(name) > MaxModelNameBytes {
			c.add(pool+".models", "the name of a model has 1 to %d bytes", MaxModelNameBytes)
		}
		if slices.Contains(models[:i], name) {
			c.add(pool+".models", "%q is named twice", name)
		}
	}
}

func (c *checker) checkPipelines() {
	seen := map[string]bool{}
	for i := range c.schema.Pipelines {
		p := &c.schema.Pipelines[i]
		path := c.checkName(seen, "pipeline", p.Name)
		if len(p.Stages) < 1 || len(p.Stages) > MaxStages {
			c.add(path+".stage", "a pipeline has 1 to %d stages, not %d", MaxStages, len(p.Stages))
		}
		stages, answerStages := map[string]bool{}, 0
		for j := range p.Stages {
			c.checkStage(path, stages, &p.Stages[j])
			if p.Stages[j].InAnswer {
				answerStages++
			}
		}
		if answerStages == 0 && len(p.Stages) > 0 {
			c.add(path, "at least one stage has answer = true")
		}
	}
}

func (c *checker) checkStage(pipeline string, seen map[string]bool, stage *Stage) {
	path := c.checkName(seen, pipeline+".stage", stage.Name)
	pool := c.schema.Pool(stage.Pool)
	if pool == nil {
		c.add(path+".pool", "%q is not a declared pool", stage.Pool)
		return
	}
	if !callNamePattern.MatchString(stage.ServerCall) {
		c.add(path+".call", "a call has 1 to 63 letters, digits, dots, underscores or hyphens")
	}
	c.checkDuration(path+".typical", stage.TypicalDuration, MaxDeadline)
	if pool.Kind != KindEngine {
		if stage.Model != "" || stage.MaxTokens != 0 {
			c.add(path, "model and max_tokens are only for pools of kind engine")
		}
		return
	}
	if !slices.Contains(pool.Models, stage.Model) {
		c.add(path+".model", "%q is not among the models of pool %s", stage.Model, pool.Name)
	}
	c.checkRange(path+".max_tokens", int64(stage.MaxTokens), 1, 1<<20)
}

func (c *checker) checkCalls() {
	seen := map[string]bool{}
	for i := range c.schema.Calls {
		call := &c.schema.Calls[i]
		path := c.checkName(seen, "call", call.Name)
		c.checkDuration(path+".deadline", call.Deadline, MaxDeadline)
		c.checkRange(path+".max_body_bytes", call.MaxBodyBytes, 1, MaxBodyBytes)
		c.checkRange(path+".max_answer_bytes", call.MaxAnswerBytes, 1, MaxAnswerBytes)
		if !(call.Objective > 0 && call.Objective < 1) {
			c.add(path+".objective", "%g is not between 0 and 1", call.Objective)
		}
		p := c.schema.Pipeline(call.Pipeline)
		if p == nil {
			c.add(path+".pipeline", "%q is not a declared pipeline", call.Pipeline)
			continue
		}
		if call.KeyRequired && !p.HasSideEffects() {
			c.add(path+".key_required", "pipeline %s has no stage with idempotent = false", p.Name)
		}
	}
}

func (c *checker) checkCustomers() {
	seen := map[string]bool{}
	for i := range c.schema.Customers {
		customer := &c.schema.Customers[i]
		path := c.checkName(seen, "customer", customer.Name)
		if b, err := hex.DecodeString(customer.KeySHA256); err != nil || len(b) != 32 {
			c.add(path+".key_sha256", "a SHA-256 has 64 hexadecimal digits")
		}
		c.checkRange(path+".weight", int64(customer.Weight), 1, MaxWeight)
		if !(customer.RatePerSecond >= 0 && customer.RatePerSecond <= MaxRatePerSecond) {
			c.add(path+".rate_per_second", "%g is not between 0 and %g", customer.RatePerSecond, MaxRatePerSecond)
		}
		for _, name := range customer.Calls {
			if c.schema.Call(name) == nil {
				c.add(path+".calls", "%q is not a declared call", name)
			}
		}
	}
}

func (c *checker) checkLimits() {
	l := c.schema.Limits
	c.checkDuration("limits.key_validity", l.KeyValidity, MaxRetention)
	c.checkDuration("limits.key_skew", l.MaxKeySkew, time.Minute)
	c.checkDuration("limits.result_retention", l.ResultRetention, MaxRetention)
	c.checkRange("limits.reference_bytes", l.ReferenceThresholdBytes, 1, MaxBodyBytes)
	if s := l.RetryShare; s != nil && !(*s >= 0 && *s <= 1) {
		c.add("limits.retry_share", "%g is not between 0 and 1", *s)
	}
}

// HasSideEffects reports whether any stage is not idempotent.
func (p *Pipeline) HasSideEffects() bool {
	for i := range p.Stages {
		if !p.Stages[i].Idempotent {
			return true
		}
	}
	return false
}
