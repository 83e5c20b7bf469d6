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

// Size of the target deployment, rates of change in it, and upper bounds per process.
const (
	// targetProcesses counts entries and agents.
	targetEntries     = 360
	targetProcesses   = 360 + 2700
	changesPerDay     = 1600
	listChangesPerDay = 2 * (1000 + 32)
	secondsPerDay     = 86400
	maxDelay          = 7 * time.Second
	maxBytesPerSecond = 7 * 1024
	maxCPUShare       = 0.017
	maxRSS            = 64 << 20
)

// report holds the measurements and writes them as CSV and text.
type report struct {
	pathPrefix, command, commit string
	measurements                []measurement
}

// write writes the CSV and the text to files, or to standard output without a prefix.
func (r *report) write() error {
	if r.pathPrefix == "" {
		r.writeCSV(os.Stdout)
		r.writeText(os.Stdout)
		return nil
	}
	for suffix, write := range map[string]func(io.Writer){".csv": r.writeCSV, ".txt": r.writeText} {
		var b strings.Builder
		write(&b)
		if err := os.WriteFile(r.pathPrefix+suffix, []byte(b.String()), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// writeCSV writes one line per measurement.
func (r *report) writeCSV(w io.Writer) {
	fmt.Fprintln(w, "processes,list_rows,first_ms,paced_p50_ms,paced_p99_ms,paced_max_ms,burst_p50_ms,burst_p99_ms,burst_max_ms,"+
		"idle_peer_bytes_s,idle_log_bytes_s,idle_list_bytes_s,idle_cpu_percent,change_bytes,change_cpu_us,burst_change_bytes,"+
		"burst_change_cpu_us,list_bytes,log_reads_s_all,rss_mb")
	for i := range r.measurements {
		m := &r.measurements[i]
		fmt.Fprintf(w, "%d,%d,%d,%d,%d,%d,%d,%d,%d,%.0f,%.0f,%.0f,%.3f,%.0f,%d,%.0f,%d,%.0f,%.2f,%.1f\n", m.N, m.Rows, m.First.Milliseconds(),
			m.Paced.P50.Milliseconds(), m.Paced.P99.Milliseconds(), m.Paced.Max.Milliseconds(),
			m.Burst.P50.Milliseconds(), m.Burst.P99.Milliseconds(), m.Burst.Max.Milliseconds(),
			m.IdlePeer, m.IdleLog, m.IdleList, 100*m.IdleCPU, m.ChangeBytes, m.ChangeCPU.Microseconds(),
			m.BurstBytes, m.BurstCPU.Microseconds(), m.ListBytes, m.LogReads, mebibytes(float64(m.RSS)))
	}
}

// mebibytes converts bytes to MiB.
func mebibytes(b float64) float64 { return b / (1 << 20) }

// writeText writes a table of the measurements, and the extrapolation to the target if
// there are enough of them.
func (r *report) writeText(w io.Writer) {
	fmt.Fprintf(w, "Spread of the configuration, measured on one machine (%d cores, %s).\n", runtime.NumCPU(), runtime.Version())
	fmt.Fprintf(w, "Command: %s\nCommit: %s\n\n", r.command, r.commit)
	fmt.Fprintf(w, "Schema of %d customers, %d models, %d pipelines. Paced: %d changes, one each %s. Burst: %d changes in a row.\n"+
		"All figures are for one process unless noted.\n\n", customerCount, modelCount, pipelineCount, pacedChanges, pacedPause, burstChanges)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "processes\tlist rows\tpaced p50/p99/max ms\tburst p50/p99/max ms\tidle B/s peer+log+list\tidle core %\tB a change\tcpu a change\tlog reads/s, all\tRSS MiB\t")
	for i := range r.measurements {
		m := &r.measurements[i]
		fmt.Fprintf(t, "%d\t%d\t%s\t%s\t%.0f+%.0f+%.0f\t%.3f\t%.0f\t%s\t%.2f\t%.1f\t\n", m.N, m.Rows, m.Paced, m.Burst, m.IdlePeer, m.IdleLog, m.IdleList,
			100*m.IdleCPU, m.ChangeBytes, m.ChangeCPU.Round(10*time.Microsecond), m.LogReads, mebibytes(float64(m.RSS)))
	}
	_ = t.Flush()
	if len(r.withoutExtraRows()) > 1 {
		r.writeExtrapolation(w)
	}
}

// withoutExtraRows returns the measurements whose list has one row per process.
func (r *report) withoutExtraRows() []measurement {
	var selected []measurement
	for i := range r.measurements {
		if r.measurements[i].Rows == r.measurements[i].N+1 {
			selected = append(selected, r.measurements[i])
		}
	}
	return selected
}

// String formats the quantiles in milliseconds.
func (d delayQuantiles) String() string {
	return fmt.Sprintf("%d/%d/%d", d.P50.Milliseconds(), d.P99.Milliseconds(), d.Max.Milliseconds())
}

// writeExtrapolation writes the values extrapolated to the target deployment.
func (r *report) writeExtrapolation(w io.Writer) {
	fmt.Fprintf(w, "\nWorked out by least squares: time over log2 of the number of processes, all else over the number;\n"+
		"the measurement with more rows than processes is left out.\n"+
		"Changes: %d a day; changes of the list: %d a day, each fetched whole by an entry at once and by an agent at its next poll.\n"+
		"Bound at the target: %s, %d B/s, %.1f%% of a core, %d MiB.\n\n",
		changesPerDay, listChangesPerDay, maxDelay, maxBytesPerSecond, 100*maxCPUShare, maxRSS>>20)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "processes\tpaced p99\tburst p99\tB/s without list changes\tB/s with list changes\tcore %\tRSS MiB\t")
	for _, n := range []int{targetEntries, targetProcesses} {
		bytes, cpu := r.costAt(n)
		listBytes := r.valueAt(n, func(m *measurement) float64 { return m.ListBytes })
		fmt.Fprintf(t, "%d\t%s\t%s\t%.0f\t%.0f\t%.3f\t%.1f\t\n", n,
			r.delayAt(n, func(m *measurement) time.Duration { return m.Paced.P99 }),
			r.delayAt(n, func(m *measurement) time.Duration { return m.Burst.P99 }),
			bytes, bytes+listBytes*listChangesPerDay/secondsPerDay, 100*cpu,
			mebibytes(r.valueAt(n, func(m *measurement) float64 { return float64(m.RSS) })))
	}
	_ = t.Flush()
}

// costAt extrapolates bytes per second and the fraction of a core to n processes.
func (r *report) costAt(n int) (bytes, cpu float64) {
	changesPerSecond := float64(changesPerDay) / secondsPerDay
	bytes = r.valueAt(n, func(m *measurement) float64 {
		return m.IdlePeer + m.IdleLog + m.IdleList + m.ChangeBytes*changesPerSecond
	})
	cpu = r.valueAt(n, func(m *measurement) float64 { return m.IdleCPU + m.ChangeCPU.Seconds()*changesPerSecond })
	return bytes, cpu
}

// delayAt extrapolates a delay, which grows with the logarithm of the number of processes.
func (r *report) delayAt(n int, value func(*measurement) time.Duration) time.Duration {
	y := r.extrapolate(log2(n), func(m *measurement) float64 { return log2(m.N) }, func(m *measurement) float64 { return value(m).Seconds() })
	return time.Duration(y * float64(time.Second)).Round(time.Millisecond)
}

// valueAt extrapolates a value that grows linearly with the number of processes.
func (r *report) valueAt(n int, value func(*measurement) float64) float64 {
	return r.extrapolate(float64(n), func(m *measurement) float64 { return float64(m.N) }, value)
}
