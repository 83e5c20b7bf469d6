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

// fakeLog is a log in memory with faults.
type fakeLog struct {
	mu      sync.Mutex
	first   uint64
	records []platform.Record
	down    bool
	// loseAnswers makes appends take effect without an answer; late holds them
	// back until release.
	loseAnswers, late bool
	held              [][]byte
	// now is the log's clock; the real one if it is zero.
	now time.Time
}

func newFakeLog() *fakeLog { return &fakeLog{first: 1} }

func (l *fakeLog) add(data []byte) uint64 {
	offset := l.first + uint64(len(l.records))
	at := l.now
	if at.IsZero() {
		at = time.Now()
	}
	l.records = append(l.records, platform.Record{Offset: offset, Time: at, Data: data})
	return offset
}

func (l *fakeLog) Append(_ context.Context, _ string, records ...[]byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, platform.ErrUnavailable
	}
	if l.late {
		l.held = append(l.held, records...)
		return 0, platform.ErrOutcomeUnknown
	}
	first := l.first + uint64(len(l.records))
	for _, data := range records {
		l.add(data)
	}
	if l.loseAnswers {
		return 0, platform.ErrOutcomeUnknown
	}
	return first, nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from uint64, limit int, _ time.Duration) (platform.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.Batch{}, platform.ErrUnavailable
	}
	b := platform.Batch{First: l.first, Next: l.first + uint64(len(l.records))}
	if from < l.first {
		return b, platform.ErrTruncated
	}
	if from < b.Next {
		rest := l.records[from-l.first:]
		b.Records = append(b.Records, rest[:min(limit, len(rest))]...)
	}
	return b, nil
}

// set changes the faults of the log.
func (l *fakeLog) set(f func(*fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

// expire drops the records older than a time.
func (l *fakeLog) expire(oldest time.Time) {
	for len(l.records) > 0 && l.records[0].Time.Before(oldest) {
		l.records = l.records[1:]
		l.first++
	}
}

// release lets the writes that were held back take effect.
func (l *fakeLog) release() {
	for _, data := range l.held {
		l.add(data)
	}
	l.held, l.late = nil, false
}

// cluster runs instances of one process each on loopback.
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

// waitGoroutines waits until no goroutine of the test is left.
func waitGoroutines(t *testing.T, before int) {
	for range 500 {
		if runtime.NumGoroutine() <= before {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	buf := make([]byte, 1<<16)
	t.Fatalf("goroutines left:\n%s", buf[:runtime.Stack(buf, true)])
}

// peersOf returns the addresses of all but one.
func (c *cluster) peersOf(self string) []string {
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

// start adds an instance that runs.
func (c *cluster) start() *Sync { return c.startWith(c.log, true) }

// startWith adds an instance that runs with its own view of the log.
func (c *cluster) startWith(log platform.Log, listed bool) *Sync {
	s := c.serve(log, listed)
	ended := make(chan struct{})
	go func() { _ = s.Run(c.ctx); close(ended) }()
	c.t.Cleanup(func() { c.stop(); <-ended })
	return s
}

// serve adds an instance that answers its peers and does nothing else. The others
// know of it if it is listed; it knows no peers before its first look at the list.
func (c *cluster) serve(log platform.Log, listed bool) *Sync {
	var looks atomic.Int64
	s := New(Options{Log: log, Pool: rpc.NewPool(c.tls()), Incarnation: 1, Logger: logr.Discard()})
	addr := c.listen(s)
	s.opts.Self, s.opts.Address = addr, addr
	s.opts.Peers = func() []string {
		if looks.Add(1) == 1 {
			return nil
		}
		return c.peersOf(addr)
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
	conf, ended := c.tls(), make(chan struct{})
	go func() { _ = rpc.Serve(c.ctx, lis, conf, mux); close(ended) }()
	c.t.Cleanup(func() { c.stop(); <-ended })
	return lis.Addr().String()
}

// eventually waits until all instances have an offset in force.
func (c *cluster) eventually(offset uint64) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.ctx, time.Minute)
	defer cancel()
	for _, s := range c.syncs {
		assert.NilError(c.t, s.WaitOffset(ctx, offset))
		assert.Equal(c.t, s.Current().Digest(), c.syncs[0].Current().Digest())
	}
}

// example returns the objects of an example schema.
func example(t *testing.T) []configlog.Object {
	text, err := os.ReadFile("../../examples/qasr/schema.toml")
	assert.NilError(t, err)
	s, err := schema.Parse(text)
	assert.NilError(t, err)
	list, err := configlog.FromSchema(s)
	assert.NilError(t, err)
	return list
}

// exampleChange applies the example schema to an empty configuration.
func exampleChange(t *testing.T, id string) *configlog.Change {
	return &configlog.Change{ID: id, Author: "test", Edits: configlog.Diff(nil, example(t))}
}

// weightChange sets the weight of a customer.
func weightChange(s *configlog.Snapshot, id, weight string) *configlog.Change {
	o, _ := s.Object("customer/petra-build")
	body := strings.Replace(string(o.Body), `"weight":1`, `"weight":`+weight, 1)
	return &configlog.Change{ID: id, Author: "test", Edits: []configlog.Edit{
		{Object: o.Name, BaseVersion: o.Version, Body: []byte(body)},
	}}
}

func submitted(t *testing.T, s *Sync, c *configlog.Change) configlog.Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	o, err := s.Submit(ctx, c)
	assert.NilError(t, err)
	return o
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	c := newCluster(t)
	for range 5 {
		c.start()
	}
	o := submitted(t, c.syncs[0], exampleChange(t, "first"))
	assert.Equal(t, o.Status, configlog.Accepted)
	c.eventually(o.Offset)
	for _, s := range c.syncs {
		assert.NilError(t, s.WaitReady(c.ctx))
		assert.Equal(t, len(s.Current().Schema.Customers), 5)
	}
}

func TestNewInstanceTakesStateFromPeerWhileLogIsDown(t *testing.T) {
	c := newCluster(t)
	o := submitted(t, c.start(), exampleChange(t, "first"))
	c.log.set(func(l *fakeLog) { l.down = true })
	c.start()
	c.eventually(o.Offset)
	_, err := c.syncs[1].Submit(c.ctx, weightChange(c.syncs[1].Current(), "second", "2"))
	var coded *result.Error
	assert.Assert(t, errors.As(err, &coded))
	assert.Equal(t, coded.Code, result.ConfigUnavailable)
	assert.Equal(t, coded.RetryAfter, RetryAfter)
	c.log.set(func(l *fakeLog) { l.down = false })
	o = submitted(t, c.syncs[1], weightChange(c.syncs[1].Current(), "second", "2"))
	c.eventually(o.Offset)
}
