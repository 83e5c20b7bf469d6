package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
)

// measurement holds the results for one number of processes. Values are per process unless
// noted. The field names are printed to standard error.
type measurement struct {
	// N is the number of processes.
	N int
	// Rows is the number of rows of the instance list. It is larger than N+1 if rows repeat
	// addresses under other IDs.
	Rows int
	// First is the time from the submission of the first change until a schema is in force in
	// all processes.
	First time.Duration
	// IdlePeer, IdleLog and IdleList are bytes per second without changes.
	IdlePeer, IdleLog, IdleList float64
	// IdleCPU is the fraction of one core used without changes.
	IdleCPU float64
	// LogReads is the number of requests to the configuration log per second, by all processes
	// together.
	LogReads float64
	// Paced holds the delays of changes that are submitted with pauses.
	Paced delayQuantiles
	// ChangeBytes and ChangeCPU are the costs per change of changes with pauses.
	ChangeBytes float64
	ChangeCPU   time.Duration
	// Burst holds the delays of changes that are submitted without pauses.
	Burst delayQuantiles
	// BurstBytes and BurstCPU are the costs per change of changes without pauses.
	BurstBytes float64
	BurstCPU   time.Duration
	// ListBytes is the size of one transfer of the instance list.
	ListBytes float64
	// RSS is the largest resident memory of any process in bytes.
	RSS int64
}

// delayQuantiles holds quantiles of the time until a change is in force at a process.
type delayQuantiles struct{ P50, P99, Max time.Duration }

// newDelayQuantiles returns the quantiles of delays in ascending order.
func newDelayQuantiles(sorted []time.Duration) delayQuantiles {
	quantile := func(share float64) time.Duration { return sorted[int(share*float64(len(sorted)-1))] }
	return delayQuantiles{P50: quantile(0.5), P99: quantile(0.99), Max: quantile(1)}
}

// measureProcesses runs all phases with n processes and a list of at least listRows rows.
func measureProcesses(ctx context.Context, n, listRows int) (*measurement, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d := &driver{}
	defer d.stop()
	if err := d.start(ctx, n, listRows); err != nil {
		return nil, err
	}
	m := &measurement{N: n, Rows: max(listRows, n+1)}
	for _, phase := range []func(*measurement) error{d.applyFirstChange, d.measureIdle, d.measurePacedChanges, d.measureBurstChanges} {
		if err := phase(m); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// applyFirstChange waits for the processes to settle, then measures the time until the
// first change is in force in all of them.
func (d *driver) applyFirstChange(m *measurement) error {
	time.Sleep(settleTime)
	counters, err := d.collectStats()
	if err != nil {
		return err
	}
	m.ListBytes = float64(counters.ListBytes) / float64(m.N)
	c, err := firstChange()
	if err != nil {
		return err
	}
	offset, submittedAt, err := d.submit(c)
	if err != nil {
		return err
	}
	if err := d.waitUntilApplied(offset); err != nil {
		return err
	}
	m.First = time.Since(submittedAt)
	time.Sleep(settleTime)
	return nil
}

// measurePhase runs one phase. It returns the growth of the counters and the elapsed time;
// RSS is the value at the end.
func (d *driver) measurePhase(phase func() error) (stats, time.Duration, error) {
	before, err := d.collectStats()
	if err != nil {
		return stats{}, 0, err
	}
	start := time.Now()
	if err := phase(); err != nil {
		return stats{}, 0, err
	}
	elapsed := time.Since(start)
	after, err := d.collectStats()
	after.CPU -= before.CPU
	after.PeerBytes -= before.PeerBytes
	after.LogBytes -= before.LogBytes
	after.ListBytes -= before.ListBytes
	after.LogReads -= before.LogReads
	return after, elapsed, err
}

// measureIdle measures traffic and processor time without changes.
func (d *driver) measureIdle(m *measurement) error {
	counters, elapsed, err := d.measurePhase(func() error { time.Sleep(idleTime); return nil })
	processSeconds := elapsed.Seconds() * float64(m.N)
	m.IdlePeer, m.IdleLog, m.IdleList = float64(counters.PeerBytes)/processSeconds, float64(counters.LogBytes)/processSeconds, float64(counters.ListBytes)/processSeconds
	m.IdleCPU = counters.CPU.Seconds() / processSeconds
	m.LogReads = float64(counters.LogReads) / elapsed.Seconds()
	return err
}

// totalBytes returns the bytes exchanged with peers, log and list together.
func totalBytes(counters stats) float64 {
	return float64(counters.PeerBytes + counters.LogBytes + counters.ListBytes)
}

// costPerChange returns the bytes and the processor time per change. The cost of the same
// time without changes is subtracted.
func (m *measurement) costPerChange(counters stats, elapsed time.Duration, changes int) (float64, time.Duration) {
	idleBytes := (m.IdlePeer + m.IdleLog + m.IdleList) * elapsed.Seconds()
	idleCPU := m.IdleCPU * elapsed.Seconds()
	n, changeCount := float64(m.N), float64(changes)
	cpu := (counters.CPU.Seconds()/n - idleCPU) / changeCount
	return (totalBytes(counters)/n - idleBytes) / changeCount, time.Duration(cpu * float64(time.Second))
}

// measurePacedChanges measures delays and costs of changes with a pause after each.
func (d *driver) measurePacedChanges(m *measurement) error {
	var delays []time.Duration
	counters, elapsed, err := d.measurePhase(func() (err error) {
		delays, err = d.measureDelays(pacedChanges, pacedPause)
		return err
	})
	if err != nil {
		return err
	}
	m.Paced = newDelayQuantiles(delays)
	m.ChangeBytes, m.ChangeCPU = m.costPerChange(counters, elapsed, pacedChanges)
	return nil
}

// measureBurstChanges measures delays and costs of changes without pauses.
func (d *driver) measureBurstChanges(m *measurement) error {
	var delays []time.Duration
	counters, elapsed, err := d.measurePhase(func() (err error) {
		delays, err = d.measureDelays(burstChanges, 0)
		return err
	})
	if err != nil {
		return err
	}
	m.Burst = newDelayQuantiles(delays)
	m.BurstBytes, m.BurstCPU = m.costPerChange(counters, elapsed, burstChanges)
	m.RSS = counters.RSS
	return nil
}

// publishList sets the rows of the stand-in instance list.
func publishList(url string, rows []membership.Instance) error {
	body, err := json.Marshal(map[string]any{"instances": rows})
	if err != nil {
		return err
	}
	response, err := http.Post(url+"/control", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return response.Body.Close()
}
