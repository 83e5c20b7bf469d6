package main

import (
	"strings"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/load"
)

// Numbers and speeds of the servers.
const (
	// The model servers. Each generates slotsPerEngine streams of tokensPerStream tokens at a
	// time, with streamTokenRate tokens per second and stream.
	engineCount     = 9
	slotsPerEngine  = 4
	tokensPerStream = 16
	streamTokenRate = 25.0
	prefillTime     = 60 * time.Millisecond
	// otherProcessingTime is the processing time of all other servers.
	otherProcessingTime = 10 * time.Millisecond
	serversPerOtherPool = 3
	// interRegionDelay is the delay of calls to servers in another region, for the round trip.
	interRegionDelay = 8 * time.Millisecond
)

// Durations and sizes of the loads.
const (
	// loadDuration and quickLoadDuration are the lengths of the load of one run.
	loadDuration      = 6 * time.Second
	quickLoadDuration = 5 * time.Second
	// warmUpTime is the part at the start of the load that is excluded from goodput.
	warmUpTime = 2 * time.Second
	// faultDelay is the time from the start of the load to the fault.
	faultDelay = time.Second
	// largeResultBytes is the size of stage results in scenarios with large results.
	largeResultBytes = 200_000
)

// capacity returns the requests per second that the model servers can serve.
func capacity() float64 {
	requestSeconds := prefillTime.Seconds() + tokensPerStream/streamTokenRate
	return engineCount * slotsPerEngine / requestSeconds
}

// fault is the kind of fault that a scenario injects.
type fault string

const (
	// noFault injects nothing, but the results after a fault are computed all the same.
	noFault fault = "none"
	// slowServer slows the faulty server down.
	slowServer fault = "slow"
	// frozenAgent suspends the agent of the faulty server, so that it does not respond.
	frozenAgent fault = "silent"
	// failingServer lets the faulty server fail every call.
	failingServer fault = "failing"
	// frozenZone suspends all agents in the zone of the faulty server.
	frozenZone fault = "zone-cut"
)

// scenario is a load with a fault, and the policies that are compared under it.
type scenario struct {
	name string
	// relativeLoad is the arrival rate as a multiple of the capacity.
	relativeLoad float64
	fault        fault
	// greedyCustomer is the customer that sends greedyFactor times its share. It can be empty.
	greedyCustomer string
	// largeResults makes dossiers produce large stage results and share prompt prefixes.
	largeResults bool
	// burst sends the load for half of the duration and then a third of the capacity for the full
	// duration. Refused callers retry after the delay that they were given.
	burst    bool
	policies []string
	// quickPolicies are the policies of a quick run, which skips the scenario if there are none.
	quickPolicies []string
}

// scenarios lists the scenarios in the order in which they run.
var scenarios = []scenario{
	{name: "load-0.7", relativeLoad: 0.7, policies: []string{fullSystem, naive}, quickPolicies: []string{fullSystem}},
	{name: "load-1.0", relativeLoad: 1.0, policies: []string{fullSystem}},
	{name: "load-1.5", relativeLoad: 1.5, policies: []string{fullSystem, naive}, quickPolicies: []string{fullSystem, naive}},
	{name: "load-2.5-greedy", relativeLoad: 2.5, greedyCustomer: "gulf-towers",
		policies: []string{fullSystem, admitEverything, fifo, naive}, quickPolicies: []string{fullSystem, naive}},
	{name: "burst-2.5", relativeLoad: 2.5, burst: true, policies: []string{fullSystem}, quickPolicies: []string{fullSystem}},
	{name: "slow-0.7", relativeLoad: 0.7, fault: slowServer,
		policies: []string{fullSystem, roundRobin, noHedge}, quickPolicies: []string{fullSystem, roundRobin}},
	{name: "silent-0.7", relativeLoad: 0.7, fault: frozenAgent,
		policies: []string{fullSystem, roundRobin}, quickPolicies: []string{fullSystem}},
	{name: "failing-0.7", relativeLoad: 0.7, fault: failingServer,
		policies: []string{fullSystem, roundRobin, naive}, quickPolicies: []string{fullSystem, roundRobin}},
	{name: "zone-cut-0.5", relativeLoad: 0.5, fault: frozenZone, policies: []string{fullSystem, roundRobin}},
	{name: "dossiers-0.5", relativeLoad: 0.5, largeResults: true,
		policies: []string{fullSystem, payloadsThroughEntry, naive}, quickPolicies: []string{fullSystem, payloadsThroughEntry}},
}

// selectScenarios returns the scenarios that the options ask for, with their policies.
func selectScenarios(o options) []scenario {
	var selected []scenario
	for _, s := range scenarios {
		if !s.matchesFilter(o.scenarioFilter) {
			continue
		}
		if o.quick {
			s.policies = s.quickPolicies
		}
		if len(s.policies) > 0 {
			selected = append(selected, s)
		}
	}
	return selected
}

// matchesFilter tells whether the name of the scenario contains one of the texts in the
// filter, which are separated by commas.
func (s *scenario) matchesFilter(filter string) bool {
	for text := range strings.SplitSeq(filter, ",") {
		if strings.Contains(s.name, text) {
			return true
		}
	}
	return false
}

// customers lists the customers of the schema and their weights.
var customers = []struct {
	name   string
	weight float64
}{{"burj-consult", 4}, {"gulf-towers", 2}, {"petra-build", 2}, {"wadi-glass", 1}, {"jerash-stone", 1}}

// greedyFactor is the load of a greedy customer as a multiple of its share of the capacity.
const greedyFactor = 10

// arrivalWeight returns the weight of a customer in the arrivals. Without a greedy customer it
// is the customer's weight. Otherwise the weights add up to the relative load: the greedy
// customer gets greedyFactor times its share of the capacity, and the others divide the
// rest, which gives each less than its share.
func (s *scenario) arrivalWeight(name string, weight float64) float64 {
	if s.greedyCustomer == "" {
		return weight
	}
	total, greedyWeight := 0.0, 0.0
	for _, cust := range customers {
		total += cust.weight
		if cust.name == s.greedyCustomer {
			greedyWeight = cust.weight
		}
	}
	greedyLoad := greedyFactor * greedyWeight / total
	if name == s.greedyCustomer {
		return greedyLoad
	}
	return (s.relativeLoad - greedyLoad) * weight / (total - greedyWeight)
}

// requestMix returns the kinds of requests: half of those of a customer are dossiers, half
// are questions.
func (s *scenario) requestMix() []load.RequestKind {
	var mix []load.RequestKind
	for _, cust := range customers {
		weightPerKind := s.arrivalWeight(cust.name, cust.weight) / 2
		dossier := load.RequestKind{Call: "draft-dossier", Customer: cust.name, Weight: weightPerKind, Stream: true, MaxTokens: tokensPerStream}
		if s.largeResults {
			dossier.PaddingBytes, dossier.PrefixCount = largeResultBytes, 4
		}
		question := load.RequestKind{Call: "ask-fixings", Customer: cust.name, Weight: weightPerKind, Stream: true, MaxTokens: tokensPerStream}
		mix = append(mix, dossier, question)
	}
	return mix
}

// trace returns the arrivals of the scenario.
func (s *scenario) trace(seed uint64, duration time.Duration) *load.Trace {
	rate := s.relativeLoad * capacity()
	trace := &load.Trace{Seed: seed, Mix: s.requestMix()}
	if !s.burst {
		trace.Phases = []load.Phase{{Duration: schema.Duration(duration), Rate: rate}}
		return trace
	}
	trace.Phases = []load.Phase{
		{Duration: schema.Duration(duration / 2), Rate: rate},
		{Duration: schema.Duration(duration), Rate: capacity() / 3},
	}
	return trace
}
