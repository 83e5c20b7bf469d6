package settings

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/admission"
	"github.com/magnoliawheel/magnoliawheel/core/retry"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// setDefault sets a field that has the zero value of its type.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// applyDefaults sets the fields that are zero and resolves the paths of files. path is
// that of the settings file.
func (e *Entry) applyDefaults(path string) {
	e.Security.resolvePaths(path)
	setDefault(&e.Log.Level, "info")
	setDefault(&e.Policy.Routing, routing.LeastFinish)
	setDefault(&e.Policy.Admission, admission.Feasible)
	setDefault(&e.Policy.Retry, retry.Budgeted)
	setDefault(&e.Policy.Hedge, "late-quantile")
	setDefault(&e.Policy.PayloadTransfer, "reference")
	l := &e.Limits
	setDefault(&l.MaxRequests, 2048)
	setDefault(&l.MaxHeaderBytes, 16<<10)
	setDefault(&l.ReadTimeout, schema.Duration(10*time.Second))
	setDefault(&l.WriteTimeout, schema.Duration(10*time.Second))
	setDefault(&l.DrainDelay, schema.Duration(2*time.Second))
	setDefault(&l.AnswerRetention, schema.Duration(30*time.Second))
	setDefault(&l.AnswerMemoryBytes, 64<<20)
	setDefault(&l.SubsetSize, 24)
	setDefault(&l.MaxConnections, 4096)
	setDefault(&l.ConnectionMemoryBytes, 64<<20)
	setDefault(&l.BodyMemoryBytes, 32<<20)
}

func (e *Entry) validate() schema.ValidationErrors {
	c := &checker{}
	c.checkCommon(e.Instance, e.Platform, e.Security, e.Log)
	c.checkAddress("listen.callers", e.Listen.Callers)
	c.checkAddress("listen.peers", e.Listen.Peers)
	c.checkAddress("listen.admin", e.Listen.Admin)
	c.checkOneOf("policy.routing", string(e.Policy.Routing), string(routing.LeastFinish), string(routing.RoundRobin))
	c.checkOneOf("policy.admission", string(e.Policy.Admission), string(admission.Feasible), string(admission.AdmitAll))
	c.checkOneOf("policy.retry", string(e.Policy.Retry), string(retry.Budgeted), string(retry.ThreeTimes))
	c.checkOneOf("policy.hedge", e.Policy.Hedge, "late-quantile", "off")
	c.checkOneOf("policy.payloads", e.Policy.PayloadTransfer, "reference", "through-entry")
	l := e.Limits
	c.checkPositive("limits.requests", int64(l.MaxRequests))
	c.checkPositive("limits.header_bytes", int64(l.MaxHeaderBytes))
	c.checkPositive("limits.read_timeout", int64(l.ReadTimeout))
	c.checkPositive("limits.write_timeout", int64(l.WriteTimeout))
	c.checkPositive("limits.drain_lag", int64(l.DrainDelay))
	c.checkPositive("limits.keep_answers", int64(l.AnswerRetention))
	c.checkPositive("limits.answer_memory_bytes", l.AnswerMemoryBytes)
	c.checkPositive("limits.subset_servers", int64(l.SubsetSize))
	c.checkPositive("limits.connections", int64(l.MaxConnections))
	c.checkPositive("limits.connection_memory_bytes", l.ConnectionMemoryBytes)
	c.checkPositive("limits.body_memory_bytes", l.BodyMemoryBytes)
	return c.errs
}

// applyDefaults sets the fields that are zero and resolves the paths of files. path is
// that of the settings file.
func (a *Agent) applyDefaults(path string) {
	a.Security.resolvePaths(path)
	setDefault(&a.Log.Level, "info")
	setDefault(&a.Limits.KeptBytes, 32<<20)
	setDefault(&a.Limits.DrainGracePeriod, schema.Duration(30*time.Second))
	setDefault(&a.Limits.QueuePolicy, "fair")
}

func (a *Agent) validate() schema.ValidationErrors {
	c := &checker{}
	c.checkCommon(a.Instance, a.Platform, a.Security, a.Log)
	c.checkAddress("listen.peers", a.Listen.Peers)
	c.checkAddress("listen.admin", a.Listen.Admin)
	c.checkRequired("server.pool", a.Server.Pool)
	c.checkURL("server.url", a.Server.URL)
	c.checkPositive("limits.kept_bytes", a.Limits.KeptBytes)
	c.checkPositive("limits.drain_grace", int64(a.Limits.DrainGracePeriod))
	c.checkOneOf("limits.queue", a.Limits.QueuePolicy, "fair", "fifo")
	if a.Experiment.RegionDelay < 0 {
		c.add("experiment.region_delay", "a value of at least 0 is needed")
	}
	return c.errs
}

func (c *checker) checkPositive(path string, value int64) {
	if value <= 0 {
		c.add(path, "a value over 0 is needed")
	}
}
