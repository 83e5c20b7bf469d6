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

// The names of the policies: the full system, and the system with one or all of its
// decisions replaced by a baseline.
const (
	fullSystem           = "full"
	roundRobin           = "round-robin"
	admitEverything      = "everything"
	retryThreeTimes      = "three-times"
	noHedge              = "no-hedge"
	payloadsThroughEntry = "through-entry"
	fifo                 = "fifo"
	naive                = "naive"
)

// policy is a configuration of the entries and agents that is compared with others.
type policy struct {
	// entrySettings is the policy section of the entries' settings; agentQueue is fair or fifo.
	name, entrySettings, agentQueue string
}

// policies lists the policies. Of these, naive replaces all decisions by baselines.
var policies = []policy{
	{fullSystem, "", "fair"},
	{roundRobin, `routing = "round-robin"`, "fair"},
	{admitEverything, `admission = "everything"`, "fair"},
	{retryThreeTimes, `retry = "three-times"`, "fair"},
	{noHedge, `hedge = "off"`, "fair"},
	{payloadsThroughEntry, `payloads = "through-entry"`, "fair"},
	{fifo, "", "fifo"},
	{naive, "routing = \"round-robin\"\nadmission = \"everything\"\nretry = \"three-times\"\nhedge = \"off\"\npayloads = \"through-entry\"", "fifo"},
}

// zones lists the availability zones, one per region.
var zones = []harness.Zone{{Name: "amman-1", Region: "amman"}, {Name: "aqaba-1", Region: "aqaba"}, {Name: "irbid-1", Region: "irbid"}}

// testbed holds the running deployments by queue discipline of their agents. The entries of
// all policies share the agents of their deployment; only one policy is under load at a
// time.
type testbed struct {
	deployments map[string]*deployment
	// runCount counts the runs; it also numbers them.
	runCount int
}

// deployment is a deployment whose agents have the same queue discipline.
type deployment struct {
	*harness.Deployment
	agentQueue, workDir string
	// policies lists the policies in the order of their entries.
	policies []policy
}

// policiesIn returns the policies that the scenarios use.
func policiesIn(selected []scenario) []policy {
	var used []policy
	for _, p := range policies {
		if slices.ContainsFunc(selected, func(s scenario) bool { return slices.Contains(s.policies, p.name) }) {
			used = append(used, p)
		}
	}
	return used
}

// startTestbed starts a deployment for each queue discipline that the policies use.
func startTestbed(ctx context.Context, binaries harness.Binaries, workDir string, used []policy) (*testbed, error) {
	root, err := harness.WorkspaceRoot()
	if err != nil {
		return nil, err
	}
	bed := &testbed{deployments: map[string]*deployment{}}
	for _, queue := range []string{"fair", "fifo"} {
		d := &deployment{agentQueue: queue, workDir: filepath.Join(workDir, queue)}
		for _, p := range used {
			if p.agentQueue == queue {
				d.policies = append(d.policies, p)
			}
		}
		if len(d.policies) > 0 {
			bed.deployments[queue] = d
		}
	}
	return bed, bed.start(ctx, binaries, filepath.Join(root, "test", "experiment", "schema.toml"))
}

// start starts the deployments concurrently. After an error it stops those that run.
func (b *testbed) start(ctx context.Context, binaries harness.Binaries, schemaFile string) error {
	results := make(chan error, len(b.deployments))
	for _, d := range b.deployments {
		go func() {
			var err error
			d.Deployment, err = harness.Start(ctx, harness.Config{
				Name: d.agentQueue, Binaries: binaries, Dir: d.workDir, SchemaFile: schemaFile,
				Zones: zones, Entries: len(d.policies) * len(zones), Servers: servers(),
				PerEntrySettings: d.entrySettings,
				AgentSettings:    fmt.Sprintf("[limits]\nqueue = %q\n[experiment]\nregion_delay = %q\n", d.agentQueue, interRegionDelay),
			})
			results <- err
		}()
	}
	var startErr error
	for range b.deployments {
		startErr = errors.Join(startErr, <-results)
	}
	if startErr != nil {
		b.stop()
	}
	return startErr
}

// stop stops the deployments that were started.
func (b *testbed) stop() {
	for _, d := range b.deployments {
		if d.Deployment != nil {
			d.Stop()
		}
	}
}

// entrySettings returns the policy settings of entry i. Each policy has one entry per zone.
func (d *deployment) entrySettings(i int) string {
	return "[policy]\n" + d.policies[i/len(zones)].entrySettings + "\n"
}

// entries returns the entries of the named policy.
func (d *deployment) entries(policyName string) []*harness.Instance {
	i := slices.IndexFunc(d.policies, func(p policy) bool { return p.name == policyName })
	return d.Entries[i*len(zones) : (i+1)*len(zones)]
}

// servers returns the model servers and the servers of the other pools, spread over the
// zones.
func servers() []harness.Server {
	var list []harness.Server
	for i := range engineCount {
		list = append(list, harness.Server{
			Name: fmt.Sprintf("engines-%d", i+1), Pool: "engines", Zone: i % len(zones),
			Spec: spec.StandIn{
				Kind: "engine", ProcessingTimeMS: int(prefillTime / time.Millisecond), Slots: slotsPerEngine,
				TokensPerSecond: slotsPerEngine * streamTokenRate, StreamTokensPerSecond: streamTokenRate,
				Models: []string{"clause-7b", "fixings-1b"},
			},
		})
	}
	for _, poolAndKind := range [][2]string{{"encoders", "encoder"}, {"retrievers", "retriever"}, {"rerankers", "reranker"}, {"submittals", "service"}} {
		pool, kind := poolAndKind[0], poolAndKind[1]
		for i := range serversPerOtherPool {
			list = append(list, harness.Server{
				Name: fmt.Sprintf("%s-%d", pool, i+1), Pool: pool, Zone: i % len(zones),
				Spec: spec.StandIn{Kind: kind, ProcessingTimeMS: int(otherProcessingTime / time.Millisecond)},
			})
		}
	}
	return list
}
