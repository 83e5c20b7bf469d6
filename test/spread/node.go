package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"storj.io/drpc/drpcmux"

	"github.com/magnoliawheel/magnoliawheel/internal/confsync"
	"github.com/magnoliawheel/magnoliawheel/internal/members"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/test/meter"
)

// secret is shared by the processes of a measurement.
const secret = "the secret of the spread measurement"

// stats are the counters of one process since its start.
type stats struct {
	// CPU is the processor time.
	CPU time.Duration `json:"cpu"`
	// RSS is the resident memory in bytes.
	RSS int64 `json:"rss"`
	// Peer, Log and List are bytes sent and received.
	Peer uint64 `json:"peer"`
	Log  uint64 `json:"log"`
	List uint64 `json:"list"`
	// LogReads counts calls of the log.
	LogReads uint64 `json:"log_reads"`
}

// process is what a process runs: the same parts as in an entry or agent.
type process struct {
	conf      *confsync.Sync
	members   *members.Members
	pool      *rpc.Pool
	served    atomic.Uint64
	log, list platform.Traffic
	addr      string
	done      sync.WaitGroup
}

func newProcess(ctx context.Context, id, logURL, listURL string) (*process, error) {
	conf, err := rpc.TLSConfig([]byte(secret))
	if err != nil {
		return nil, err
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &process{pool: rpc.NewPool(conf), addr: lis.Addr().String()}
	p.members = members.New(members.Options{
		List: platform.NewHTTPList(listURL, platform.WithTraffic(&p.list)), Logger: logr.Discard(), SelfID: id,
	})
	p.conf = confsync.New(confsync.Options{
		Log: platform.NewHTTPLog(logURL, platform.WithTraffic(&p.log)), Peers: p.members.Peers, Pool: p.pool,
		InstanceID: id, Incarnation: uint64(time.Now().UnixNano()), Address: p.addr, Logger: logr.Discard(),
	})
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, p.conf); err != nil {
		return nil, err
	}
	p.done.Go(func() { _ = rpc.Serve(ctx, &meter.Listener{Listener: lis, Bytes: &p.served}, conf, mux) })
	p.done.Go(func() { _ = p.members.Run(ctx) })
	p.done.Go(func() { _ = p.conf.Run(ctx) })
	return p, nil
}

func (p *process) stats() (stats, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return stats{}, err
	}
	rss, err := residentBytes()
	sent, received := p.pool.BytesTransferred()
	return stats{
		CPU: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), RSS: rss,
		Peer: sent + received + p.served.Load(),
		Log:  p.log.SentBytes.Load() + p.log.ReceivedBytes.Load(), List: p.list.SentBytes.Load() + p.list.ReceivedBytes.Load(),
		LogReads: p.log.Requests.Load(),
	}, err
}

func residentBytes() (int64, error) {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	pages, err := strconv.ParseInt(strings.Fields(string(text))[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// runNode prints its address, then a line for each offset in force, and its
// counters whenever a line arrives on standard input, until that ends.
func runNode(ctx context.Context, id, logURL, listURL string) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	p, err := newProcess(ctx, id, logURL, listURL)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	print := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	print("addr %s", p.addr)
	p.done.Go(func() {
		for offset := uint64(0); p.conf.WaitOffset(ctx, offset+1) == nil; {
			offset = p.conf.Current().Offset
			print("offset %d %d", offset, time.Now().UnixNano())
		}
	})
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		st, err := p.stats()
		if err != nil {
			return err
		}
		text, err := json.Marshal(st)
		if err != nil {
			return err
		}
		print("stats %s", text)
	}
	stop()
	p.done.Wait()
	return p.pool.Close()
}
