//go:build review

package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/magnoliawheel/magnoliawheel/platform"
)

// deployFile says how the platform starts an entry.
const deployFile = "deploy/system.toml"

// portRange is the number of ports that an entry has for connections with other entries.
const portRange = 16

// Entry is one process of the project.
type Entry struct {
	Name, Front, Ready string

	fleet    *Fleet
	settings string
	// storeRelay and peerRelay stand between the entry and the store, and between other entries
	// and this one, if it can be cut off.
	storeRelay, peerRelay *relay
	cmd                   *exec.Cmd
	ended                 chan struct{}
}

// EntryOptions changes the settings of an entry.
type EntryOptions struct {
	// Separable entries can be cut off from the store and from the entries that start after them.
	Separable bool
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
}

// StartEntry starts an entry and waits until it is ready.
func (f *Fleet) StartEntry(name string, o EntryOptions) *Entry {
	ip := fmt.Sprintf("127.0.0.%d", 21+len(f.entries))
	ports := freePorts(ip)
	storeAddress := f.Store.Address()
	e := &Entry{Name: name, Front: ports.front, Ready: ports.ready, fleet: f, settings: filepath.Join(f.dir, name+".json")}
	if o.Separable {
		e.storeRelay, e.peerRelay = startRelay(storeAddress), startRelay(net.JoinHostPort(ip, strconv.Itoa(ports.peers)))
		storeAddress = e.storeRelay.address()
		f.announce(name, e.peerRelay.address())
	}
	zone := zoneNames[len(f.entries)%len(zoneNames)]
	settings := map[string]any{
		"node": name, "role": "gateway", "machine_class": "front", "serves": []string{"front"}, "ip": ip,
		"zone": zone, "region": Zones[zone], "zones": Zones,
		"listen":     map[string]string{"front": ports.front, "ready": ports.ready},
		"port_range": []int{ports.peers, ports.peers + portRange - 1}, "seeds": []string{},
		"bootstrap": o.FirstStart, "in_tolerance": false, "data_dir": nil, "discovery": "platform", "entry": "vip",
		"heartbeat_ms":    Heartbeat.Milliseconds(),
		"limits":          map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "stages"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": Contact.Milliseconds(), "ack_ms": 4000, "catch_up_s": 4, "drain_ms": DrainBound.Milliseconds(), "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "outer_ms": 5000, "fail_closed": true, "revoke_ms": RevokeBound.Milliseconds(),
			"retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54, "recovery_s": 12, "pass_ms": 200, "retry_after_s": 10,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0, "part_mb_s": 20.0, "read_mb_s": 80.0,
			"record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000,
		},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		fail("settings: %v", err)
	}
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		fail("settings: %v", err)
	}
	f.entries = append(f.entries, e)
	e.Start()
	return e
}

// Start starts the process and waits until it is ready.
func (e *Entry) Start() {
	words := runWords()
	log, err := os.OpenFile(filepath.Join(e.fleet.dir, e.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	defer func() { _ = log.Close() }()
	e.cmd = exec.Command(words[0], words[1:]...)
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), platform.SettingsFileEnv + "=" + e.settings}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		fail("entry %s: %v", e.Name, err)
	}
	cmd, ended := e.cmd, make(chan struct{})
	e.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	e.fleet.Note("entry %s starts, front %s", e.Name, e.Front)
	e.WaitReady()
}

// WaitReady waits until the readiness check of the platform succeeds.
func (e *Entry) WaitReady() { Wait("entry "+e.Name+" is ready", 20*time.Second, e.IsReady) }

// IsReady asks as the platform does.
func (e *Entry) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + e.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Signal sends a signal to the process.
func (e *Entry) Signal(s syscall.Signal) {
	e.fleet.Note("entry %s gets %v", e.Name, s)
	_ = e.cmd.Process.Signal(s)
}

// Kill kills the process, also if it is stopped, and waits for its end.
func (e *Entry) Kill() {
	select {
	case <-e.ended:
		return
	default:
	}
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	<-e.ended
}

// Ended returns a channel that is closed at the end of the process.
func (e *Entry) Ended() <-chan struct{} { return e.ended }

// runWords returns the command of the deploy file.
func runWords() []string {
	data, err := os.ReadFile(deployFile)
	if err != nil {
		fail("%v", err)
	}
	var deploy struct {
		Roles map[string]struct {
			Run string `toml:"run"`
		} `toml:"roles"`
	}
	if err := toml.Unmarshal(data, &deploy); err != nil {
		fail("%s: %v", deployFile, err)
	}
	words := strings.Fields(deploy.Roles["gateway"].Run)
	if len(words) == 0 {
		fail("%s has no command for the role gateway", deployFile)
	}
	return words
}

// entryPorts are free addresses of an entry.
type entryPorts struct {
	front, ready string
	peers        int
}

func freePorts(ip string) entryPorts {
	var addresses []string
	for range 3 {
		lis, err := net.Listen("tcp", ip+":0")
		if err != nil {
			fail("%v", err)
		}
		defer func() { _ = lis.Close() }()
		addresses = append(addresses, lis.Addr().String())
	}
	_, port, _ := net.SplitHostPort(addresses[2])
	peers, _ := strconv.Atoi(port)
	return entryPorts{front: addresses[0], ready: addresses[1], peers: peers}
}

// announce makes other entries reach the one with the given name through a relay: the record in
// which it names its address gets that of the relay.
func (f *Fleet) announce(name, address string) {
	f.Store.TransformValues(func(topic, key string, value []byte) []byte {
		var record map[string]any
		if topic != platform.EntriesTopic || key != name || json.Unmarshal(value, &record) != nil {
			return value
		}
		record["address"] = address
		changed, err := json.Marshal(record)
		if err != nil {
			return value
		}
		return changed
	})
}

// CutOff cuts a separable entry off from the store and from the other entries. Its clients and the
// servers still reach it.
func (e *Entry) CutOff() {
	e.storeRelay.setCut(true)
	e.peerRelay.setCut(true)
	e.fleet.Note("entry %s is cut off from the store and from the other entries", e.Name)
}

// Heal ends what CutOff began.
func (e *Entry) Heal() {
	e.storeRelay.setCut(false)
	e.peerRelay.setCut(false)
	e.fleet.Note("entry %s is no longer cut off", e.Name)
}
