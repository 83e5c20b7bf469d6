package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
)

// measurement is what was seen with one number of processes. Values are for one
// process unless noted.
type measurement struct {
	N int
	// Rows is the number of rows of the list; those over the number of processes
	// name the same addresses again.
	Rows int
	// First is the time from the first change until all have a schema in force.
	First time.Duration
	// IdlePeer, IdleLog and IdleList are bytes a second without changes.
	IdlePeer, IdleLog, IdleList float64
	// IdleCPU is a share of one core without changes.
	IdleCPU float64
	// LogReads is the calls of the log a second by all processes together.
	LogReads float64
	Paced    delays
	// ChangeBytes and ChangeCPU are for one change among changes made one by one.
	ChangeBytes float64
	ChangeCPU   time.Duration
	Burst       delays
	// BurstBytes and BurstCPU are for one change of a burst.
	BurstBytes float64
	BurstCPU   time.Duration
	// ListBytes is one transfer of the list.
	ListBytes float64
	// RSS is the greatest resident memory of a process in bytes.
	RSS int64
}

// delays are quantiles of the time until a change is in force at a process.
type delays struct{ P50, P99, Max time.Duration }

func quantiles(sorted []time.Duration) delays {
	at := func(share float64) time.Duration { return sorted[int(share*float64(len(sorted)-1))] }
	return delays{P50: at(0.5), P99: at(0.99), Max: at(1)}
}

func measure(ctx context.Context, n, rows int) (*measurement, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d := &driver{}
	defer d.stop()
	if err := d.start(ctx, n, rows); err != nil {
		return nil, err
	}
	m := &measurement{N: n, Rows: max(rows, n+1)}
	for _, phase := range []func(*measurement) error{d.first, d.idle, d.paced, d.burst} {
		if err := phase(m); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (d *driver) first(m *measurement) error {
	time.Sleep(settleTime)
	st, err := d.sum()
	if err != nil {
		return err
	}
	m.ListBytes = float64(st.List) / float64(m.N)
	c, err := firstChange()
	if err != nil {
		return err
	}
	offset, begun, err := d.submit(c)
	if err != nil {
		return err
	}
	if err := d.waitAll(offset); err != nil {
		return err
	}
	m.First = time.Since(begun)
	time.Sleep(settleTime)
	return nil
}

// during returns the growth of the counters while f runs.
func (d *driver) during(f func() error) (stats, time.Duration, error) {
	before, err := d.sum()
	if err != nil {
		return stats{}, 0, err
	}
	begun := time.Now()
	if err := f(); err != nil {
		return stats{}, 0, err
	}
	took := time.Since(begun)
	after, err := d.sum()
	after.CPU -= before.CPU
	after.Peer -= before.Peer
	after.Log -= before.Log
	after.List -= before.List
	after.LogReads -= before.LogReads
	return after, took, err
}

func (d *driver) idle(m *measurement) error {
	st, took, err := d.during(func() error { time.Sleep(idleTime); return nil })
	per := took.Seconds() * float64(m.N)
	m.IdlePeer, m.IdleLog, m.IdleList = float64(st.Peer)/per, float64(st.Log)/per, float64(st.List)/per
	m.IdleCPU = st.CPU.Seconds() / per
	m.LogReads = float64(st.LogReads) / took.Seconds()
	return err
}

// bytesOf returns the bytes of control in all.
func bytesOf(st stats) float64 { return float64(st.Peer + st.Log + st.List) }

// perChange returns bytes and processor time of one change, less those of the
// same time without changes.
func (m *measurement) perChange(st stats, took time.Duration, changes int) (float64, time.Duration) {
	idleBytes := (m.IdlePeer + m.IdleLog + m.IdleList) * took.Seconds()
	idleCPU := m.IdleCPU * took.Seconds()
	n, count := float64(m.N), float64(changes)
	cpu := (st.CPU.Seconds()/n - idleCPU) / count
	return (bytesOf(st)/n - idleBytes) / count, time.Duration(cpu * float64(time.Second))
}

func (d *driver) paced(m *measurement) error {
	var list []time.Duration
	st, took, err := d.during(func() (err error) {
		list, err = d.delays(pacedChanges, pacedGap)
		return err
	})
	if err != nil {
		return err
	}
	m.Paced = quantiles(list)
	m.ChangeBytes, m.ChangeCPU = m.perChange(st, took, pacedChanges)
	return nil
}

func (d *driver) burst(m *measurement) error {
	var list []time.Duration
	st, took, err := d.during(func() (err error) {
		list, err = d.delays(burstChanges, 0)
		return err
	})
	if err != nil {
		return err
	}
	m.Burst = quantiles(list)
	m.BurstBytes, m.BurstCPU = m.perChange(st, took, burstChanges)
	m.RSS = st.RSS
	return nil
}

// setList gives the stand-in list its rows.
func setList(url string, rows []membership.Instance) error {
	body, err := json.Marshal(map[string]any{"instances": rows})
	if err != nil {
		return err
	}
	res, err := http.Post(url+"/control", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return res.Body.Close()
}
