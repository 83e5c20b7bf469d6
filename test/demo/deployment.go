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

// The traffic of each deployment.
const (
	trafficTime   = 10 * time.Second
	trafficRate   = 30
	killAfter     = 3 * time.Second
	freezeAfter   = 4 * time.Second
	freezeTime    = 2500 * time.Millisecond
	entryCount    = 2
	serviceTime   = 10
	enginePrefill = 30
	minRequests   = 250
)

// deployment is one of the example deployments.
type deployment struct {
	name  string
	zones []harness.Zone
	// service is the pool of plain services.
	service string
	mix     []load.Kind
	// killed and frozen name the agents that fail.
	killed, frozen string
}

var deployments = []deployment{
	{
		name:    "qasr",
		zones:   []harness.Zone{{Name: "amman-1", Region: "amman"}, {Name: "aqaba-1", Region: "aqaba"}, {Name: "irbid-1", Region: "irbid"}},
		service: "submittals",
		mix: []load.Kind{
			{Call: "draft-dossier", Customer: "burj-consult", Weight: 3, Keyed: true, Stream: true, Tokens: 24, Prefixes: 8},
			{Call: "draft-dossier", Customer: "petra-build", Weight: 1, Stream: true, Tokens: 24, Size: 100_000},
			{Call: "draft-dossier", Customer: "gulf-towers", Weight: 1, Keyed: true, Tokens: 24},
			{Call: "ask-fixings", Customer: "wadi-glass", Weight: 2, Stream: true, Tokens: 12},
		},
		killed: "submittals-2",
		frozen: "engines-1",
	},
	{
		name:    "etichetta",
		zones:   []harness.Zone{{Name: "lombardy-1", Region: "lombardy"}, {Name: "piedmont-1", Region: "piedmont"}, {Name: "veneto-1", Region: "veneto"}},
		service: "registries",
		mix: []load.Kind{
			{Call: "label-recipe", Customer: "milano-scuole", Weight: 3, Keyed: true, Stream: true, Tokens: 24, Prefixes: 8},
			{Call: "label-recipe", Customer: "verona-mense", Weight: 2, Stream: true, Tokens: 24},
			{Call: "ask-allergens", Customer: "torino-ospedali", Weight: 2, Tokens: 12},
		},
		killed: "engines-2",
		frozen: "registries-1",
	},
}

// servers returns one server of each pool in each region, and more engines.
func (d deployment) servers(s *schema.Schema) []harness.Server {
	var servers []harness.Server
	for _, p := range s.Pools {
		count := len(d.zones)
		if p.Kind == schema.KindEngine {
			count += 2
		}
		for i := range count {
			stand := spec.Service{Kind: string(p.Kind), TimeMS: serviceTime, Models: p.Models}
			if p.Kind == schema.KindEngine {
				stand.TimeMS = enginePrefill
			}
			servers = append(servers, harness.Server{
				Name: fmt.Sprintf("%s-%d", p.Name, i+1), Pool: p.Name, Zone: i, Spec: stand,
			})
		}
	}
	return servers
}

// run starts the deployment, sends the traffic with the faults, and checks it.
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
	sent, err := d.traffic(ctx, running)
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

// traffic sends the requests and fails two agents in the middle.
func (d deployment) traffic(ctx context.Context, running *harness.Deployment) ([]harness.SentRequest, error) {
	trace := load.Trace{Seed: 1, Mix: d.mix, Phases: []load.Phase{{Duration: schema.Duration(trafficTime), Rate: trafficRate}}}
	requests := trace.Requests(d.name)
	if len(requests) < minRequests {
		return nil, fmt.Errorf("only %d requests", len(requests))
	}
	caller := load.NewCaller(running.CallerURLs())
	defer caller.Close()
	faults := make(chan error, 1)
	go func() { faults <- d.fail(ctx, running) }()
	outcomes := load.Run(ctx, load.Options{Caller: caller, Requests: requests})
	if err := <-faults; err != nil {
		return nil, err
	}
	sent := make([]harness.SentRequest, len(outcomes))
	for i := range outcomes {
		sent[i] = harness.SentRequest{Request: requests[i], Outcome: outcomes[i]}
	}
	return sent, nil
}

// fail kills one agent and freezes another for a while.
func (d deployment) fail(ctx context.Context, running *harness.Deployment) error {
	if err := sleep(ctx, killAfter); err != nil {
		return err
	}
	running.Agent(d.killed).Kill()
	fmt.Printf("%s: agent %s killed\n", d.name, d.killed)
	if err := sleep(ctx, freezeAfter-killAfter); err != nil {
		return err
	}
	frozen := running.Agent(d.frozen)
	if err := frozen.Freeze(); err != nil {
		return err
	}
	fmt.Printf("%s: agent %s frozen\n", d.name, d.frozen)
	if err := sleep(ctx, freezeTime); err != nil {
		return err
	}
	fmt.Printf("%s: agent %s goes on\n", d.name, d.frozen)
	return frozen.Resume()
}

func (d deployment) printBurn(ctx context.Context, running *harness.Deployment) {
	args := []string{"burn"}
	for _, e := range running.Entries {
		args = append(args, "--admin", e.AdminURL)
	}
	out, err := running.Mwctl(ctx, append(args, "--key", harness.AdminKey)...)
	if err != nil {
		fmt.Printf("%s: no burn report: %s\n", d.name, out)
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
