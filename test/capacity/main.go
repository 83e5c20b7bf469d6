// Command capacity measures what control costs one entry among many instances:
// it runs a real entry against a fleet of peers that answer probes and exchanges,
// and writes processor time, memory and bytes a second for each size.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/magnoliawheel/magnoliawheel/test/harness"
	"github.com/magnoliawheel/magnoliawheel/test/meter"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
	"github.com/magnoliawheel/magnoliawheel/test/standin/instancelist"
	"github.com/magnoliawheel/magnoliawheel/test/standin/platformlog"
)

const (
	secret       = "capacity-secret-0123456789"
	startTimeout = 60 * time.Second
)

type options struct {
	Servers  []int         `long:"servers" description:"Numbers of servers to measure (270, 900 and 2700 if none is given)"`
	Duration time.Duration `long:"duration" default:"30s" description:"Time of one measurement"`
	Settle   time.Duration `long:"settle" default:"15s" description:"Time before a measurement"`
	Out      string        `long:"out" description:"CSV file to write as well as standard output"`
}

// sample is one measurement.
type sample struct {
	size
	cpuPercent, rssMB                   float64
	peerBytes, listBytes, logBytes      float64
	probesPerSecond, exchangesPerSecond float64
	schemaBytes                         int
}

func main() {
	o := options{Servers: []int{270, 900, 2700}}
	m := harness.Measurement{
		Name: "capacity", Options: &o, CSVFile: func() string { return o.Out },
		Measure: func(ctx context.Context, bin harness.Binaries, dir string) ([][]string, error) {
			return run(ctx, o, bin, dir)
		},
	}
	m.Main()
}

func run(ctx context.Context, o options, bin harness.Binaries, dir string) ([][]string, error) {
	var samples []sample
	for _, n := range o.Servers {
		s, err := measure(ctx, o, bin, dir, target(n))
		if err != nil {
			return nil, fmt.Errorf("%d servers: %w", n, err)
		}
		samples = append(samples, s)
	}
	return tableOf(samples), nil
}

// target scales the deployment of the target to a number of servers.
func target(servers int) size {
	return size{
		servers: servers, entries: max(servers*360/2700, 2), customers: 640, models: 35,
		pipelines: 11, regions: 5, zones: 16,
	}
}

// platform is the stand-ins of the platform with their bytes counted.
type platform struct {
	log, list           *standin.Server
	logAddr, listAddr   string
	logBytes, listBytes atomic.Uint64
	relays              []*meter.Relay
}

func startPlatform() (*platform, error) {
	p := &platform{logAddr: harness.FreeAddr(), listAddr: harness.FreeAddr()}
	var err error
	if p.log, err = platformlog.Start(p.logAddr, platformlog.Config{}); err != nil {
		return nil, err
	}
	if p.list, err = instancelist.Start(p.listAddr, standin.Faults{}); err != nil {
		return nil, err
	}
	for _, m := range []struct {
		addr  *string
		bytes *atomic.Uint64
	}{{&p.logAddr, &p.logBytes}, {&p.listAddr, &p.listBytes}} {
		relay, err := meter.StartRelay(*m.addr, m.bytes)
		if err != nil {
			return nil, err
		}
		p.relays = append(p.relays, relay)
		*m.addr = relay.Addr()
	}
	return p, nil
}

func (p *platform) close() {
	for _, r := range p.relays {
		r.Close()
	}
	p.log.Close()
	p.list.Close()
}

func measure(ctx context.Context, o options, bin harness.Binaries, dir string, s size) (sample, error) {
	out := sample{size: s, schemaBytes: len(s.schema())}
	plat, err := startPlatform()
	if err != nil {
		return out, err
	}
	defer plat.close()
	f, err := newFleet([]byte(secret), s.modelNames())
	if err != nil {
		return out, err
	}
	defer f.close()
	admin := harness.FreeAddr()
	if err := publish(ctx, f, plat, s, admin); err != nil {
		return out, err
	}
	proc, err := startEntry(ctx, bin, dir, plat, s, admin)
	if err != nil {
		return out, err
	}
	defer proc.Kill()
	time.Sleep(o.Settle)
	return out, out.take(o.Duration, proc, f, plat)
}

// take measures over a duration.
func (s *sample) take(d time.Duration, proc *harness.Process, f *fleet, plat *platform) error {
	cpu0, err := proc.CPUSeconds()
	if err != nil {
		return err
	}
	peer0, list0, log0 := f.bytes.Load(), plat.listBytes.Load(), plat.logBytes.Load()
	probes0, exchanges0 := f.probes.Load(), f.exchanges.Load()
	time.Sleep(d)
	cpu1, err := proc.CPUSeconds()
	if err != nil {
		return err
	}
	per := func(now, before uint64) float64 { return float64(now-before) / d.Seconds() }
	s.cpuPercent = 100 * (cpu1 - cpu0) / d.Seconds()
	s.peerBytes, s.listBytes, s.logBytes = per(f.bytes.Load(), peer0), per(plat.listBytes.Load(), list0), per(plat.logBytes.Load(), log0)
	s.probesPerSecond, s.exchangesPerSecond = per(f.probes.Load(), probes0), per(f.exchanges.Load(), exchanges0)
	s.rssMB, err = proc.ResidentMB()
	return err
}

// publish starts the fleet and fills the instance list.
func publish(ctx context.Context, f *fleet, plat *platform, s size, admin string) error {
	var rows []instancelist.Instance
	for i := range s.servers + s.entries {
		row := instancelist.Instance{ID: fmt.Sprintf("agent-%d", i), Role: "agent", Pool: s.pool(i), Admin: "127.0.0.1:1"}
		if i >= s.servers {
			row.ID, row.Role, row.Pool = fmt.Sprintf("entry-%d", i-s.servers), "entry", ""
		}
		row.Zone, row.Region = s.place(i)
		addr, err := f.start(row.ID, uint64(i+1))
		if err != nil {
			return err
		}
		row.Addr = addr
		rows = append(rows, row)
	}
	body, err := json.Marshal(map[string]any{"instances": rows})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+plat.listAddr+"/control", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("instance list: %s", resp.Status)
	}
	return nil
}

const settingsText = `[instance]
id = "entry-measured"
zone = "zone-0"
region = "region-0"
[listen]
callers = "%s"
peers = "%s"
admin = "%s"
[platform]
log_url = "http://%s"
list_url = "http://%s"
[security]
peer_secret_file = "peer.secret"
admin_keys_file = "admin.keys"
`

func startEntry(ctx context.Context, bin harness.Binaries, dir string, plat *platform, s size, admin string) (*harness.Process, error) {
	files := map[string]string{
		"entry.toml":  fmt.Sprintf(settingsText, harness.FreeAddr(), harness.FreeAddr(), admin, plat.logAddr, plat.listAddr),
		"peer.secret": secret,
		"admin.keys":  "write capacity " + harness.AdminKey + "\n",
		"schema.toml": s.schema(),
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	proc, err := harness.StartProcess(dir, fmt.Sprintf("entry-%d", s.servers), nil, bin.Magnoliawheel, "entry", "-s", filepath.Join(dir, "entry.toml"))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := prepare(ctx, bin, dir, admin); err != nil {
		proc.Kill()
		log, _ := os.ReadFile(proc.LogFile)
		return nil, fmt.Errorf("%w\n%s", err, log)
	}
	return proc, nil
}

// prepare applies the schema and waits until the entry is ready.
func prepare(ctx context.Context, bin harness.Binaries, dir, admin string) error {
	if err := harness.WaitForStatus(ctx, "http://"+admin+"/healthz", http.StatusOK); err != nil {
		return err
	}
	for {
		cmd := exec.CommandContext(ctx, bin.Mwctl, "config", "apply", filepath.Join(dir, "schema.toml"), "--admin", "http://"+admin, "--key", harness.AdminKey)
		out, err := cmd.CombinedOutput()
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return fmt.Errorf("apply schema: %w: %s", err, out)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return harness.WaitForStatus(ctx, "http://"+admin+"/readyz", http.StatusOK)
}

func tableOf(samples []sample) [][]string {
	rows := [][]string{{"servers", "entries", "customers", "models", "cpu_percent", "rss_mb", "peer_bytes_per_s", "list_bytes_per_s", "log_bytes_per_s",
		"probes_per_s", "exchanges_per_s", "schema_bytes"}}
	for _, s := range samples {
		row := []string{strconv.Itoa(s.servers), strconv.Itoa(s.entries), strconv.Itoa(s.customers), strconv.Itoa(s.models)}
		for _, v := range []float64{s.cpuPercent, s.rssMB, s.peerBytes, s.listBytes, s.logBytes, s.probesPerSecond, s.exchangesPerSecond} {
			row = append(row, strconv.FormatFloat(v, 'f', 2, 64))
		}
		rows = append(rows, append(row, strconv.Itoa(s.schemaBytes)))
	}
	return rows
}
