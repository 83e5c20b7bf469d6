// Command capacity measures the cost of the control traffic of one entry in deployments
// of different sizes. It runs a real entry against simulated peers, which serve probes
// and exchanges, and writes processor time, memory and bytes per second for each size.
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
	peerSecret   = "capacity-secret-0123456789"
	startTimeout = 60 * time.Second
)

type options struct {
	Servers    []int         `long:"servers" description:"Number of servers in the deployment; can be repeated (default 270, 900 and 2700)"`
	Duration   time.Duration `long:"duration" default:"30s" description:"Duration of one measurement"`
	SettleTime time.Duration `long:"settle" default:"15s" description:"Time to wait before each measurement"`
	OutputFile string        `long:"out" description:"CSV file to write in addition to standard output"`
}

// sample is the result of one measurement.
type sample struct {
	deploymentSize
	cpuPercent, rssMB                                         float64
	peerBytesPerSecond, listBytesPerSecond, logBytesPerSecond float64
	probesPerSecond, exchangesPerSecond                       float64
	schemaBytes                                               int
}

func main() {
	o := options{Servers: []int{270, 900, 2700}}
	m := harness.Measurement{
		Name: "capacity", Options: &o, CSVFile: func() string { return o.OutputFile },
		Measure: func(ctx context.Context, bin harness.Binaries, dir string) ([][]string, error) {
			return run(ctx, o, bin, dir)
		},
	}
	m.Main()
}

func run(ctx context.Context, o options, bin harness.Binaries, dir string) ([][]string, error) {
	var samples []sample
	for _, n := range o.Servers {
		s, err := measure(ctx, o, bin, dir, targetSize(n))
		if err != nil {
			return nil, fmt.Errorf("measure %d servers: %w", n, err)
		}
		samples = append(samples, s)
	}
	return tableRows(samples), nil
}

// targetSize returns the size of a deployment with this many servers. It scales the
// number of entries from the target of 360 entries for 2700 servers.
func targetSize(servers int) deploymentSize {
	return deploymentSize{
		servers: servers, entries: max(servers*360/2700, 2), customers: 640, models: 35,
		pipelines: 11, regions: 5, zones: 16,
	}
}

// platformStandIns holds the stand-ins for the platform, and relays in front of them
// that count bytes.
type platformStandIns struct {
	log, list           *standin.Server
	logAddr, listAddr   string
	logBytes, listBytes atomic.Uint64
	relays              []*meter.Relay
}

// startPlatform starts the stand-ins and a relay in front of each.
func startPlatform() (*platformStandIns, error) {
	p := &platformStandIns{logAddr: harness.FreeAddr(), listAddr: harness.FreeAddr()}
	var err error
	if p.log, err = platformlog.Start(p.logAddr, platformlog.Config{}); err != nil {
		return nil, err
	}
	if p.list, err = instancelist.Start(p.listAddr, standin.Faults{}); err != nil {
		return nil, err
	}
	for _, counted := range []struct {
		addr  *string
		bytes *atomic.Uint64
	}{{&p.logAddr, &p.logBytes}, {&p.listAddr, &p.listBytes}} {
		relay, err := meter.StartRelay(*counted.addr, counted.bytes)
		if err != nil {
			return nil, err
		}
		p.relays = append(p.relays, relay)
		*counted.addr = relay.Addr()
	}
	return p, nil
}

// close stops the relays and the stand-ins.
func (p *platformStandIns) close() {
	for _, r := range p.relays {
		r.Close()
	}
	p.log.Close()
	p.list.Close()
}

// measure runs one entry in a deployment of the given size and returns its sample.
func measure(ctx context.Context, o options, bin harness.Binaries, dir string, s deploymentSize) (sample, error) {
	m := sample{deploymentSize: s, schemaBytes: len(s.schemaTOML())}
	platform, err := startPlatform()
	if err != nil {
		return m, err
	}
	defer platform.close()
	f, err := newFleet([]byte(peerSecret), s.modelNames())
	if err != nil {
		return m, err
	}
	defer f.close()
	adminAddr := harness.FreeAddr()
	if err := startFleet(ctx, f, platform, s, adminAddr); err != nil {
		return m, err
	}
	proc, err := startEntry(ctx, bin, dir, platform, s, adminAddr)
	if err != nil {
		return m, err
	}
	defer proc.Kill()
	time.Sleep(o.SettleTime)
	return m, m.measureRates(o.Duration, proc, f, platform)
}

// measureRates measures the processor time and the traffic over the given duration, and
// the memory at its end.
func (s *sample) measureRates(d time.Duration, proc *harness.Process, f *fleet, platform *platformStandIns) error {
	cpuSecondsBefore, err := proc.CPUSeconds()
	if err != nil {
		return err
	}
	peerBytesBefore, listBytesBefore, logBytesBefore := f.bytes.Load(), platform.listBytes.Load(), platform.logBytes.Load()
	probesBefore, exchangesBefore := f.probes.Load(), f.exchanges.Load()
	time.Sleep(d)
	cpuSeconds, err := proc.CPUSeconds()
	if err != nil {
		return err
	}
	perSecond := func(now, before uint64) float64 { return float64(now-before) / d.Seconds() }
	s.cpuPercent = 100 * (cpuSeconds - cpuSecondsBefore) / d.Seconds()
	s.peerBytesPerSecond, s.listBytesPerSecond, s.logBytesPerSecond = perSecond(f.bytes.Load(), peerBytesBefore), perSecond(platform.listBytes.Load(), listBytesBefore), perSecond(platform.logBytes.Load(), logBytesBefore)
	s.probesPerSecond, s.exchangesPerSecond = perSecond(f.probes.Load(), probesBefore), perSecond(f.exchanges.Load(), exchangesBefore)
	s.rssMB, err = proc.ResidentMB()
	return err
}

// startFleet starts the peers and publishes them in the instance list.
func startFleet(ctx context.Context, f *fleet, platform *platformStandIns, s deploymentSize, adminAddr string) error {
	var instances []instancelist.Instance
	for i := range s.servers + s.entries {
		instance := instancelist.Instance{ID: fmt.Sprintf("agent-%d", i), Role: "agent", Pool: s.poolName(i), AdminAddr: "127.0.0.1:1"}
		if i >= s.servers {
			instance.ID, instance.Role, instance.Pool = fmt.Sprintf("entry-%d", i-s.servers), "entry", ""
		}
		instance.Zone, instance.Region = s.zoneAndRegion(i)
		addr, err := f.startPeer(instance.ID, uint64(i+1))
		if err != nil {
			return err
		}
		instance.Addr = addr
		instances = append(instances, instance)
	}
	body, err := json.Marshal(map[string]any{"instances": instances})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+platform.listAddr+"/control", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("publish instance list: %s", resp.Status)
	}
	return nil
}

// entrySettingsTemplate is the settings file of the measured entry.
const entrySettingsTemplate = `[instance]
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

// startEntry starts the entry to be measured and waits until it is ready.
func startEntry(ctx context.Context, bin harness.Binaries, dir string, platform *platformStandIns, s deploymentSize, adminAddr string) (*harness.Process, error) {
	files := map[string]string{
		"entry.toml":  fmt.Sprintf(entrySettingsTemplate, harness.FreeAddr(), harness.FreeAddr(), adminAddr, platform.logAddr, platform.listAddr),
		"peer.secret": peerSecret,
		"admin.keys":  "write capacity " + harness.AdminKey + "\n",
		"schema.toml": s.schemaTOML(),
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
	if err := applySchema(ctx, bin, dir, adminAddr); err != nil {
		proc.Kill()
		log, _ := os.ReadFile(proc.LogFile)
		return nil, fmt.Errorf("%w\n%s", err, log)
	}
	return proc, nil
}

// applySchema applies the schema, retrying until ctx ends, and waits until the entry is
// ready.
func applySchema(ctx context.Context, bin harness.Binaries, dir, adminAddr string) error {
	if err := harness.WaitForStatus(ctx, "http://"+adminAddr+"/healthz", http.StatusOK); err != nil {
		return err
	}
	for {
		cmd := exec.CommandContext(ctx, bin.Mwctl, "config", "apply", filepath.Join(dir, "schema.toml"), "--admin", "http://"+adminAddr, "--key", harness.AdminKey)
		output, err := cmd.CombinedOutput()
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return fmt.Errorf("apply schema: %w: %s", err, output)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return harness.WaitForStatus(ctx, "http://"+adminAddr+"/readyz", http.StatusOK)
}

// tableRows returns the samples as CSV rows with a header.
func tableRows(samples []sample) [][]string {
	rows := [][]string{{"servers", "entries", "customers", "models", "cpu_percent", "rss_mb", "peer_bytes_per_s", "list_bytes_per_s", "log_bytes_per_s",
		"probes_per_s", "exchanges_per_s", "schema_bytes"}}
	for _, s := range samples {
		row := []string{strconv.Itoa(s.servers), strconv.Itoa(s.entries), strconv.Itoa(s.customers), strconv.Itoa(s.models)}
		for _, v := range []float64{s.cpuPercent, s.rssMB, s.peerBytesPerSecond, s.listBytesPerSecond, s.logBytesPerSecond, s.probesPerSecond, s.exchangesPerSecond} {
			row = append(row, strconv.FormatFloat(v, 'f', 2, 64))
		}
		rows = append(rows, append(row, strconv.Itoa(s.schemaBytes)))
	}
	return rows
}
