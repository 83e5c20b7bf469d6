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

// Durations and numbers of changes in the phases of a measurement.
const (
	settleTime   = 4 * time.Second
	idleTime     = 10 * time.Second
	pacedChanges = 20
	pacedPause   = 500 * time.Millisecond
	burstChanges = 100
	phaseTimeout = time.Minute
)

// child is a measured process, as seen by the driver.
type child struct {
	cmd     *exec.Cmd
	stdin   io.WriteCloser
	address chan string
	stats   chan stats

	mu sync.Mutex
	// appliedAt holds the time at which each offset came into force. Offsets that came into
	// force together have the same time.
	appliedAt map[uint64]time.Time
	// lastOffset is the newest offset in force.
	lastOffset uint64
}

// driver runs the stand-ins and the measured processes, and submits the changes.
type driver struct {
	ctx                   context.Context
	logServer, listServer *standin.Server
	children              []*child
	// submitter is the driver's own process, through which it submits changes.
	submitter *process
	// changeCount counts the weight changes; it also numbers them.
	changeCount int
}

// start starts the stand-ins and n processes and publishes them in the instance list. The
// list gets at least listRows rows: further rows repeat the addresses under other IDs.
func (d *driver) start(ctx context.Context, n, listRows int) error {
	var err error
	d.ctx = ctx
	if d.logServer, err = platformlog.Start("127.0.0.1:0", platformlog.Config{}); err != nil {
		return err
	}
	if d.listServer, err = instancelist.Start("127.0.0.1:0", standin.Faults{}); err != nil {
		return err
	}
	logURL, listURL := "http://"+d.logServer.Addr(), "http://"+d.listServer.Addr()
	if d.submitter, err = newProcess(ctx, "driver", logURL, listURL); err != nil {
		return err
	}
	rows := []membership.Instance{{ID: "driver", Role: membership.RoleEntry, Addr: d.submitter.address, Zone: "z", Region: "r"}}
	for i := range n {
		id := fmt.Sprintf("agent-%04d", i)
		c, err := startChild(id, logURL, listURL)
		if err != nil {
			return err
		}
		d.children = append(d.children, c)
		select {
		case addr := <-c.address:
			rows = append(rows, membership.Instance{ID: id, Role: membership.RoleAgent, Pool: "engines", Addr: addr, Zone: "z", Region: "r"})
		case <-time.After(phaseTimeout):
			return fmt.Errorf("%s did not start", id)
		}
	}
	for i := len(rows); i < listRows; i++ {
		duplicate := rows[i%(n+1)]
		duplicate.ID = fmt.Sprintf("again-%04d", i)
		rows = append(rows, duplicate)
	}
	return publishList(listURL, rows)
}

// startChild starts this program as a measured process.
func startChild(id, logURL, listURL string) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{cmd: exec.Command(self, "-node", id, "-log", logURL, "-list", listURL),
		address: make(chan string, 1), stats: make(chan stats, 1), appliedAt: map[uint64]time.Time{}}
	c.cmd.Stderr = os.Stderr
	c.cmd.Env = append(os.Environ(), "GOMEMLIMIT=48MiB", "GOMAXPROCS=2")
	if c.stdin, err = c.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	go c.readOutput(out)
	return c, c.cmd.Start()
}

// readOutput parses the lines that the process prints.
func (c *child) readOutput(out io.Reader) {
	for scanner := bufio.NewScanner(out); scanner.Scan(); {
		kind, rest, _ := strings.Cut(scanner.Text(), " ")
		switch kind {
		case "addr":
			c.address <- rest
		case "offset":
			var offset uint64
			var ns int64
			if _, err := fmt.Sscan(rest, &offset, &ns); err == nil {
				c.recordApplied(offset, time.Unix(0, ns))
			}
		case "stats":
			var counters stats
			if err := json.Unmarshal([]byte(rest), &counters); err == nil {
				c.stats <- counters
			}
		}
	}
}

// recordApplied records that all offsets up to the given one are in force since at.
func (c *child) recordApplied(offset uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ; c.lastOffset < offset; c.lastOffset++ {
		c.appliedAt[c.lastOffset+1] = at
	}
}

// appliedTime returns when an offset came into force, or false if it is not in force yet.
func (c *child) appliedTime(offset uint64) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.appliedAt[offset]
	return at, ok
}

// stop stops the processes and the stand-ins.
func (d *driver) stop() {
	for _, c := range d.children {
		_ = c.stdin.Close()
	}
	for _, c := range d.children {
		_ = c.cmd.Wait()
	}
	for _, s := range []*standin.Server{d.logServer, d.listServer} {
		if s != nil {
			_ = s.Close()
		}
	}
}

// submit submits a change. It returns the offset of the change and the time of submission.
func (d *driver) submit(c *configlog.Change) (uint64, time.Time, error) {
	submittedAt := time.Now()
	outcome, err := d.submitter.configSync.Submit(d.ctx, c)
	if err == nil && outcome.Status != configlog.Accepted {
		err = fmt.Errorf("change %s: %s %v", c.ID, outcome.Status, outcome.ValidationErrors)
	}
	return outcome.Offset, submittedAt, err
}

// measureDelays submits count changes with a pause after each. It returns, in ascending
// order, the time from submission until each change was in force at each process.
func (d *driver) measureDelays(count int, pause time.Duration) ([]time.Duration, error) {
	submittedAt := map[uint64]time.Time{}
	var lastOffset uint64
	for range count {
		d.changeCount++
		offset, submitted, err := d.submit(weightChange(d.submitter.configSync.Current(), d.changeCount))
		if err != nil {
			return nil, err
		}
		submittedAt[offset], lastOffset = submitted, offset
		time.Sleep(pause)
	}
	if err := d.waitUntilApplied(lastOffset); err != nil {
		return nil, err
	}
	var delays []time.Duration
	for offset, submitTime := range submittedAt {
		for _, c := range d.children {
			applied, _ := c.appliedTime(offset)
			delays = append(delays, applied.Sub(submitTime))
		}
	}
	slices.Sort(delays)
	return delays, nil
}

// waitUntilApplied waits until an offset is in force in all processes.
func (d *driver) waitUntilApplied(offset uint64) error {
	for deadline := time.Now().Add(phaseTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		missing := 0
		for _, c := range d.children {
			if _, ok := c.appliedTime(offset); !ok {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
	}
	return fmt.Errorf("offset %d not in force in all processes after %s", offset, phaseTimeout)
}

// collectStats returns the sum of the counters of all processes; for RSS, the largest value.
func (d *driver) collectStats() (stats, error) {
	var total stats
	for _, c := range d.children {
		if _, err := io.WriteString(c.stdin, "stats\n"); err != nil {
			return total, err
		}
	}
	for _, c := range d.children {
		select {
		case counters := <-c.stats:
			total.CPU += counters.CPU
			total.RSS = max(total.RSS, counters.RSS)
			total.PeerBytes += counters.PeerBytes
			total.LogBytes += counters.LogBytes
			total.ListBytes += counters.ListBytes
			total.LogReads += counters.LogReads
		case <-time.After(phaseTimeout):
			return total, fmt.Errorf("a process did not report its counters")
		}
	}
	return total, nil
}
