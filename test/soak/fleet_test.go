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
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
)

const (
	// keyValidity is how long keys are honoured without the store.
	keyValidity = 2 * time.Second
	// events is the number of events of a stream.
	events = 6
	// pace is the time before each event and each whole answer.
	pace = 15 * time.Millisecond
	// patience bounds the wait for an event that must come.
	patience = 60 * time.Second
)

// services are the services of the configuration and the number of their servers.
var services = map[string]int{"a": 2, "b": 2, "model": 3, "plain": 3}

// fleet is a store, servers and entries; links lie between all of them.
type fleet struct {
	t       *testing.T
	dir     string
	store   *standin.Store
	entries []*entry

	mu      sync.Mutex
	servers map[string]*server
	// all are the servers that ever ran.
	all     []*standin.Server
	next    int
	version int
	// keys are those of the newest version, once the ones that it no longer has.
	keys, once []string
}

// server is a backend server behind a link.
type server struct {
	*standin.Server
	service string
	link    *harness.Relay
}

// entry is an entry process with the links to it and from it to the store.
type entry struct {
	f        *fleet
	name     string
	settings standin.Settings
	clients  *harness.Relay
	store    *harness.Relay
	peers    *harness.Relay

	mu          sync.Mutex
	process     *harness.Process
	incarnation int
}

// newLink starts a relay in front of an address.
func newLink(t *testing.T, target string) *harness.Relay {
	t.Helper()
	r, err := harness.StartRelay(target)
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	return r
}

func newFleet(t *testing.T, entries int) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), store: standin.NewStore(), servers: map[string]*server{}}
	t.Cleanup(f.store.Close)
	f.store.TransformValues(f.peersThroughLinks)
	for service, n := range services {
		for range n {
			f.add(service)
		}
	}
	f.changeKeys(func(keys []string) []string { return append(keys, "key-0") })
	for i := range entries {
		f.entries = append(f.entries, f.newEntry(fmt.Sprint("e", i)))
	}
	for _, e := range f.entries {
		e.start()
	}
	for _, e := range f.entries {
		e.waitReady()
	}
	return f
}

// peersThroughLinks replaces the address that an entry registers by that of a link.
func (f *fleet) peersThroughLinks(topic, name string, value []byte) []byte {
	if topic != platform.EntriesTopic {
		return value
	}
	var rec map[string]any
	if json.Unmarshal(value, &rec) != nil {
		return value
	}
	for _, e := range f.entries {
		if e.name == name {
			rec["address"] = e.peers.Addr()
		}
	}
	changed, err := json.Marshal(rec)
	assert.Check(f.t, err)
	return changed
}

// add starts a server and records it.
func (f *fleet) add(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	id := fmt.Sprintf("%s-%d", service, f.next)
	n := 0
	if service == "model" {
		n = events
	}
	s := &server{Server: standin.NewServer(id, n), service: service}
	s.SetDelay(pace)
	f.t.Cleanup(s.CloseClientConnections)
	s.link = newLink(f.t, s.Address())
	f.servers[id] = s
	f.all = append(f.all, s.Server)
	f.record(s, false)
}

func (f *fleet) record(s *server, leaving bool) {
	f.store.Put(platform.ServersTopic, s.ID, standin.ServerRecord(s.service, s.link.Addr(), leaving))
}

// remove drops the record of a server.
func (f *fleet) remove(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.servers, s.ID)
	f.store.Put(platform.ServersTopic, s.ID, nil)
}

// changeKeys writes a version of the configuration with other keys.
func (f *fleet) changeKeys(change func([]string) []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.keys = change(f.keys)
	f.store.Put(platform.ConfigTopic, platform.ConfigKey, standin.ConfigRecord(f.version, f.keys))
}

func (f *fleet) newEntry(name string) *entry {
	e := &entry{f: f, name: name}
	e.store = newLink(f.t, f.store.Address())
	e.settings = standin.Settings{
		Node: name, ClientAddress: harness.FreeAddr(), ReadinessAddress: harness.FreeAddr(),
		StoreAddress: e.store.Addr(), KeyValidity: keyValidity,
	}
	_, port, err := net.SplitHostPort(harness.FreeAddr())
	assert.NilError(f.t, err)
	e.settings.FirstPort, err = strconv.Atoi(port)
	assert.NilError(f.t, err)
	e.clients = newLink(f.t, e.settings.ClientAddress)
	e.peers = newLink(f.t, net.JoinHostPort("127.0.0.1", port))
	assert.NilError(f.t, os.WriteFile(e.settingsPath(), standin.EncodeSettings(e.settings), 0o600))
	return e
}

func (e *entry) settingsPath() string { return filepath.Join(e.f.dir, e.name+".json") }

// start starts the process anew.
func (e *entry) start() {
	p, err := harness.StartProcessWithEnv([]string{platform.SettingsFileEnv + "=" + e.settingsPath()},
		e.f.dir, e.name, nil, binaries.Magnoliawheel, "gateway")
	assert.Check(e.f.t, err)
	if err != nil {
		return
	}
	e.f.t.Cleanup(p.Kill)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process = p
	e.incarnation++
}

// now returns the process that runs, and which start of the entry it is.
func (e *entry) now() (*harness.Process, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process, e.incarnation
}

// waitReady waits until the entry asks for clients.
func (e *entry) waitReady() {
	e.wait("ready", func(status int) bool { return status == http.StatusOK })
}

// waitAnswers waits until the entry answers whether it is ready.
func (e *entry) waitAnswers() {
	e.wait("there", func(status int) bool { return status != 0 })
}

func (e *entry) wait(what string, enough func(status int) bool) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for !enough(e.readiness(ctx)) {
		if ctx.Err() != nil {
			e.f.t.Errorf("%s is not %s; its log ends with\n%s", e.name, what, e.lastLines())
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// readiness returns the status of the entry's answer, 0 if there is none.
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

// lastLines returns the end of the entry's log.
func (e *entry) lastLines() string {
	const shown = 2000
	data, err := os.ReadFile(filepath.Join(e.f.dir, e.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-shown):])
}
