// Command entryshare measures the latency that one entry and its agents add to model
// engines, and their processor time and memory. It sends the same requests to the
// engines directly and through the entry, at several request rates that are multiples
// of an entry's share of the target load.
package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
	"github.com/magnoliawheel/magnoliawheel/test/standin/spec"
)

const (
	engineCount = 4
	// tokensPerResponse is the length of each response: 6,400 tokens/s at 16 requests/s.
	tokensPerResponse = 400
	// streamTokensPerSecond is the token rate of each stream.
	streamTokensPerSecond = 200
	startTimeout          = time.Minute
)

type options struct {
	Rates      []float64     `long:"rate" description:"Requests per second; can be repeated (default 4, 8 and 16)"`
	Duration   time.Duration `long:"duration" default:"20s" description:"Duration of one measurement"`
	OutputFile string        `long:"out" description:"CSV file to write in addition to standard output"`
}

// measurement is the result of one run at one request rate.
type measurement struct {
	path                                                         string
	rate                                                         float64
	requests, complete                                           int
	firstTextP50, firstTextP95, gapP50, gapP95                   float64
	entryCPUPercent, agentsCPUPercent, entryRSSMB, agentMaxRSSMB float64
}

// schemaTemplate is a schema with one call that runs on the engines.
const schemaTemplate = `[[region]]
name = "r"
zones = ["z"]
[[pool]]
name = "engines"
kind = "engine"
concurrency = 64
queue = 64
models = ["m"]
[[pipeline]]
name = "p"
[[pipeline.stage]]
name = "generate"
pool = "engines"
call = "generate"
idempotent = true
model = "m"
max_tokens = 400
answer = true
typical = "2s"
[[call]]
name = "ask"
pipeline = "p"
deadline = "10s"
[[customer]]
name = "c"
key_sha256 = "%x"
weight = 1
`

func main() {
	o := options{Rates: []float64{4, 8, 16}}
	m := harness.Measurement{
		Name: "entryshare", Options: &o, CSVFile: func() string { return o.OutputFile },
		Measure: func(ctx context.Context, bin harness.Binaries, dir string) ([][]string, error) {
			return run(ctx, o, bin, dir)
		},
	}
	m.Main()
}

func run(ctx context.Context, o options, bin harness.Binaries, dir string) ([][]string, error) {
	deployment, err := startDeployment(ctx, bin, dir)
	if err != nil {
		return nil, err
	}
	defer deployment.Stop()
	var measurements []measurement
	for _, rate := range o.Rates {
		measurements = append(measurements, measureDirect(ctx, deployment, traceRequests(rate, o.Duration, "direct"), rate))
		throughEntry, err := measureThroughEntry(ctx, deployment, traceRequests(rate, o.Duration, "entry"), rate)
		if err != nil {
			return nil, err
		}
		measurements = append(measurements, throughEntry)
	}
	return tableRows(measurements), nil
}

// startDeployment starts one entry and engineCount engines.
func startDeployment(ctx context.Context, bin harness.Binaries, dir string) (*harness.Deployment, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	schemaPath := filepath.Join(dir, "schema.toml")
	if err := os.WriteFile(schemaPath, []byte(fmt.Sprintf(schemaTemplate, sha256.Sum256([]byte("c-key")))), 0o600); err != nil {
		return nil, err
	}
	conf := harness.Config{
		Name: "share", Binaries: bin, Dir: dir, SchemaFile: schemaPath,
		Zones: []harness.Zone{{Name: "z", Region: "r"}}, Entries: 1,
	}
	for i := range engineCount {
		conf.Servers = append(conf.Servers, harness.Server{
			Name: engineName(i), Pool: "engines", SeparateProcess: true,
			Spec: spec.StandIn{Kind: "engine", TokensPerSecond: 64 * streamTokensPerSecond, StreamTokensPerSecond: streamTokensPerSecond, Slots: 64, ProcessingTimeMS: 100},
		})
	}
	return harness.Start(ctx, conf)
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

// traceRequests returns the requests of one run. Their times are the same on both
// paths.
func traceRequests(rate float64, d time.Duration, runName string) []load.Request {
	t := load.Trace{
		Seed: 1, Phases: []load.Phase{{Duration: schema.Duration(d), Rate: rate}},
		Mix: []load.RequestKind{{Call: "ask", Customer: "c", CustomerKey: "c-key", Weight: 1, Stream: true, MaxTokens: tokensPerResponse}},
	}
	return t.Requests(fmt.Sprintf("%s-%g", runName, rate))
}

// measureThroughEntry sends the requests through the entry, and measures the entry and
// the agents.
func measureThroughEntry(ctx context.Context, d *harness.Deployment, requests []load.Request, rate float64) (measurement, error) {
	m := measurement{path: "entry", rate: rate}
	procs := []*harness.Process{d.Entries[0].Process}
	for _, a := range d.Agents {
		procs = append(procs, a.Process)
	}
	cpuSecondsBefore := make([]float64, len(procs))
	for i, p := range procs {
		var err error
		if cpuSecondsBefore[i], err = p.CPUSeconds(); err != nil {
			return m, err
		}
	}
	caller := load.NewCaller(d.CallerURLs())
	defer caller.Close()
	start := time.Now()
	m.summarize(load.Run(ctx, load.Options{Caller: caller, Requests: requests}))
	wallSeconds := time.Since(start).Seconds()
	for i, p := range procs {
		cpuSeconds, err := p.CPUSeconds()
		if err != nil {
			return m, err
		}
		rssMB, err := p.ResidentMB()
		if err != nil {
			return m, err
		}
		cpuPercent := 100 * (cpuSeconds - cpuSecondsBefore[i]) / wallSeconds
		if i == 0 {
			m.entryCPUPercent, m.entryRSSMB = cpuPercent, rssMB
			continue
		}
		m.agentsCPUPercent += cpuPercent
		m.agentMaxRSSMB = max(m.agentMaxRSSMB, rssMB)
	}
	return m, nil
}

// summarize computes the counts and quantiles of the outcomes.
func (m *measurement) summarize(outcomes []load.Outcome) {
	var firstTexts, gaps []time.Duration
	for i := range outcomes {
		m.requests++
		if outcomes[i].Class != load.Complete {
			continue
		}
		m.complete++
		firstTexts = append(firstTexts, outcomes[i].FirstTextLatency)
		gaps = append(gaps, outcomes[i].ChunkGaps...)
	}
	m.firstTextP50, m.firstTextP95 = quantile(firstTexts, 0.5), quantile(firstTexts, 0.95)
	m.gapP50, m.gapP95 = quantile(gaps, 0.5), quantile(gaps, 0.95)
}

// tableRows returns the measurements as CSV rows with a header.
func tableRows(measurements []measurement) [][]string {
	rows := [][]string{strings.Split("path,requests_per_s,requests,complete,first_p50_ms,first_p95_ms,gap_p50_ms,gap_p95_ms,"+
		"entry_cpu_percent,agents_cpu_percent,entry_rss_mb,agent_max_rss_mb", ",")}
	for _, r := range measurements {
		line := []string{r.path, strconv.FormatFloat(r.rate, 'f', -1, 64), strconv.Itoa(r.requests), strconv.Itoa(r.complete)}
		for _, v := range []float64{r.firstTextP50, r.firstTextP95, r.gapP50, r.gapP95, r.entryCPUPercent, r.agentsCPUPercent, r.entryRSSMB, r.agentMaxRSSMB} {
			line = append(line, strconv.FormatFloat(v, 'f', 2, 64))
		}
		rows = append(rows, line)
	}
	return rows
}
