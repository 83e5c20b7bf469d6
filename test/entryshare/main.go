// Command entryshare measures what one entry and its agents add to the latency of
// model engines, and what they cost, at multiples of an entry's share of the
// target: the same requests go to the engines directly and through the entry.
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
	engines = 4
	// tokens is the length of each answer: 6,400 tokens/s at 16 requests/s.
	tokens = 400
	// streamRate is the tokens a second of one stream.
	streamRate = 200
	startLimit = time.Minute
)

type options struct {
	Rates    []float64     `long:"rate" description:"Requests a second (4, 8 and 16 if none is given)"`
	Duration time.Duration `long:"duration" default:"20s" description:"Time of one measurement"`
	Out      string        `long:"out" description:"CSV file to write as well as standard output"`
}

// row is one measurement.
type row struct {
	path                                      string
	rate                                      float64
	requests, complete                        int
	firstP50, firstP95, gapP50, gapP95        float64
	entryCPU, agentsCPU, entryMB, agentsMaxMB float64
}

const schemaText = `[[region]]
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
		Name: "entryshare", Options: &o, CSVFile: func() string { return o.Out },
		Measure: func(ctx context.Context, bin harness.Binaries, dir string) ([][]string, error) {
			return run(ctx, o, bin, dir)
		},
	}
	m.Main()
}

func run(ctx context.Context, o options, bin harness.Binaries, dir string) ([][]string, error) {
	d, err := start(ctx, bin, dir)
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	var rows []row
	for _, rate := range o.Rates {
		rows = append(rows, direct(ctx, d, requests(rate, o.Duration, "direct"), rate))
		r, err := through(ctx, d, requests(rate, o.Duration, "entry"), rate)
		if err != nil {
			return nil, err
		}
		rows = append(rows, r)
	}
	return tableOf(rows), nil
}

func start(ctx context.Context, bin harness.Binaries, dir string) (*harness.Deployment, error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	file := filepath.Join(dir, "schema.toml")
	if err := os.WriteFile(file, []byte(fmt.Sprintf(schemaText, sha256.Sum256([]byte("c-key")))), 0o600); err != nil {
		return nil, err
	}
	conf := harness.Config{
		Name: "share", Binaries: bin, Dir: dir, SchemaFile: file,
		Zones: []harness.Zone{{Name: "z", Region: "r"}}, Entries: 1,
	}
	for i := range engines {
		conf.Servers = append(conf.Servers, harness.Server{
			Name: engineName(i), Pool: "engines", SeparateProcess: true,
			Spec: spec.Service{Kind: "engine", TokensPerSecond: 64 * streamRate, StreamTokensPerSecond: streamRate, Slots: 64, TimeMS: 100},
		})
	}
	return harness.Start(ctx, conf)
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

// requests returns the arrivals of one measurement; the same for both paths.
func requests(rate float64, d time.Duration, run string) []load.Request {
	t := load.Trace{
		Seed: 1, Phases: []load.Phase{{Duration: schema.Duration(d), Rate: rate}},
		Mix: []load.Kind{{Call: "ask", Customer: "c", Key: "c-key", Weight: 1, Stream: true, Tokens: tokens}},
	}
	return t.Requests(fmt.Sprintf("%s-%g", run, rate))
}

// through sends the requests through the entry.
func through(ctx context.Context, d *harness.Deployment, list []load.Request, rate float64) (row, error) {
	r := row{path: "entry", rate: rate}
	procs := []*harness.Process{d.Entries[0].Process}
	for _, a := range d.Agents {
		procs = append(procs, a.Process)
	}
	before := make([]float64, len(procs))
	for i, p := range procs {
		var err error
		if before[i], err = p.CPUSeconds(); err != nil {
			return r, err
		}
	}
	caller := load.NewCaller(d.CallerURLs())
	defer caller.Close()
	started := time.Now()
	r.take(load.Run(ctx, load.Options{Caller: caller, Requests: list}))
	wall := time.Since(started).Seconds()
	for i, p := range procs {
		cpu, err := p.CPUSeconds()
		if err != nil {
			return r, err
		}
		mb, err := p.ResidentMB()
		if err != nil {
			return r, err
		}
		percent := 100 * (cpu - before[i]) / wall
		if i == 0 {
			r.entryCPU, r.entryMB = percent, mb
			continue
		}
		r.agentsCPU += percent
		r.agentsMaxMB = max(r.agentsMaxMB, mb)
	}
	return r, nil
}

// take summarizes outcomes.
func (r *row) take(list []load.Outcome) {
	var first, gaps []time.Duration
	for i := range list {
		r.requests++
		if list[i].Class != load.Complete {
			continue
		}
		r.complete++
		first = append(first, list[i].FirstText)
		gaps = append(gaps, list[i].Gaps...)
	}
	r.firstP50, r.firstP95 = quantile(first, 0.5), quantile(first, 0.95)
	r.gapP50, r.gapP95 = quantile(gaps, 0.5), quantile(gaps, 0.95)
}

func tableOf(rows []row) [][]string {
	table := [][]string{strings.Split("path,requests_per_s,requests,complete,first_p50_ms,first_p95_ms,gap_p50_ms,gap_p95_ms,"+
		"entry_cpu_percent,agents_cpu_percent,entry_rss_mb,agent_max_rss_mb", ",")}
	for _, r := range rows {
		line := []string{r.path, strconv.FormatFloat(r.rate, 'f', -1, 64), strconv.Itoa(r.requests), strconv.Itoa(r.complete)}
		for _, v := range []float64{r.firstP50, r.firstP95, r.gapP50, r.gapP95, r.entryCPU, r.agentsCPU, r.entryMB, r.agentsMaxMB} {
			line = append(line, strconv.FormatFloat(v, 'f', 2, 64))
		}
		table = append(table, line)
	}
	return table
}
