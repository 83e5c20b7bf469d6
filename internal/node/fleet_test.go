package node

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// longest bounds the wait for an event that must come.
const longest = 60 * time.Second

// fleet is a store, backend servers and entries on loopback addresses.
type fleet struct {
	t       *testing.T
	store   *standin.Store
	servers map[string]*standin.Server
	// ports are the ports of entries for other entries.
	ports   map[string]int
	version int
	keys    []string
	// cores is the part of a processor that entries have; pause the time between two
	// looks at the records of entries, unless it is 0.
	cores float64
	pause time.Duration
	// storeAddress is where entries reach the store, unless it is "".
	storeAddress string
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, store: standin.NewStore(), servers: map[string]*standin.Server{}, ports: map[string]int{}, keys: []string{"key-1"}}
	t.Cleanup(f.store.Close)
	return f
}

// server starts a backend server and writes its record.
func (f *fleet) server(service, id string, events int) *standin.Server {
	s := standin.NewServer(id, events)
	f.t.Cleanup(s.CloseClientConnections)
	f.servers[id] = s
	f.record(service, id, s.Address(), false)
	return s
}

func (f *fleet) record(service, id, address string, leaving bool) {
	f.store.Put(platform.ServersTopic, id, standin.ServerRecord(service, address, leaving))
}

// configure writes the next version of the configuration.
func (f *fleet) configure() {
	f.version++
	f.store.Put(platform.ConfigTopic, platform.ConfigKey, standin.ConfigRecord(f.version, f.keys))
}

// entry is a running entry.
type entry struct {
	*Node
	f    *fleet
	base string
	stop func()
	done chan struct{}
}

// entry starts an entry; keyValidity 0 honours keys without end.
func (f *fleet) entry(name string, keyValidity time.Duration) *entry {
	settings := &platform.Settings{
		Node: name, Zone: "z", IP: "127.0.0.1", ClientAddress: freeAddress(f.t), ReadinessAddress: freeAddress(f.t),
		FirstPort: f.port(name), StoreAddress: cmp.Or(f.storeAddress, f.store.Address()), ShutdownGrace: 30 * time.Second, KeyValidity: keyValidity,
		MaxConfigDelay: 2500 * time.Millisecond, MaxDrainDelay: 2500 * time.Millisecond,
		Cores:       f.cores,
		RetryBudget: platform.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Allowance: 80},
	}
	n := New(Options{Settings: settings, Log: logr.Discard(), Scope: tally.NoopScope})
	if f.pause > 0 {
		n.registry.pause = f.pause
	}
	stop := make(chan struct{})
	e := &entry{Node: n, f: f, base: "http://" + settings.ClientAddress, done: make(chan struct{}), stop: sync.OnceFunc(func() { close(stop) })}
	go func() {
		defer close(e.done)
		assert.Check(f.t, n.Run(stop))
	}()
	f.t.Cleanup(func() {
		e.stop()
		<-e.done
	})
	return e
}

// port returns the port of an entry for other entries.
func (f *fleet) port(name string) int {
	if f.ports[name] == 0 {
		f.ports[name] = freePort(f.t)
	}
	return f.ports[name]
}

func freePort(t *testing.T) int {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = lis.Close() }()
	return lis.Addr().(*net.TCPAddr).Port
}

func freeAddress(t *testing.T) string { return fmt.Sprint("127.0.0.1:", freePort(t)) }

// ready waits until the entry asks for clients.
func (e *entry) ready() *entry {
	eventually(e.f.t, "entry is ready", func() bool {
		resp, err := http.Get("http://" + e.opts.Settings.ReadinessAddress + platform.ReadinessPath)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return e
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(longest); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("did not come: %s", what)
		}
	}
}

// call is a client's request.
type call struct {
	standin.ClientHeader
	path, body string
	extra      http.Header
}

// keyed returns a request with an id and a customer's key.
func keyed(path, id, key string) call {
	return call{path: path, ClientHeader: standin.ClientHeader{RequestID: id, APIKey: key}}
}

// reply is what the client got.
type reply struct {
	status int
	header http.Header
	body   string
	// broken is set if the answer did not end as it should.
	broken error
}

func (e *entry) do(c call) reply { return e.doCtx(context.Background(), c) }

func (e *entry) doCtx(ctx context.Context, c call) reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+c.path, strings.NewReader(c.body))
	assert.NilError(e.f.t, err)
	req.Host = standin.Host
	c.SetOn(req.Header)
	for name, values := range c.extra {
		req.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{broken: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(bufio.NewReader(resp.Body))
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), broken: err}
}
