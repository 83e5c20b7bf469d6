package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
	"github.com/magnoliawheel/magnoliawheel/test/standin/instancelist"
	"github.com/magnoliawheel/magnoliawheel/test/standin/platformlog"
)

// Phases of one measurement.
const (
	settleTime   = 4 * time.Second
	idleTime     = 10 * time.Second
	pacedChanges = 20
	pacedGap     = 500 * time.Millisecond
	burstChanges = 100
	phaseTimeout = time.Minute
)

// child is one process under measurement.
type child struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	addr  chan string
	stats chan stats

	mu sync.Mutex
	// at holds when each offset came in force; offsets taken together share a time.
	at map[uint64]time.Time
	// last is the newest offset in force.
	last uint64
}

// driver holds the processes and the stand-ins.
type driver struct {
	ctx       context.Context
	log, list *standin.Server
	children  []*child
	own       *process
	numbers   int
}

func (d *driver) start(ctx context.Context, n, listed int) error {
	var err error
	d.ctx = ctx
	if d.log, err = platformlog.Start("127.0.0.1:0", platformlog.Config{}); err != nil {
		return err
	}
	if d.list, err = instancelist.Start("127.0.0.1:0", standin.Faults{}); err != nil {
		return err
	}
	logURL, listURL := "http://"+d.log.Addr(), "http://"+d.list.Addr()
	if d.own, err = newProcess(ctx, "driver", logURL, listURL); err != nil {
		return err
	}
	rows := []membership.Instance{{ID: "driver", Role: membership.RoleEntry, Addr: d.own.addr, Zone: "z", Region: "r"}}
	for i := range n {
		id := fmt.Sprintf("agent-%04d", i)
		c, err := startChild(id, logURL, listURL)
		if err != nil {
			return err
		}
		d.children = append(d.children, c)
		select {
		case addr := <-c.addr:
			rows = append(rows, membership.Instance{ID: id, Role: membership.RoleAgent, Pool: "engines", Addr: addr, Zone: "z", Region: "r"})
		case <-time.After(phaseTimeout):
			return fmt.Errorf("%s did not start", id)
		}
	}
	for i := len(rows); i < listed; i++ {
		again := rows[i%(n+1)]
		again.ID = fmt.Sprintf("again-%04d", i)
		rows = append(rows, again)
	}
	return setList(listURL, rows)
}

func startChild(id, logURL, listURL string) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{cmd: exec.Command(self, "-node", id, "-log", logURL, "-list", listURL),
		addr: make(chan string, 1), stats: make(chan stats, 1), at: map[uint64]time.Time{}}
	c.cmd.Stderr = os.Stderr
	c.cmd.Env = append(os.Environ(), "GOMEMLIMIT=48MiB", "GOMAXPROCS=2")
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	go c.read(out)
	return c, c.cmd.Start()
}

func (c *child) read(out io.Reader) {
	for in := bufio.NewScanner(out); in.Scan(); {
		kind, rest, _ := strings.Cut(in.Text(), " ")
		switch kind {
		case "addr":
			c.addr <- rest
		case "offset":
			var offset uint64
			var ns int64
			if _, err := fmt.Sscan(rest, &offset, &ns); err == nil {
				c.inForce(offset, time.Unix(0, ns))
			}
		case "stats":
			var st stats
			if err := json.Unmarshal([]byte(rest), &st); err == nil {
				c.stats <- st
			}
		}
	}
}

func (c *child) inForce(offset uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ; c.last < offset; c.last++ {
		c.at[c.last+1] = at
	}
}

func (c *child) when(offset uint64) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.at[offset]
	return at, ok
}

// stop ends the processes that were started.
func (d *driver) stop() {
	for _, c := range d.children {
		_ = c.in.Close()
	}
	for _, c := range d.children {
		_ = c.cmd.Wait()
	}
	for _, s := range []*standin.Server{d.log, d.list} {
		if s != nil {
			_ = s.Close()
		}
	}
}

// submit makes one change and returns its offset and when it was begun.
func (d *driver) submit(c *configlog.Change) (uint64, time.Time, error) {
	begun := time.Now()
	o, err := d.own.conf.Submit(d.ctx, c)
	if err == nil && o.Status != configlog.Accepted {
		err = fmt.Errorf("change %s: %s %v", c.ID, o.Status, o.ValidationErrors)
	}
	return o.Offset, begun, err
}

// delays submits changes and returns how long each took to each process.
func (d *driver) delays(count int, gap time.Duration) ([]time.Duration, error) {
	begun := map[uint64]time.Time{}
	var last uint64
	for range count {
		d.numbers++
		offset, at, err := d.submit(weightChange(d.own.conf.Current(), d.numbers))
		if err != nil {
			return nil, err
		}
		begun[offset], last = at, offset
		time.Sleep(gap)
	}
	if err := d.waitAll(last); err != nil {
		return nil, err
	}
	var list []time.Duration
	for offset, at := range begun {
		for _, c := range d.children {
			reached, _ := c.when(offset)
			list = append(list, reached.Sub(at))
		}
	}
	slices.Sort(list)
	return list, nil
}

func (d *driver) waitAll(offset uint64) error {
	for end := time.Now().Add(phaseTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		missing := 0
		for _, c := range d.children {
			if _, ok := c.when(offset); !ok {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
	}
	return fmt.Errorf("offset %d not in force everywhere within %s", offset, phaseTimeout)
}

// sum returns the sum of the counters of all processes; RSS is the greatest.
func (d *driver) sum() (stats, error) {
	var total stats
	for _, c := range d.children {
		if _, err := io.WriteString(c.in, "stats\n"); err != nil {
			return total, err
		}
	}
	for _, c := range d.children {
		select {
		case st := <-c.stats:
			total.CPU += st.CPU
			total.RSS = max(total.RSS, st.RSS)
			total.Peer += st.Peer
			total.Log += st.Log
			total.List += st.List
			total.LogReads += st.LogReads
		case <-time.After(phaseTimeout):
			return total, fmt.Errorf("a process does not answer")
		}
	}
	return total, nil
}
