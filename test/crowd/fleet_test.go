// Package crowd starts processes as they run in production and sends them clients that do not
// behave: crowds that send heads and bodies without their end, read no answers, or only hold
// connections. No process may end, exceed its memory or its descriptors, and an ordinary request
// must be answered while the crowd is there. The tests run one at a time, apart from others.
package crowd

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
)

const (
	host = standin.Host
	key  = "key-0"
	// waitTimeout bounds the wait for an ordinary answer; it is not a requirement.
	waitTimeout = 60 * time.Second
	// headerBytes and bodyBytes are the limits of the configuration.
	headerBytes = 16 << 10
	bodyBytes   = 4 << 20
	// memoryMB and descriptors are the limits of a process. crampedDescriptors is for crowds
	// that only hold connections.
	memoryMB           = 128
	descriptors        = 4100
	crampedDescriptors = 500
	// fileDescriptors is the part of a process's descriptors that is not for sockets.
	fileDescriptors = 200
)

var binaries harness.Binaries

func TestMain(m *testing.M) { os.Exit(harness.Main(m, &binaries)) }

// fleet is one entry on the platform with a store, a model server and a plain server.
type fleet struct {
	t        *testing.T
	store    *standin.Store
	plain    *standin.Server
	model    *standin.Server
	settings standin.Settings
	// metricsAddr and peerAddr are addresses on which the entry listens besides those of the
	// settings.
	metricsAddr, peerAddr string
	process               *harness.Process
	meter                 *meter
	requests              atomic.Int64
	// headerBytes is the limit for the header of a request.
	headerBytes int
}

// newFleet starts a fleet whose entry has the given descriptors.
func newFleet(t *testing.T, maxDescriptors int) *fleet {
	return (&fleet{t: t, headerBytes: headerBytes}).run(maxDescriptors, nil)
}

// run starts a fleet whose entry has the given descriptors. Its output goes to stdout, or to a
// file if that is nil.
func (f *fleet) run(maxDescriptors int, stdout *os.File) *fleet {
	t := f.t
	f.store = standin.NewStore()
	t.Cleanup(f.store.Close)
	f.plain = f.addServer("plain", 0)
	f.model = f.addServer("model", 3)
	f.putConfig(1)
	f.peerAddr, f.metricsAddr = harness.FreeAddr(), harness.FreeAddr()
	f.settings = standin.Settings{
		Node: "e", ClientAddress: harness.FreeAddr(), ReadinessAddress: harness.FreeAddr(), StoreAddress: f.store.Address(), FirstStart: true,
		FirstPort: portOf(t, f.peerAddr), MemoryMB: memoryMB, MaxDescriptors: maxDescriptors, KeyValidity: 20 * time.Second, Grace: 5 * time.Second,
	}
	f.start(stdout)
	f.meter = startMeter(t, f.process, bounds{memoryMB, maxDescriptors - fileDescriptors}, f.settings.ClientAddress, f.settings.ReadinessAddress, f.metricsAddr, f.peerAddr)
	return f
}

// putConfig writes a version of the configuration to the store.
func (f *fleet) putConfig(version int) {
	f.store.Put(platform.ConfigTopic, platform.ConfigKey, standin.LimitedConfigRecord(version, []string{key}, f.headerBytes, bodyBytes))
}

func portOf(t *testing.T, addr string) int {
	_, text, err := net.SplitHostPort(addr)
	assert.NilError(t, err)
	port, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return port
}

func (f *fleet) addServer(service string, events int) *standin.Server {
	s := standin.NewServer(service+"-1", events)
	f.t.Cleanup(s.CloseClientConnections)
	f.store.Put(platform.ServersTopic, s.ID, standin.ServerRecord(service, s.Address(), false))
	return s
}

// start starts the entry and waits until it answers.
func (f *fleet) start(stdout *os.File) {
	dir := f.t.TempDir()
	path := filepath.Join(dir, "e.json")
	assert.NilError(f.t, os.WriteFile(path, standin.EncodeSettings(f.settings), 0o600))
	var err error
	f.process, err = harness.StartProcessWithEnv([]string{platform.SettingsFileEnv + "=" + path}, dir, "e", stdout,
		binaries.Magnoliawheel, "gateway", "--metrics-port", strconv.Itoa(portOf(f.t, f.metricsAddr)))
	assert.NilError(f.t, err)
	f.t.Cleanup(f.process.Kill)
	f.awaitOrdinary()
}

// header returns the header of a request with a new ID.
func (f *fleet) header() http.Header {
	h := http.Header{}
	standin.ClientHeader{RequestID: fmt.Sprint("r-", f.requests.Add(1)), APIKey: key}.SetOn(h)
	return h
}

// awaitOrdinary waits until an ordinary request with a body is answered, the readiness check says
// ready, and metrics are served.
func (f *fleet) awaitOrdinary() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	assert.NilError(f.t, answered(ctx, f.ordinaryRequest))
	for _, url := range []string{"http://" + f.settings.ReadinessAddress + platform.ReadinessPath, "http://" + f.metricsAddr + "/metrics"} {
		assert.NilError(f.t, answered(ctx, getRequest(url)), url)
	}
}

func (f *fleet) ordinaryRequest(ctx context.Context) *http.Request {
	url := "http://" + f.settings.ClientAddress + standin.PathSafe + "x"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("an ordinary body")))
	assert.NilError(f.t, err)
	req.Host, req.Header = host, f.header()
	return req
}

func getRequest(url string) func(ctx context.Context) *http.Request {
	return func(ctx context.Context) *http.Request {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			panic(err)
		}
		return req
	}
}

// check waits until the crowd has sent what it can, and checks the entry.
func (f *fleet) check(c *crowd) {
	f.t.Helper()
	c.settle()
	f.awaitOrdinary()
	f.meter.check()
}
