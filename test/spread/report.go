package main

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"
)

// Sizes and bounds of the target.
const (
	targetNodes    = 360
	targetAll      = 360 + 2700
	changesADay    = 1600
	listChangesDay = 2 * (1000 + 32)
	secondsADay    = 86400
	boundTime      = 7 * time.Second
	boundBytes     = 7 * 1024
	boundCPU       = 0.017
	boundRSS       = 64 << 20
)

// report writes the measurements.
type report struct {
	prefix, command, commit string
	list                    []measurement
}

func (r *report) write() error {
	if r.prefix == "" {
		r.csv(os.Stdout)
		r.text(os.Stdout)
		return nil
	}
	for suffix, write := range map[string]func(io.Writer){".csv": r.csv, ".txt": r.text} {
		var b strings.Builder
		write(&b)
		if err := os.WriteFile(r.prefix+suffix, []byte(b.String()), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func (r *report) csv(w io.Writer) {
	fmt.Fprintln(w, "processes,list_rows,first_ms,paced_p50_ms,paced_p99_ms,paced_max_ms,burst_p50_ms,burst_p99_ms,burst_max_ms,"+
		"idle_peer_bytes_s,idle_log_bytes_s,idle_list_bytes_s,idle_cpu_percent,change_bytes,change_cpu_us,burst_change_bytes,"+
		"burst_change_cpu_us,list_bytes,log_reads_s_all,rss_mb")
	for i := range r.list {
		m := &r.list[i]
		fmt.Fprintf(w, "%d,%d,%d,%d,%d,%d,%d,%d,%d,%.0f,%.0f,%.0f,%.3f,%.0f,%d,%.0f,%d,%.0f,%.2f,%.1f\n", m.N, m.Rows, m.First.Milliseconds(),
			m.Paced.P50.Milliseconds(), m.Paced.P99.Milliseconds(), m.Paced.Max.Milliseconds(),
			m.Burst.P50.Milliseconds(), m.Burst.P99.Milliseconds(), m.Burst.Max.Milliseconds(),
			m.IdlePeer, m.IdleLog, m.IdleList, 100*m.IdleCPU, m.ChangeBytes, m.ChangeCPU.Microseconds(),
			m.BurstBytes, m.BurstCPU.Microseconds(), m.ListBytes, m.LogReads, mebibytes(float64(m.RSS)))
	}
}

func mebibytes(b float64) float64 { return b / (1 << 20) }

func (r *report) text(w io.Writer) {
	fmt.Fprintf(w, "Spread of the configuration, measured on one machine (%d cores, %s).\n", runtime.NumCPU(), runtime.Version())
	fmt.Fprintf(w, "Command: %s\nCommit: %s\n\n", r.command, r.commit)
	fmt.Fprintf(w, "Schema of %d customers, %d models, %d pipelines. Paced: %d changes, one each %s. Burst: %d changes in a row.\n"+
		"All figures are for one process unless noted.\n\n", customers, models, pipelines, pacedChanges, pacedGap, burstChanges)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "processes\tlist rows\tpaced p50/p99/max ms\tburst p50/p99/max ms\tidle B/s peer+log+list\tidle core %\tB a change\tcpu a change\tlog reads/s, all\tRSS MiB\t")
	for i := range r.list {
		m := &r.list[i]
		fmt.Fprintf(t, "%d\t%d\t%s\t%s\t%.0f+%.0f+%.0f\t%.3f\t%.0f\t%s\t%.2f\t%.1f\t\n", m.N, m.Rows, m.Paced, m.Burst, m.IdlePeer, m.IdleLog, m.IdleList,
			100*m.IdleCPU, m.ChangeBytes, m.ChangeCPU.Round(10*time.Microsecond), m.LogReads, mebibytes(float64(m.RSS)))
	}
	_ = t.Flush()
	if len(r.plain()) > 1 {
		r.target(w)
	}
}

// plain returns the measurements whose list has a row for each process only.
func (r *report) plain() []measurement {
	var list []measurement
	for i := range r.list {
		if r.list[i].Rows == r.list[i].N+1 {
			list = append(list, r.list[i])
		}
	}
	return list
}

// String gives the quantiles in milliseconds.
func (d delays) String() string {
	return fmt.Sprintf("%d/%d/%d", d.P50.Milliseconds(), d.P99.Milliseconds(), d.Max.Milliseconds())
}

// target works out the figures at the target's sizes.
func (r *report) target(w io.Writer) {
	fmt.Fprintf(w, "\nWorked out by least squares: time over log2 of the number of processes, all else over the number;\n"+
		"the measurement with more rows than processes is left out.\n"+
		"Changes: %d a day; changes of the list: %d a day, each fetched whole by an entry at once and by an agent at its next poll.\n"+
		"Bound at the target: %s, %d B/s, %.1f%% of a core, %d MiB.\n\n",
		changesADay, listChangesDay, boundTime, boundBytes, 100*boundCPU, boundRSS>>20)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "processes\tpaced p99\tburst p99\tB/s without list changes\tB/s with list changes\tcore %\tRSS MiB\t")
	for _, n := range []int{targetNodes, targetAll} {
		bytes, cpu := r.load(n)
		list := r.linear(n, func(m *measurement) float64 { return m.ListBytes })
		fmt.Fprintf(t, "%d\t%s\t%s\t%.0f\t%.0f\t%.3f\t%.1f\t\n", n,
			r.time(n, func(m *measurement) time.Duration { return m.Paced.P99 }),
			r.time(n, func(m *measurement) time.Duration { return m.Burst.P99 }),
			bytes, bytes+list*listChangesDay/secondsADay, 100*cpu,
			mebibytes(r.linear(n, func(m *measurement) float64 { return float64(m.RSS) })))
	}
	_ = t.Flush()
}

// load returns bytes a second and the share of a core at n processes.
func (r *report) load(n int) (bytes, cpu float64) {
	rate := float64(changesADay) / secondsADay
	bytes = r.linear(n, func(m *measurement) float64 { return m.IdlePeer + m.IdleLog + m.IdleList + m.ChangeBytes*rate })
	cpu = r.linear(n, func(m *measurement) float64 { return m.IdleCPU + m.ChangeCPU.Seconds()*rate })
	return bytes, cpu
}

func (r *report) time(n int, of func(*measurement) time.Duration) time.Duration {
	y := r.fit(log2(n), func(m *measurement) float64 { return log2(m.N) }, func(m *measurement) float64 { return of(m).Seconds() })
	return time.Duration(y * float64(time.Second)).Round(time.Millisecond)
}

func (r *report) linear(n int, of func(*measurement) float64) float64 {
	return r.fit(float64(n), func(m *measurement) float64 { return float64(m.N) }, of)
}
