package confsync

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// fakeLog is an in-memory log with injected faults.
type fakeLog struct {
	mu          sync.Mutex
	first       uint64
	records     []platform.Record
	unavailable bool
	// loseResponses makes appends take effect and return ErrOutcomeUnknown;
	// delayAppends delays them until deliverDelayed.
	loseResponses, delayAppends bool
	delayed                     [][]byte
	// clock is the time of the log; the current time if zero.
	clock time.Time
}

func newFakeLog() *fakeLog { return &fakeLog{first: 1} }

// appendRecord appends a record without faults. The caller holds the mutex.
func (l *fakeLog) appendRecord(data []byte) uint64 {
	offset := l.first + uint64(len(l.records))
	at := l.clock
	if at.IsZero() {
		at = time.Now()
	}
	l.records = append(l.records, platform.Record{Offset: offset, Time: at, Data: data})
	return offset
}

func (l *fakeLog) Append(_ context.Context, _ string, records ...[]byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return 0, platform.ErrUnavailable
	}
	if l.delayAppends {
		l.delayed = append(l.delayed, records...)
		return 0, platform.ErrOutcomeUnknown
	}
	first := l.first + uint64(len(l.records))
	for _, data := range records {
		l.appendRecord(data)
	}
	if l.loseResponses {
		return 0, platform.ErrOutcomeUnknown
	}
	return first, nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from uint64, limit int, _ time.Duration) (platform.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return platform.Batch{}, platform.ErrUnavailable
	}
	b := platform.Batch{FirstOffset: l.first, NextOffset: l.first + uint64(len(l.records))}
	if from < l.first {
		return b, platform.ErrTruncated
	}
	if from < b.NextOffset {
		rest := l.records[from-l.first:]
		b.Records = append(b.Records, rest[:min(limit, len(rest))]...)
	}
	return b, nil
}

// update calls f with the mutex held.
func (l *fakeLog) update(f func(*fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

// dropBefore drops the records older than a time. The caller holds the mutex.
func (l *fakeLog) dropBefore(oldest time.Time) {
	for len(l.records) > 0 && l.records[0].Time.Before(oldest) {
		l.records = l.records[1:]
		l.first++
	}
}

// deliverDelayed appends the delayed records and ends the fault. The caller holds the
// mutex.
func (l *fakeLog) deliverDelayed() {
	for _, data := range l.delayed {
		l.appendRecord(data)
	}
	l.delayed, l.delayAppends = nil, false
}

// cluster runs several instances in one process on the loopback interface.
type cluster struct {
	t   *testing.T
	log *fakeLog
	ctx context.Context
	// stop ends all instances.
	stop context.CancelFunc

	mu    sync.Mutex
	addrs []string
	syncs []*Sync
}

func newCluster(t *testing.T) *cluster {
	before := runtime.NumGoroutine()
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{t: t, log: newFakeLog(), ctx: ctx, stop: cancel}
	t.Cleanup(func() { waitGoroutines(t, before) })
	return c
}

// waitGoroutines waits until there are no more goroutines than before the test.
func waitGoroutines(t *testing.T, before int) {
	for range 500 {
		if runtime.NumGoroutine() <= before {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	buf := make([]byte, 1<<16)
	t.Fatalf("leaked goroutines:\n%s", buf[:runtime.Stack(buf, true)])
}

// peersExcept returns the addresses of all listed instances except self.
func (c *cluster) peersExcept(self string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, a := range c.addrs {
		if a != self {
			list = append(list, a)
		}
	}
	return list
}

// start adds an instance with all loops running.
func (c *cluster) start() *Sync { return c.startWith(c.log, true) }

// startWith adds an instance with all loops running on the given log.
func (c *cluster) startWith(log platform.Log, listed bool) *Sync {
	s := c.serve(log, listed)
	ended := make(chan struct{})
	go func() { _ = s.Run(c.ctx); close(ended) }()
	c.t.Cleanup(func() { c.stop(); <-ended })
	return s
}

// serve adds an instance that only answers requests of its peers. The other instances see
// it in their peer list if it is listed. Its own peer list is empty when first read, as
// at the start of a process.
func (c *cluster) serve(log platform.Log, listed bool) *Sync {
	var calls atomic.Int64
	s := New(Options{Log: log, Pool: rpc.NewPool(c.tls()), Incarnation: 1, Logger: logr.Discard()})
	addr := c.listen(s)
	s.opts.InstanceID, s.opts.Address = addr, addr
	s.opts.Peers = func() []string {
		if calls.Add(1) == 1 {
			return nil
		}
		return c.peersExcept(addr)
	}
	c.t.Cleanup(func() { c.stop(); _ = s.opts.Pool.Close() })
	c.mu.Lock()
	if listed {
		c.addrs = append(c.addrs, addr)
	}
	c.syncs = append(c.syncs, s)
	c.mu.Unlock()
	return s
}

func (c *cluster) tls() *tls.Config {
	conf, err := rpc.TLSConfig([]byte("a secret of the test cluster"))
	assert.NilError(c.t, err)
	return conf
}

// listen serves a peer and returns its address.
func (c *cluster) listen(peer wire.DRPCPeerServer) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)
	mux := drpcmux.New()
	assert.NilError(c.t, wire.DRPCRegisterPeer(mux, peer))
	tlsConfig, ended := c.tls(), make(chan struct{})
	go func() { _ = rpc.Serve(c.ctx, lis, tlsConfig, mux); close(ended) }()
	c.t.Cleanup(func() { c.stop(); <-ended })
	return lis.Addr().String()
}

// waitForOffset waits until an offset is in force in all instances.
func (c *cluster) waitForOffset(offset uint64) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.ctx, time.Minute)
	defer cancel()
	for _, s := range c.syncs {
		assert.NilError(c.t, s.WaitOffset(ctx, offset))
		assert.Equal(c.t, s.Current().Digest(), c.syncs[0].Current().Digest())
	}
}

// exampleObjects returns the objects of the example schema.
func exampleObjects(t *testing.T) []configlog.Object {
	text, err := os.ReadFile("../../examples/qasr/schema.toml")
	assert.NilError(t, err)
	s, err := schema.Parse(text)
	assert.NilError(t, err)
	list, err := configlog.FromSchema(s)
	assert.NilError(t, err)
	return list
}

// exampleChange returns a change that creates the example schema.
func exampleChange(t *testing.T, id string) *configlog.Change {
	return &configlog.Change{ID: id, Author: "test", Edits: configlog.Diff(nil, exampleObjects(t))}
}

// weightChange returns a change that sets the weight of the customer petra-build.
func weightChange(s *configlog.Snapshot, id, weight string) *configlog.Change {
	o, _ := s.Object("customer/petra-build")
	body := strings.Replace(string(o.Body), `"weight":1`, `"weight":`+weight, 1)
	return &configlog.Change{ID: id, Author: "test", Edits: []configlog.Edit{
		{Object: o.Name, BaseVersion: o.Version, Body: []byte(body)},
	}}
}

func mustSubmit(t *testing.T, s *Sync, c *configlog.Change) configlog.Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	o, err := s.Submit(ctx, c)
	assert.NilError(t, err)
	return o
}

func TestChangeReachesAllInstances(t *testing.T) {
	c := newCluster(t)
	for range 5 {
		c.start()
	}
	o := mustSubmit(t, c.syncs[0], exampleChange(t, "first"))
	assert.Equal(t, o.Status, configlog.Accepted)
	c.waitForOffset(o.Offset)
	for _, s := range c.syncs {
		assert.NilError(t, s.WaitReady(c.ctx))
		assert.Equal(t, len(s.Current().Schema.Customers), 5)
	}
}

func TestNewInstanceGetsStateFromPeerWhileLogIsUnavailable(t *testing.T) {
	c := newCluster(t)
	o := mustSubmit(t, c.start(), exampleChange(t, "first"))
	c.log.update(func(l *fakeLog) { l.unavailable = true })
	c.start()
	c.waitForOffset(o.Offset)
	_, err := c.syncs[1].Submit(c.ctx, weightChange(c.syncs[1].Current(), "second", "2"))
	var coded *result.Error
	assert.Assert(t, errors.As(err, &coded))
	assert.Equal(t, coded.Code, result.ConfigUnavailable)
	assert.Equal(t, coded.RetryAfter, RetryAfter)
	c.log.update(func(l *fakeLog) { l.unavailable = false })
	o = mustSubmit(t, c.syncs[1], weightChange(c.syncs[1].Current(), "second", "2"))
	c.waitForOffset(o.Offset)
}
