package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
	"github.com/magnoliawheel/magnoliawheel/test/standin/spec"
)

const (
	// trafficDuration and trafficRate, in requests per second, determine the traffic to
	// each deployment.
	trafficDuration = 10 * time.Second
	trafficRate     = 30
	// killAfter and freezeAfter are the times from the start of the traffic to the faults.
	killAfter      = 3 * time.Second
	freezeAfter    = 4 * time.Second
	freezeDuration = 2500 * time.Millisecond
	entryCount     = 2
	// serviceTimeMS and enginePrefillMS are the execution times of servers, in
	// milliseconds.
	serviceTimeMS   = 10
	enginePrefillMS = 30
	// minRequests guards against a demo that sends too few requests to show anything.
	minRequests = 250
)

// deployment is one of the example deployments, with the traffic and the faults that it is
// shown under.
type deployment struct {
	name  string
	zones []harness.Zone
	// service is the name of the pool of services.
	service string
	mix     []load.RequestKind
	// agentToKill and agentToFreeze are the ids of the agents that fail.
	agentToKill, agentToFreeze string
}

var deployments = []deployment{
	{
		name:    "qasr",
		zones:   []harness.Zone{{Name: "amman-1", Region: "amman"}, {Name: "aqaba-1", Region: "aqaba"}, {Name: "irbid-1", Region: "irbid"}},
		service: "submittals",
		mix: []load.RequestKind{
			{Call: "draft-dossier", Customer: "burj-consult", Weight: 3, SendIdempotencyKey: true, Stream: true, MaxTokens: 24, PrefixCount: 8},
			{Call: "draft-dossier", Customer: "petra-build", Weight: 1, Stream: true, MaxTokens: 24, PaddingBytes: 100_000},
			{Call: "draft-dossier", Customer: "gulf-towers", Weight: 1, SendIdempotencyKey: true, MaxTokens: 24},
			{Call: "ask-fixings", Customer: "wadi-glass", Weight: 2, Stream: true, MaxTokens: 12},
		},
		agentToKill:   "submittals-2",
		agentToFreeze: "engines-1",
	},
	{
		name:    "etichetta",
		zones:   []harness.Zone{{Name: "lombardy-1", Region: "lombardy"}, {Name: "piedmont-1", Region: "piedmont"}, {Name: "veneto-1", Region: "veneto"}},
		service: "registries",
		mix: []load.RequestKind{
			{Call: "label-recipe", Customer: "milano-scuole", Weight: 3, SendIdempotencyKey: true, Stream: true, MaxTokens: 24, PrefixCount: 8},
			{Call: "label-recipe", Customer: "verona-mense", Weight: 2, Stream: true, MaxTokens: 24},
			{Call: "ask-allergens", Customer: "torino-ospedali", Weight: 2, MaxTokens: 12},
		},
		agentToKill:   "engines-2",
		agentToFreeze: "registries-1",
	},
}

// servers returns a server of each pool in each zone, and two more for a pool of engines.
func (d deployment) servers(s *schema.Schema) []harness.Server {
	var servers []harness.Server
	for _, p := range s.Pools {
		count := len(d.zones)
		if p.Kind == schema.KindEngine {
			count += 2
		}
		for i := range count {
			standin := spec.StandIn{Kind: string(p.Kind), ProcessingTimeMS: serviceTimeMS, Models: p.Models}
			if p.Kind == schema.KindEngine {
				standin.ProcessingTimeMS = enginePrefillMS
			}
			servers = append(servers, harness.Server{
				Name: fmt.Sprintf("%s-%d", p.Name, i+1), Pool: p.Name, Zone: i, Spec: standin,
			})
		}
	}
	return servers
}

// run starts the deployment, sends the traffic while faults are injected, and compares the
// outcomes with the executions.
func (d deployment) run(ctx context.Context, bin harness.Binaries, dir string) (harness.Ledger, error) {
	root, err := harness.WorkspaceRoot()
	if err != nil {
		return harness.Ledger{}, err
	}
	schemaFile := filepath.Join(root, "examples", d.name, "schema.toml")
	text, err := os.ReadFile(schemaFile)
	if err != nil {
		return harness.Ledger{}, err
	}
	s, err := schema.Parse(text)
	if err != nil {
		return harness.Ledger{}, err
	}
	running, err := harness.Start(ctx, harness.Config{
		Name: d.name, Binaries: bin, Dir: dir, SchemaFile: schemaFile,
		Zones: d.zones, Entries: entryCount, Servers: d.servers(s),
	})
	if err != nil {
		return harness.Ledger{}, err
	}
	defer running.Stop()
	fmt.Printf("%s: %d entries and %d agents ready\n", d.name, len(running.Entries), len(running.Agents))
	sent, err := d.sendTraffic(ctx, running)
	if err != nil {
		return harness.Ledger{}, err
	}
	executions, err := running.Executions()
	if err != nil {
		return harness.Ledger{}, err
	}
	ledger := harness.CheckOutcomes(s, sent, executions)
	fmt.Printf("%s: %s\n", d.name, ledger)
	d.printBurn(ctx, running)
	return ledger, nil
}

// sendTraffic sends the requests and injects the faults meanwhile.
func (d deployment) sendTraffic(ctx context.Context, running *harness.Deployment) ([]harness.SentRequest, error) {
	trace := load.Trace{Seed: 1, Mix: d.mix, Phases: []load.Phase{{Duration: schema.Duration(trafficDuration), Rate: trafficRate}}}
	requests := trace.Requests(d.name)
	if len(requests) < minRequests {
		return nil, fmt.Errorf("only %d requests in the trace", len(requests))
	}
	caller := load.NewCaller(running.CallerURLs())
	defer caller.Close()
	faultErr := make(chan error, 1)
	go func() { faultErr <- d.injectFaults(ctx, running) }()
	outcomes := load.Run(ctx, load.Options{Caller: caller, Requests: requests})
	if err := <-faultErr; err != nil {
		return nil, err
	}
	sent := make([]harness.SentRequest, len(outcomes))
	for i := range outcomes {
		sent[i] = harness.SentRequest{Request: requests[i], Outcome: outcomes[i]}
	}
	return sent, nil
}

// injectFaults kills one agent and freezes another one for freezeDuration.
func (d deployment) injectFaults(ctx context.Context, running *harness.Deployment) error {
	if err := sleep(ctx, killAfter); err != nil {
		return err
	}
	running.Agent(d.agentToKill).Kill()
	fmt.Printf("%s: agent %s killed\n", d.name, d.agentToKill)
	if err := sleep(ctx, freezeAfter-killAfter); err != nil {
		return err
	}
	frozen := running.Agent(d.agentToFreeze)
	if err := frozen.Freeze(); err != nil {
		return err
	}
	fmt.Printf("%s: agent %s frozen\n", d.name, d.agentToFreeze)
	if err := sleep(ctx, freezeDuration); err != nil {
		return err
	}
	fmt.Printf("%s: agent %s resumed\n", d.name, d.agentToFreeze)
	return frozen.Resume()
}

// printBurn prints the error budget report of mwctl burn.
func (d deployment) printBurn(ctx context.Context, running *harness.Deployment) {
	args := []string{"burn"}
	for _, e := range running.Entries {
		args = append(args, "--admin", e.AdminURL)
	}
	out, err := running.Mwctl(ctx, append(args, "--key", harness.AdminKey)...)
	if err != nil {
		fmt.Printf("%s: mwctl burn failed: %s\n", d.name, out)
		return
	}
	fmt.Printf("%s\n", out)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
