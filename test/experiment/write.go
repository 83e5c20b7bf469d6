package main

import (
	"encoding/csv"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/magnoliawheel/magnoliawheel/internal/report/plot"
)

// column is one figure of a row.
type column struct {
	name   string
	format string
	of     func(row) float64
}

var columns = []column{
	{"requests", "%.0f", func(r row) float64 { return float64(r.Requests) }},
	{"attainment", "%.4f", func(r row) float64 { return r.Attainment }},
	{"others_attainment", "%.4f", func(r row) float64 { return r.Others }},
	{"goodput_per_s", "%.2f", func(r row) float64 { return r.Goodput }},
	{"goodput_bound_per_s", "%.2f", func(r row) float64 { return r.Bound }},
	{"goodput_share", "%.4f", func(r row) float64 { return r.Goodput / r.Bound }},
	{"first_token_p95_ms", "%.1f", func(r row) float64 { return r.FirstToken }},
	{"inter_token_p95_ms", "%.1f", func(r row) float64 { return r.InterToken }},
	{"refused", "%.0f", func(r row) float64 { return float64(r.Refused) }},
	{"refusal_p99_ms", "%.1f", func(r row) float64 { return r.Refusal }},
	{"server_s_per_good", "%.3f", func(r row) float64 { return r.ServerSeconds }},
	{"tokens_per_good", "%.2f", func(r row) float64 { return r.Tokens }},
	{"cross_region_bytes_per_good", "%.0f", func(r row) float64 { return r.CrossBytes }},
	{"wasted_share", "%.4f", func(r row) float64 { return r.Wasted }},
	{"added_share", "%.4f", func(r row) float64 { return r.Added }},
	{"retries_per_stage", "%.4f", func(r row) float64 { return r.Retries }},
	{"hedges_per_stage", "%.4f", func(r row) float64 { return r.Hedges }},
	{"attainment_after_fault", "%.4f", func(r row) float64 { return r.AfterFault }},
	{"victim_share", "%.4f", func(r row) float64 { return r.VictimShare }},
	{"recovery_s", "%.2f", func(r row) float64 { return r.Recovery }},
	{"returned_share", "%.4f", func(r row) float64 { return r.Returned }},
	{"wrong", "%.0f", func(r row) float64 { return float64(r.Wrong) }},
}

// writeAll writes the rows as CSV, the means over the seeds as text, and plots.
func writeAll(o options, rows []row) error {
	if err := os.MkdirAll(o.out, 0o755); err != nil {
		return err
	}
	base := filepath.Join(o.out, "experiment")
	command := "make experiment"
	if o.quick {
		base += "-quick"
		command += " QUICK=1"
	}
	if o.only != "" {
		base += "-" + strings.ReplaceAll(o.only, ",", "-")
		command = fmt.Sprintf("go run ./test/experiment -quick=%v -only %s", o.quick, o.only)
	}
	header := fmt.Sprintf("command: %s; commit: %s; cores: %d; %d model servers, capacity %.1f requests/s",
		command, commit(), runtime.NumCPU(), engines, capacity())
	if err := writeCSV(base+".csv", header, rows); err != nil {
		return err
	}
	if err := writeText(base+".txt", header, mean(rows)); err != nil {
		return err
	}
	return writePlots(base, header, mean(rows))
}

// commit returns the commit that was measured, marked if the tree differs from it.
func commit() string {
	out, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	id := strings.TrimSpace(string(out))
	if status, err := exec.Command("git", "status", "--porcelain", "--", "*.go").Output(); err != nil || len(status) > 0 {
		id += " with changes"
	}
	return id
}

func writeCSV(path, header string, rows []row) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if _, err := fmt.Fprintln(f, "# "+header); err != nil {
		return err
	}
	w := csv.NewWriter(f)
	names := []string{"cell", "policy", "seed"}
	for _, c := range columns {
		names = append(names, c.name)
	}
	_ = w.Write(names)
	for _, r := range rows {
		fields := []string{r.Cell, r.Policy, fmt.Sprint(r.Seed)}
		for _, c := range columns {
			fields = append(fields, fmt.Sprintf(c.format, c.of(r)))
		}
		_ = w.Write(fields)
	}
	w.Flush()
	return w.Error()
}

// group is the rows of one cell and policy.
type group struct {
	cell, policy string
	rows         []row
}

// mean groups the rows by cell and policy, in the order of the cells.
func mean(rows []row) []group {
	var out []group
	for _, c := range cells {
		for _, p := range policies {
			g := group{cell: c.name, policy: p.name}
			for _, r := range rows {
				if r.Cell == c.name && r.Policy == p.name {
					g.rows = append(g.rows, r)
				}
			}
			if len(g.rows) > 0 {
				out = append(out, g)
			}
		}
	}
	return out
}

func (g group) mean(c column) float64 {
	sum := 0.0
	for _, r := range g.rows {
		sum += c.of(r)
	}
	return sum / float64(len(g.rows))
}

// spread returns half of the distance between the least and the greatest value.
func (g group) spread(c column) float64 {
	least, most := math.Inf(1), math.Inf(-1)
	for _, r := range g.rows {
		least, most = min(least, c.of(r)), max(most, c.of(r))
	}
	return (most - least) / 2
}

func writeText(path, header string, groups []group) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	fmt.Fprintf(f, "%s\nMeans over the seeds, with half of the range after ±.\n\n", header)
	w := tabwriter.NewWriter(f, 0, 8, 2, ' ', tabwriter.AlignRight)
	for _, part := range [][]string{
		{"requests", "attainment", "others_attainment", "goodput_share", "first_token_p95_ms", "inter_token_p95_ms", "refused", "refusal_p99_ms"},
		{"server_s_per_good", "tokens_per_good", "cross_region_bytes_per_good", "wasted_share", "added_share", "retries_per_stage", "hedges_per_stage"},
		{"attainment_after_fault", "victim_share", "recovery_s", "returned_share", "wrong"},
	} {
		fmt.Fprintf(w, "cell\tpolicy\t%s\t\n", strings.Join(part, "\t"))
		for _, g := range groups {
			fmt.Fprintf(w, "%s\t%s\t", g.cell, g.policy)
			for _, name := range part {
				c := columnOf(name)
				text := fmt.Sprintf(c.format, g.mean(c))
				if s := g.spread(c); s > 0 {
					text += fmt.Sprintf(" ±"+c.format, s)
				}
				fmt.Fprintf(w, "%s\t", text)
			}
			fmt.Fprintln(w)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

func columnOf(name string) column {
	return columns[slices.IndexFunc(columns, func(c column) bool { return c.name == name })]
}

func writePlots(base, header string, groups []group) error {
	for _, p := range []struct {
		column, title, unit string
		max, target         float64
	}{
		{"attainment", "Attainment", "share of offered", 1, 0.99},
		{"others_attainment", "Attainment of the customers that are not greedy", "share of offered", 1, 0.95},
		{"goodput_share", "Goodput against the bound", "share", 1.2, 0.9},
		{"wasted_share", "Server time of requests not complete in time", "share", 0, 0.05},
		{"first_token_p95_ms", "First token, 95th percentile", "ms", 0, 340},
	} {
		c := chart(groups, columnOf(p.column))
		c.Title, c.YLabel, c.Max, c.Target = p.title, p.unit, p.max, p.target
		text := strings.Replace(c.Bars(), "<rect width", "<desc>"+header+"</desc><rect width", 1)
		if err := os.WriteFile(base+"-"+p.column+".svg", []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func chart(groups []group, c column) *plot.Chart {
	out := &plot.Chart{}
	for _, g := range groups {
		if !slices.Contains(out.Labels, g.cell) {
			out.Labels = append(out.Labels, g.cell)
		}
	}
	for _, p := range policies {
		s := plot.Series{Name: p.name}
		used := false
		for _, label := range out.Labels {
			v := math.NaN()
			for _, g := range groups {
				if g.cell == label && g.policy == p.name {
					v, used = g.mean(c), true
				}
			}
			s.Values = append(s.Values, v)
		}
		if used {
			out.Series = append(out.Series, s)
		}
	}
	return out
}
