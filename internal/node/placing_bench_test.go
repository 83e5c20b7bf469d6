package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
	"github.com/magnoliawheel/magnoliawheel/core/roster"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/gateway"
	"github.com/magnoliawheel/magnoliawheel/internal/peer"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/internal/telemetry"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// loadProcessVariable makes the test binary run as the load process of a benchmark. Its value
// names the fleet.
const loadProcessVariable = "MAGNOLIAWHEEL_BENCHMARK_LOAD"

func TestMain(m *testing.M) {
	if fleet := os.Getenv(loadProcessVariable); fleet != "" {
		runLoadProcess(benchFleets[fleet], os.Stdin, os.Stdout)
		return
	}
	os.Exit(m.Run())
}

// benchPool is a pool of stage servers in the benchmark.
type benchPool struct {
	name    string
	servers int
	spec    staging.PoolSpec
}

// benchFleet is a deployment in the benchmark: pools of stage servers and a pool of model servers.
type benchFleet struct {
	pools        []benchPool
	modelServers int
}

// benchFleets are deployments with 48 and 109 stage servers.
var benchFleets = map[string]benchFleet{
	"middle": {modelServers: 41, pools: []benchPool{
		{"pay", 15, staging.PoolSpec{Slots: 1, BatchSize: 8, CallOverhead: 200 * time.Millisecond, TimePerPiece: 21 * time.Millisecond, MemoryBytes: 18_000_000, ResultRetention: 4 * time.Second}},
		{"ship", 15, staging.PoolSpec{Slots: 1, BatchSize: 28, CallOverhead: 200 * time.Millisecond, TimePerPiece: 6100 * time.Microsecond, MemoryBytes: 3_700_000, ResultRetention: 4 * time.Second}},
		{"notify", 18, staging.PoolSpec{Slots: 1, BatchSize: 38, CallOverhead: 200 * time.Millisecond, TimePerPiece: 4500 * time.Microsecond, MemoryBytes: 510_000, ResultRetention: 4 * time.Second}},
	}},
	"large": {modelServers: 180, pools: []benchPool{
		{"pay", 30, staging.PoolSpec{Slots: 1, BatchSize: 8, CallOverhead: 150 * time.Millisecond, TimePerPiece: 16 * time.Millisecond, MemoryBytes: 43_000_000, ResultRetention: 4 * time.Second}},
		{"ship", 36, staging.PoolSpec{Slots: 1, BatchSize: 26, CallOverhead: 150 * time.Millisecond, TimePerPiece: 4900 * time.Microsecond, MemoryBytes: 4_600_000, ResultRetention: 4 * time.Second}},
		{"notify", 43, staging.PoolSpec{Slots: 1, BatchSize: 44, CallOverhead: 150 * time.Millisecond, TimePerPiece: 2900 * time.Microsecond, MemoryBytes: 770_000, ResultRetention: 4 * time.Second}},
	}},
}

const (
	benchEntries  = 21
	benchDuration = 10 * time.Second
	// benchStreamTime is the time from the first event of a request to its end.
	benchStreamTime = 600 * time.Millisecond
	benchPrefill    = 100 * time.Millisecond
)

// loadOrder starts the load: entries that send requests to the entry at PlannerAddress.
type loadOrder struct {
	PlannerAddress string
	PerSecond      int
}

// loadReport is the outcome of the load.
type loadReport struct{ Placed, Refused, Lost int }

// BenchmarkPlacingEntry measures the processor time of an entry that places the requests
// of 21 others. The requests, the stage servers and the other entries are in a process of
// their own.
func BenchmarkPlacingEntry(b *testing.B) {
	for _, run := range []struct {
		fleet     string
		perSecond int
	}{{"middle", 130}, {"middle", 390}, {"large", 330}, {"large", 660}} {
		b.Run(fmt.Sprintf("%s/%d_per_second", run.fleet, run.perSecond), func(b *testing.B) {
			for b.Loop() {
				benchmarkPlacingEntry(b, run.fleet, run.perSecond)
			}
		})
	}
}

func benchmarkPlacingEntry(b *testing.B, fleet string, perSecond int) {
	load := exec.Command(os.Args[0])
	load.Env = append(os.Environ(), loadProcessVariable+"="+fleet)
	load.Stderr = os.Stderr
	stdin, err := load.StdinPipe()
	assert.NilError(b, err)
	stdout, err := load.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, load.Start())
	defer func() { assert.Check(b, load.Wait()) }()
	reports := json.NewDecoder(bufio.NewReader(stdout))
	var pools map[string][]string
	assert.NilError(b, reports.Decode(&pools))

	// Entries run on machines with one core.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address := startPlacingEntry(ctx, b, benchFleets[fleet], pools)
	before := processorTime(b)
	assert.NilError(b, json.NewEncoder(stdin).Encode(loadOrder{address, perSecond}))
	var report loadReport
	assert.NilError(b, reports.Decode(&report))
	used := processorTime(b) - before
	assert.Assert(b, report.Placed > 0)
	b.ReportMetric(float64(used.Microseconds())/float64(report.Placed+report.Refused), "cpu-µs/request")
	b.ReportMetric(float64(report.Refused), "refused")
	b.ReportMetric(float64(report.Lost), "lost")
	b.ReportMetric(0, "ns/op")
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// startPlacingEntry starts the parts of an entry that place requests. It returns the
// address for sessions.
func startPlacingEntry(ctx context.Context, b *testing.B, fleet benchFleet, addresses map[string][]string) string {
	out := telemetry.NewAsyncWriter(io.Discard)
	log, err := telemetry.Logger(out, "info")
	assert.NilError(b, err)
	stages := &gateway.StageClient{Client: upstream.New(), Bodies: gateway.NewBodyBudget(0), AcceptsRequests: func(string) bool { return true }}
	p := planner.New(stages, map[string]string{"z0": "r", "z1": "r", "z2": "r"}, log)
	p.SetPools(plannerPools(fleet, addresses))
	local := &peer.LocalEntry{Ready: func() bool { return true }, Stopping: func() bool { return false }, Owner: "planner"}
	local.Register(0)
	links := peer.NewLinks(local, p, log)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go p.Run(ctx)
	go func() { _ = links.Serve(ctx, lis) }()
	return lis.Addr().String()
}

func plannerPools(fleet benchFleet, addresses map[string][]string) []planner.Pool {
	var pools []planner.Pool
	zone := func(i int) string { return fmt.Sprint("z", i%3) }
	for _, p := range fleet.pools {
		pool := planner.Pool{Name: p.name, StageSpec: &p.spec}
		for i, address := range addresses[p.name] {
			pool.StageServers = append(pool.StageServers, staging.Server{ID: fmt.Sprint(p.name, i), Address: address, Zone: zone(i)})
		}
		pools = append(pools, pool)
	}
	model := planner.Pool{Name: "model"}
	for i := range fleet.modelServers {
		model.ModelServers = append(model.ModelServers, placement.Server{ID: fmt.Sprint("m", i), Address: "none", Zone: zone(i), Slots: 96, CacheTokens: 284_393})
	}
	return append(pools, model)
}

// runLoadProcess starts the stage servers, writes their addresses, reads a loadOrder,
// carries it out and writes a loadReport.
func runLoadProcess(fleet benchFleet, in io.Reader, out io.Writer) {
	addresses := map[string][]string{}
	for _, p := range fleet.pools {
		for i := range p.servers {
			addresses[p.name] = append(addresses[p.name], startBenchServer(p, i).Address())
		}
	}
	encoder := json.NewEncoder(out)
	_ = encoder.Encode(addresses)
	var order loadOrder
	if json.NewDecoder(in).Decode(&order) != nil {
		return
	}
	_ = encoder.Encode(sendLoad(order))
}

// startBenchServer starts a stage server that runs one call at a time.
func startBenchServer(p benchPool, i int) *standin.Server {
	srv := standin.NewServer(fmt.Sprint(p.name, i), 0)
	var slot sync.Mutex
	srv.SetHandler(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == platform.StageRunPath {
			slot.Lock()
			defer slot.Unlock()
			time.Sleep(p.spec.CallOverhead + time.Duration(p.spec.BatchSize/2)*p.spec.TimePerPiece)
		}
		return false
	})
	return srv
}

// sendLoad sends requests from several entries and waits for their answers.
func sendLoad(order loadOrder) loadReport {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var entries []*peer.Links
	for i := range benchEntries {
		entries = append(entries, startBenchEntry(ctx, i+1, order.PlannerAddress))
	}
	random := rand.New(rand.NewPCG(1, 2))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var report loadReport
	ticker := time.NewTicker(time.Second / time.Duration(order.PerSecond))
	defer ticker.Stop()
	for i := range order.PerSecond * int(benchDuration/time.Second) {
		<-ticker.C
		req := benchRequest(i, random)
		wg.Go(func() {
			outcome := sendBenchRequest(entries[i%len(entries)], req)
			mu.Lock()
			defer mu.Unlock()
			report.Placed += outcome.Placed
			report.Refused += outcome.Refused
			report.Lost += outcome.Lost
		})
	}
	wg.Wait()
	return report
}

// startBenchEntry starts the sessions of an entry that has its requests placed at the
// given address.
func startBenchEntry(ctx context.Context, number int, plannerAddress string) *peer.Links {
	local := &peer.LocalEntry{Ready: func() bool { return false }, Stopping: func() bool { return false }, Owner: fmt.Sprint("entry", number)}
	local.Register(int64(number))
	links := peer.NewLinks(local, planner.New(nil, nil, logr.Discard()), logr.Discard())
	links.SetPredecessors([]roster.Entry{{Name: "planner", Address: plannerAddress, Position: 0}})
	go links.Run(ctx, func() {})
	for links.PlanningPeer() == nil {
		time.Sleep(time.Millisecond)
	}
	return links
}

// benchRequest returns one of three kinds of request.
func benchRequest(i int, random *rand.Rand) *planner.Request {
	req := &planner.Request{
		ID: fmt.Sprintf("request-%08d", i), PieceKey: fmt.Sprint("key-", i), TimeToObjective: 2500 * time.Millisecond, TimeToDeadline: 8 * time.Second, Pool: "model",
		Zone: fmt.Sprint("z", i%3), MaxTokens: 200, Owner: "entry", Residency: residency.Unrestricted(),
		PromptParts: []placement.PromptPart{
			{ID: fmt.Sprint("system-", i%4), Tokens: 600}, {ID: fmt.Sprint("subject-", random.IntN(700)), Tokens: 3000}, {ID: fmt.Sprint("own-", i), Tokens: 1800},
		},
	}
	large := staging.Stage{Pool: "pay", ResultBytes: 1_200_000, Pieces: 1 + random.IntN(3)}
	chain := func(first int) []staging.Stage {
		return []staging.Stage{
			{Pool: "pay", ResultBytes: 8_000, Pieces: 1},
			{Pool: "ship", ResultBytes: 60_000, Pieces: 4 + random.IntN(8), DependsOn: []int{first}},
			{Pool: "notify", ResultBytes: 6_000, Pieces: 8 + random.IntN(16), DependsOn: []int{first + 1}},
		}
	}
	switch i % 5 {
	case 0, 1:
		req.Stages = []staging.Stage{large}
	case 2:
		req.Stages = chain(0)
	default:
		req.Stages = []staging.Stage{{Pool: "pay", ResultBytes: 8_000, Pieces: 1}, {Pool: "ship", ResultBytes: 60_000, Pieces: 4, DependsOn: []int{0}}}
	}
	return req
}

// sendBenchRequest has a request placed and reports its progress.
func sendBenchRequest(links *peer.Links, req *planner.Request) loadReport {
	plannerPeer := links.PlanningPeer()
	if plannerPeer == nil {
		return loadReport{Lost: 1}
	}
	type reply struct {
		placement planner.Placement
		ok        bool
	}
	replies := make(chan reply, 1)
	plannerPeer.Place(req, func(p planner.Placement, ok bool) { replies <- reply{p, ok} }, func([]staging.ResultLocation) {})
	r := <-replies
	if !r.ok {
		return loadReport{Lost: 1}
	}
	if r.placement.RefusalReason != 0 {
		return loadReport{Refused: 1}
	}
	time.Sleep(benchPrefill)
	plannerPeer.ReportProgress(req.ID, planner.Progress{Phase: planner.Started})
	time.Sleep(benchStreamTime)
	plannerPeer.ReportProgress(req.ID, planner.Progress{Phase: planner.Complete})
	return loadReport{Placed: 1}
}
