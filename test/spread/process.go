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

// secret authenticates the processes of a measurement to each other.
const secret = "the secret of the spread measurement"

// stats holds the counters of one process since its start.
type stats struct {
	// CPU is the processor time.
	CPU time.Duration `json:"cpu"`
	// RSS is the resident memory in bytes.
	RSS int64 `json:"rss"`
	// PeerBytes, LogBytes and ListBytes count the bytes sent and received: to and from other
	// processes, the configuration log and the instance list.
	PeerBytes uint64 `json:"peer"`
	LogBytes  uint64 `json:"log"`
	ListBytes uint64 `json:"list"`
	// LogReads counts the requests to the configuration log.
	LogReads uint64 `json:"log_reads"`
}

// process runs the components of an entry or agent that distribute the configuration.
type process struct {
	configSync *confsync.Sync
	members    *members.Members
	pool       *rpc.Pool
	// servedBytes counts the bytes of connections that other processes opened.
	servedBytes             atomic.Uint64
	logTraffic, listTraffic platform.Traffic
	address                 string
	wg                      sync.WaitGroup
}

// newProcess starts the components. They run until ctx ends; wg waits for them.
func newProcess(ctx context.Context, id, logURL, listURL string) (*process, error) {
	tlsConfig, err := rpc.TLSConfig([]byte(secret))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &process{pool: rpc.NewPool(tlsConfig), address: listener.Addr().String()}
	p.members = members.New(members.Options{
		List: platform.NewHTTPList(listURL, platform.WithTraffic(&p.listTraffic)), Logger: logr.Discard(), SelfID: id,
	})
	p.configSync = confsync.New(confsync.Options{
		Log: platform.NewHTTPLog(logURL, platform.WithTraffic(&p.logTraffic)), Peers: p.members.Peers, Pool: p.pool,
		InstanceID: id, Incarnation: uint64(time.Now().UnixNano()), Address: p.address, Logger: logr.Discard(),
	})
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, p.configSync); err != nil {
		return nil, err
	}
	p.wg.Go(func() { _ = rpc.Serve(ctx, &meter.Listener{Listener: listener, Bytes: &p.servedBytes}, tlsConfig, mux) })
	p.wg.Go(func() { _ = p.members.Run(ctx) })
	p.wg.Go(func() { _ = p.configSync.Run(ctx) })
	return p, nil
}

// stats returns the current counters of the process.
func (p *process) stats() (stats, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return stats{}, err
	}
	rss, err := residentMemory()
	sent, received := p.pool.BytesTransferred()
	return stats{
		CPU: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), RSS: rss,
		PeerBytes: sent + received + p.servedBytes.Load(),
		LogBytes:  p.logTraffic.SentBytes.Load() + p.logTraffic.ReceivedBytes.Load(), ListBytes: p.listTraffic.SentBytes.Load() + p.listTraffic.ReceivedBytes.Load(),
		LogReads: p.logTraffic.Requests.Load(),
	}, err
}

// residentMemory returns the resident memory of this process in bytes.
func residentMemory() (int64, error) {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	pages, err := strconv.ParseInt(strings.Fields(string(text))[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// runChild runs a measured process. It prints its address, then a line for each offset that
// comes into force. For each line on standard input it prints its counters; it returns when
// standard input ends.
func runChild(ctx context.Context, id, logURL, listURL string) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	p, err := newProcess(ctx, id, logURL, listURL)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	printLine := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	printLine("addr %s", p.address)
	p.wg.Go(func() {
		for offset := uint64(0); p.configSync.WaitOffset(ctx, offset+1) == nil; {
			offset = p.configSync.Current().Offset
			printLine("offset %d %d", offset, time.Now().UnixNano())
		}
	})
	for scanner := bufio.NewScanner(os.Stdin); scanner.Scan(); {
		counters, err := p.stats()
		if err != nil {
			return err
		}
		text, err := json.Marshal(counters)
		if err != nil {
			return err
		}
		printLine("stats %s", text)
	}
	stop()
	p.wg.Wait()
	return p.pool.Close()
}
