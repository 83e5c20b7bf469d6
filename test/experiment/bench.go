package main

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/test/harness"
	"github.com/magnoliawheel/magnoliawheel/test/standin/spec"
)

// The policies: the whole system, and the system with one or all decisions
// replaced by the baseline.
const (
	full         = "full"
	roundRobin   = "round-robin"
	everything   = "everything"
	threeTimes   = "three-times"
	noHedge      = "no-hedge"
	throughEntry = "through-entry"
	fifo         = "fifo"
	naive        = "naive"
)

// policy is the settings of the entries and the queue of the agents.
type policy struct {
	name, settings, queue string
}

var policies = []policy{
	{full, "", "fair"},
	{roundRobin, `routing = "round-robin"`, "fair"},
	{everything, `admission = "everything"`, "fair"},
	{threeTimes, `retry = "three-times"`, "fair"},
	{noHedge, `hedge = "off"`, "fair"},
	{throughEntry, `payloads = "through-entry"`, "fair"},
	{fifo, "", "fifo"},
	{naive, "routing = \"round-robin\"\nadmission = \"everything\"\nretry = \"three-times\"\nhedge = \"off\"\npayloads = \"through-entry\"", "fifo"},
}

var zones = []harness.Zone{{Name: "amman-1", Region: "amman"}, {Name: "aqaba-1", Region: "aqaba"}, {Name: "irbid-1", Region: "irbid"}}

// bench is the running deployments, one for each kind of queue. The entries of
// all policies share the agents of their deployment; only one policy is under
// load at a time.
type bench struct {
	deployments map[string]*deployment
	runs        int
}

type deployment struct {
	*harness.Deployment
	queue, dir string
	// policies lists the policies in the order of their entries.
	policies []policy
}

// neededAgents returns the policies that the cells use.
func neededAgents(cells []cell) []policy {
	var out []policy
	for _, p := range policies {
		if slices.ContainsFunc(cells, func(c cell) bool { return slices.Contains(c.policies, p.name) }) {
			out = append(out, p)
		}
	}
	return out
}

func startBench(ctx context.Context, bin harness.Binaries, dir string, needed []policy) (*bench, error) {
	root, err := harness.WorkspaceRoot()
	if err != nil {
		return nil, err
	}
	b := &bench{deployments: map[string]*deployment{}}
	for _, queue := range []string{"fair", "fifo"} {
		d := &deployment{queue: queue, dir: filepath.Join(dir, queue)}
		for _, p := range needed {
			if p.queue == queue {
				d.policies = append(d.policies, p)
			}
		}
		if len(d.policies) > 0 {
			b.deployments[queue] = d
		}
	}
	return b, b.start(ctx, bin, filepath.Join(root, "test", "experiment", "schema.toml"))
}

// start starts the deployments side by side.
func (b *bench) start(ctx context.Context, bin harness.Binaries, schema string) error {
	started := make(chan error, len(b.deployments))
	for _, d := range b.deployments {
		go func() {
			var err error
			d.Deployment, err = harness.Start(ctx, harness.Config{
				Name: d.queue, Binaries: bin, Dir: d.dir, SchemaFile: schema,
				Zones: zones, Entries: len(d.policies) * len(zones), Servers: servers(),
				PerEntrySettings: d.entrySettings,
				AgentSettings:    fmt.Sprintf("[limits]\nqueue = %q\n[experiment]\nregion_delay = %q\n", d.queue, regionDelay),
			})
			started <- err
		}()
	}
	var failed error
	for range b.deployments {
		failed = errors.Join(failed, <-started)
	}
	if failed != nil {
		b.stop()
	}
	return failed
}

func (b *bench) stop() {
	for _, d := range b.deployments {
		if d.Deployment != nil {
			d.Stop()
		}
	}
}

// entrySettings returns the settings of an entry; each policy has one in each zone.
func (d *deployment) entrySettings(i int) string {
	return "[policy]\n" + d.policies[i/len(zones)].settings + "\n"
}

// entries returns the entries of a policy.
func (d *deployment) entries(name string) []*harness.Instance {
	i := slices.IndexFunc(d.policies, func(p policy) bool { return p.name == name })
	return d.Entries[i*len(zones) : (i+1)*len(zones)]
}

func servers() []harness.Server {
	var out []harness.Server
	for i := range engines {
		out = append(out, harness.Server{
			Name: fmt.Sprintf("engines-%d", i+1), Pool: "engines", Zone: i % len(zones),
			Spec: spec.StandIn{
				Kind: "engine", ProcessingTimeMS: int(prefill / time.Millisecond), Slots: slots,
				TokensPerSecond: slots * streamRate, StreamTokensPerSecond: streamRate,
				Models: []string{"clause-7b", "fixings-1b"},
			},
		})
	}
	for _, plain := range [][2]string{{"encoders", "encoder"}, {"retrievers", "retriever"}, {"rerankers", "reranker"}, {"submittals", "service"}} {
		pool, kind := plain[0], plain[1]
		for i := range serversPerPlain {
			out = append(out, harness.Server{
				Name: fmt.Sprintf("%s-%d", pool, i+1), Pool: pool, Zone: i % len(zones),
				Spec: spec.StandIn{Kind: kind, ProcessingTimeMS: int(plainTime / time.Millisecond)},
			})
		}
	}
	return out
}
