package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
)

const (
	// keyValidity is how long an entry accepts keys while it cannot reach the store.
	keyValidity = 2 * time.Second
	// streamEvents is the number of events in a stream.
	streamEvents = 6
	// responseDelay is the time that a server takes before each event of a stream and
	// before each other answer.
	responseDelay = 15 * time.Millisecond
	// eventTimeout bounds the wait for an expected event.
	eventTimeout = 60 * time.Second
)

// serversPerService maps the services of the configuration to the number of their servers.
var serversPerService = map[string]int{"a": 2, "b": 2, "model": 3, "plain": 3}

// softwareVersions are the versions that the servers of a service run, in turn.
var softwareVersions = []string{"v1", "v2"}

// fleet is a store, servers and entries. All connections between them pass through relays.
type fleet struct {
	t     *testing.T
	dir   string
	store *standin.Store

	recordsMu sync.Mutex
	// serverRecords are the newest records of all servers, also of deleted ones.
	serverRecords map[string][]byte
	entries       []*entry
	// peerRelays maps the names of entries to the relays (*harness.Relay) before their
	// peer addresses. The store reads it while entries register.
	peerRelays sync.Map

	mu sync.Mutex
	// activeServers are the servers that may be subject to faults, by id.
	activeServers map[string]*server
	// allServers are all servers that were ever started.
	allServers       []*standin.Server
	lastServerNumber int
	configVersion    int
	// restricted is set if the requests of restrictedPath may be held only in homeRegion.
	restricted bool
	// grace is the time that an entry has to stop; 0 means the default.
	grace time.Duration
	// pools is the number of further services of resumable streams.
	pools int
	// zoneByServer maps all servers that were ever started to their zones.
	zoneByServer map[string]string
	// keys are those in the newest configuration version, revokedKeys those that earlier
	// versions had.
	keys, revokedKeys []string
}

// server is a backend server and the relay in front of it.
type server struct {
	*standin.Server
	service string
	// version is that of the server's software.
	version string
	// startTime is that in its record.
	startTime int
	relay     *harness.Relay
	// zone is homeZone or otherZone.
	zone string
}

// entry is an entry process with the relays in front of its client and peer ports, and the
// one between it and the store.
type entry struct {
	fleet       *fleet
	name        string
	settings    standin.Settings
	clientRelay *harness.Relay
	storeRelay  *harness.Relay
	peerRelay   *harness.Relay

	mu      sync.Mutex
	process *harness.Process
	// incarnation counts how often the entry was started.
	incarnation int
}

// newRelay starts a relay in front of target and closes it with the test.
func newRelay(t *testing.T, target string) *harness.Relay {
	t.Helper()
	r, err := harness.StartRelay(target)
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	return r
}

func newFleet(t *testing.T, entries int) *fleet { return startFleet(t, entries, false, 0) }

// newRestrictedFleet returns a fleet in which the requests of restrictedPath may be held only in
// one region.
func newRestrictedFleet(t *testing.T, entries int) *fleet { return startFleet(t, entries, true, 0) }

// startFleet returns a fleet whose entries have the given grace period to stop; 0 means the
// default.
func startFleet(t *testing.T, entries int, restricted bool, grace time.Duration) *fleet {
	return (&fleet{t: t, restricted: restricted, grace: grace}).start(entries)
}

// start starts the store, the servers and the entries, and returns the fleet.
func (f *fleet) start(entries int) *fleet {
	f.dir, f.store = f.logDir(), standin.NewStore()
	f.activeServers, f.serverRecords, f.zoneByServer = map[string]*server{}, map[string][]byte{}, map[string]string{}
	f.t.Cleanup(f.store.Close)
	f.store.TransformValues(f.rewritePeerAddress)
	for service, n := range serversPerService {
		for range n {
			f.addServer(service)
		}
	}
	f.startPools()
	f.updateKeys(func(keys []string) []string { return append(keys, "key-0") })
	for i := range entries {
		e := f.newEntry(fmt.Sprint("e", i))
		f.peerRelays.Store(e.name, e.peerRelay)
		f.entries = append(f.entries, e)
	}
	for _, e := range f.entries {
		e.start()
	}
	for _, e := range f.entries {
		e.waitUntilReady()
	}
	return f
}

// logsEnv is the environment variable with the directory that keeps the logs of entries.
const logsEnv = "SOAK_LOGS"

// logDir returns the directory for the logs, which ends with the test unless logsEnv is set.
func (f *fleet) logDir() string {
	parent := os.Getenv(logsEnv)
	if parent == "" {
		return f.t.TempDir()
	}
	dir := filepath.Join(parent, f.t.Name())
	assert.NilError(f.t, os.MkdirAll(dir, 0o700))
	return dir
}

// rewritePeerAddress replaces the address in an entry's registration by that of its relay,
// so that connections between entries pass through it.
func (f *fleet) rewritePeerAddress(topic, name string, value []byte) []byte {
	if topic != platform.EntriesTopic {
		return value
	}
	// Numbers stay as they are: as floats, large ones would lose digits.
	var record map[string]json.RawMessage
	if json.Unmarshal(value, &record) != nil {
		return value
	}
	if relay, ok := f.peerRelays.Load(name); ok {
		address, err := json.Marshal(relay.(*harness.Relay).Addr())
		assert.Check(f.t, err)
		record["address"] = address
	}
	changed, err := json.Marshal(record)
	assert.Check(f.t, err)
	return changed
}

// addServer starts a server, writes its record to the store and returns it.
func (f *fleet) addServer(service string) *server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startServer(service, softwareVersions[(f.lastServerNumber+1)%len(softwareVersions)])
}

// startServer is addServer for a server of the given version. The caller holds mu.
func (f *fleet) startServer(service, version string) *server {
	f.lastServerNumber++
	return f.startServerAs(fmt.Sprintf("%s-%d", service, f.lastServerNumber), service, version, 1)
}

// startServerAs is startServer for a server of the given ID, whose record names the given start.
func (f *fleet) startServerAs(id, service, version string, startTime int) *server {
	events := 0
	if strings.HasPrefix(service, "model") {
		events = streamEvents
	}
	s := &server{Server: standin.NewServer(id, events), service: service, version: version, startTime: startTime}
	s.zone = f.zoneWithFewest(service)
	f.zoneByServer[id] = s.zone
	s.SetVersion(s.version)
	s.SetDelay(responseDelay)
	f.t.Cleanup(s.CloseClientConnections)
	s.relay = newRelay(f.t, s.Address())
	f.activeServers[id] = s
	f.allServers = append(f.allServers, s.Server)
	f.putServerRecord(s, false)
	return s
}

func (f *fleet) putServerRecord(s *server, draining bool) {
	record := standin.VersionedServerRecord(s.service, s.relay.Addr(), s.version, draining)
	f.writeServerRecord(s.ID, standin.OfStart(standin.InZone(record, s.zone), s.startTime))
}

// writeServerRecord writes the record of a server; nil deletes it.
func (f *fleet) writeServerRecord(id string, value []byte) {
	f.recordsMu.Lock()
	defer f.recordsMu.Unlock()
	f.serverRecords[id] = value
	f.store.Put(platform.ServersTopic, id, value)
}

// rewriteRecords writes the newest records of the configuration and of all servers again.
func (f *fleet) rewriteRecords() {
	f.mu.Lock()
	f.store.Put(platform.ConfigTopic, platform.ConfigKey, f.configRecord())
	f.mu.Unlock()
	f.recordsMu.Lock()
	defer f.recordsMu.Unlock()
	for id, value := range f.serverRecords {
		f.store.Put(platform.ServersTopic, id, value)
	}
}

// removeServer deletes the record of a server from the store.
func (f *fleet) removeServer(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.activeServers, s.ID)
	f.writeServerRecord(s.ID, nil)
}

// updateKeys writes a new version of the configuration, with the keys that change returns.
func (f *fleet) updateKeys(change func([]string) []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configVersion++
	f.keys = change(f.keys)
	f.store.Put(platform.ConfigTopic, platform.ConfigKey, f.configRecord())
}

func (f *fleet) newEntry(name string) *entry {
	e := &entry{fleet: f, name: name}
	e.storeRelay = newRelay(f.t, f.store.Address())
	e.settings = standin.Settings{
		Node: name, ClientAddress: harness.FreeAddr(), ReadinessAddress: harness.FreeAddr(),
		StoreAddress: e.storeRelay.Addr(), KeyValidity: f.keyValidity(), Grace: f.grace,
	}
	_, port, err := net.SplitHostPort(harness.FreeAddr())
	assert.NilError(f.t, err)
	e.settings.FirstPort, err = strconv.Atoi(port)
	assert.NilError(f.t, err)
	e.clientRelay = newRelay(f.t, e.settings.ClientAddress)
	e.peerRelay = newRelay(f.t, net.JoinHostPort("127.0.0.1", port))
	return e
}

func (e *entry) settingsPath() string { return filepath.Join(e.fleet.dir, e.name+".json") }

// start starts the entry's process, also after an earlier one has exited.
func (e *entry) start() {
	_, starts := e.currentProcess()
	e.settings.FirstStart = starts == 0
	assert.Check(e.fleet.t, os.WriteFile(e.settingsPath(), standin.EncodeSettings(e.settings), 0o600))
	p, err := harness.StartProcessWithEnv([]string{platform.SettingsFileEnv + "=" + e.settingsPath()},
		e.fleet.dir, e.name, nil, binaries.Magnoliawheel, "gateway")
	assert.Check(e.fleet.t, err)
	if err != nil {
		return
	}
	e.fleet.t.Cleanup(p.Kill)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process = p
	e.incarnation++
}

// currentProcess returns the process started last and its number, counted from 1.
func (e *entry) currentProcess() (*harness.Process, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process, e.incarnation
}

// waitUntilReady waits until the entry reports that it is ready for clients.
func (e *entry) waitUntilReady() {
	e.waitForReadiness("ready", func(status int) bool { return status == http.StatusOK })
}

// waitUntilResponding waits until the entry responds to readiness requests, ready or not.
func (e *entry) waitUntilResponding() {
	e.waitForReadiness("responding", func(status int) bool { return status != 0 })
}

// waitForReadiness polls the readiness of the entry until done returns true for its status,
// and fails the test if it does not in time.
func (e *entry) waitForReadiness(description string, done func(status int) bool) {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	for !done(e.readiness(ctx)) {
		if ctx.Err() != nil {
			e.fleet.t.Errorf("%s is not %s; end of its log:\n%s", e.name, description, e.logTail())
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// readiness returns the HTTP status of a readiness request, 0 if there is no response.
func (e *entry) readiness(ctx context.Context) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.settings.ReadinessAddress+platform.ReadinessPath, nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// logTail returns the end of the entry's log.
func (e *entry) logTail() string {
	const maxBytes = 2000
	text := e.readLog()
	return text[max(0, len(text)-maxBytes):]
}

// readLog returns the log of all processes of the entry.
func (e *entry) readLog() string {
	data, err := os.ReadFile(filepath.Join(e.fleet.dir, e.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(data)
}
