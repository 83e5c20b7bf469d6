package settings

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/admission"
	"github.com/magnoliawheel/magnoliawheel/core/retry"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (e *Entry) fill(path string) {
	e.Security.resolve(path)
	setDefault(&e.Log.Level, "info")
	setDefault(&e.Policy.Routing, routing.LeastFinish)
	setDefault(&e.Policy.Admission, admission.Feasible)
	setDefault(&e.Policy.Retry, retry.Budgeted)
	setDefault(&e.Policy.Hedge, "late-quantile")
	setDefault(&e.Policy.Payloads, "reference")
	l := &e.Limits
	setDefault(&l.Requests, 2048)
	setDefault(&l.HeaderBytes, 16<<10)
	setDefault(&l.ReadTimeout, schema.Duration(10*time.Second))
	setDefault(&l.WriteTimeout, schema.Duration(10*time.Second))
	setDefault(&l.DrainLag, schema.Duration(2*time.Second))
	setDefault(&l.KeepAnswers, schema.Duration(30*time.Second))
	setDefault(&l.AnswerMemory, 64<<20)
	setDefault(&l.SubsetServers, 24)
}

func (e *Entry) check() schema.ValidationErrors {
	c := &checker{}
	c.common(e.Instance, e.Platform, e.Security, e.Log)
	c.address("listen.callers", e.Listen.Callers)
	c.address("listen.peers", e.Listen.Peers)
	c.address("listen.admin", e.Listen.Admin)
	c.oneOf("policy.routing", string(e.Policy.Routing), string(routing.LeastFinish), string(routing.RoundRobin))
	c.oneOf("policy.admission", string(e.Policy.Admission), string(admission.Feasible), string(admission.AdmitAll))
	c.oneOf("policy.retry", string(e.Policy.Retry), string(retry.Budgeted), string(retry.ThreeTimes))
	c.oneOf("policy.hedge", e.Policy.Hedge, "late-quantile", "off")
	c.oneOf("policy.payloads", e.Policy.Payloads, "reference", "through-entry")
	l := e.Limits
	c.positive("limits.requests", int64(l.Requests))
	c.positive("limits.header_bytes", int64(l.HeaderBytes))
	c.positive("limits.read_timeout", int64(l.ReadTimeout))
	c.positive("limits.write_timeout", int64(l.WriteTimeout))
	c.positive("limits.drain_lag", int64(l.DrainLag))
	c.positive("limits.keep_answers", int64(l.KeepAnswers))
	c.positive("limits.answer_memory_bytes", l.AnswerMemory)
	c.positive("limits.subset_servers", int64(l.SubsetServers))
	return c.list
}

func (a *Agent) fill(path string) {
	a.Security.resolve(path)
	setDefault(&a.Log.Level, "info")
	setDefault(&a.Limits.KeptBytes, 32<<20)
	setDefault(&a.Limits.DrainGrace, schema.Duration(30*time.Second))
	setDefault(&a.Limits.Queue, "fair")
}

func (a *Agent) check() schema.ValidationErrors {
	c := &checker{}
	c.common(a.Instance, a.Platform, a.Security, a.Log)
	c.address("listen.peers", a.Listen.Peers)
	c.address("listen.admin", a.Listen.Admin)
	c.present("server.pool", a.Server.Pool)
	c.url("server.url", a.Server.URL)
	c.positive("limits.kept_bytes", a.Limits.KeptBytes)
	c.positive("limits.drain_grace", int64(a.Limits.DrainGrace))
	c.oneOf("limits.queue", a.Limits.Queue, "fair", "fifo")
	if a.Experiment.RegionDelay < 0 {
		c.add("experiment.region_delay", "a value of at least 0 is needed")
	}
	return c.list
}

func (c *checker) positive(place string, value int64) {
	if value <= 0 {
		c.add(place, "a value over 0 is needed")
	}
}
