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

// column is a column of the result files.
type column struct {
	name string
	// format is the format verb of the values.
	format string
	value  func(resultRow) float64
}

// columns lists the columns of the CSV file after scenario, policy and seed.
var columns = []column{
	{"requests", "%.0f", func(r resultRow) float64 { return float64(r.Requests) }},
	{"attainment", "%.4f", func(r resultRow) float64 { return r.Attainment }},
	{"others_attainment", "%.4f", func(r resultRow) float64 { return r.OthersAttainment }},
	{"goodput_per_s", "%.2f", func(r resultRow) float64 { return r.Goodput }},
	{"goodput_bound_per_s", "%.2f", func(r resultRow) float64 { return r.GoodputBound }},
	{"goodput_share", "%.4f", func(r resultRow) float64 { return r.Goodput / r.GoodputBound }},
	{"first_token_p95_ms", "%.1f", func(r resultRow) float64 { return r.FirstTokenP95 }},
	{"inter_token_p95_ms", "%.1f", func(r resultRow) float64 { return r.InterTokenP95 }},
	{"refused", "%.0f", func(r resultRow) float64 { return float64(r.Refusals) }},
	{"refusal_p99_ms", "%.1f", func(r resultRow) float64 { return r.RefusalP99 }},
	{"server_s_per_good", "%.3f", func(r resultRow) float64 { return r.ServerSecondsPerGood }},
	{"tokens_per_good", "%.2f", func(r resultRow) float64 { return r.TokensPerGood }},
	{"cross_region_bytes_per_good", "%.0f", func(r resultRow) float64 { return r.CrossRegionBytesPerGood }},
	{"wasted_share", "%.4f", func(r resultRow) float64 { return r.WastedShare }},
	{"added_share", "%.4f", func(r resultRow) float64 { return r.RepeatedWorkShare }},
	{"retries_per_stage", "%.4f", func(r resultRow) float64 { return r.RetriesPerStage }},
	{"hedges_per_stage", "%.4f", func(r resultRow) float64 { return r.HedgesPerStage }},
	{"attainment_after_fault", "%.4f", func(r resultRow) float64 { return r.AttainmentAfterFault }},
	{"victim_share", "%.4f", func(r resultRow) float64 { return r.FaultyServerShare }},
	{"recovery_s", "%.2f", func(r resultRow) float64 { return r.RecoverySeconds }},
	{"returned_share", "%.4f", func(r resultRow) float64 { return r.RetrySuccessShare }},
	{"wrong", "%.0f", func(r resultRow) float64 { return float64(r.WrongAnswers) }},
}

// writeResults writes the rows as CSV, the means over the seeds as text, and plots.
func writeResults(o options, rows []resultRow) error {
	if err := os.MkdirAll(o.outputDir, 0o755); err != nil {
		return err
	}
	pathPrefix := filepath.Join(o.outputDir, "experiment")
	command := "make experiment"
	if o.quick {
		pathPrefix += "-quick"
		command += " QUICK=1"
	}
	if o.scenarioFilter != "" {
		pathPrefix += "-" + strings.ReplaceAll(o.scenarioFilter, ",", "-")
		command = fmt.Sprintf("go run ./test/experiment -quick=%v -only %s", o.quick, o.scenarioFilter)
	}
	header := fmt.Sprintf("command: %s; commit: %s; cores: %d; %d model servers, capacity %.1f requests/s",
		command, measuredCommit(), runtime.NumCPU(), engineCount, capacity())
	if err := writeCSV(pathPrefix+".csv", header, rows); err != nil {
		return err
	}
	if err := writeText(pathPrefix+".txt", header, groupRows(rows)); err != nil {
		return err
	}
	return writePlots(pathPrefix, header, groupRows(rows))
}

// measuredCommit returns the current commit, marked if Go files differ from it.
func measuredCommit() string {
	out, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	commit := strings.TrimSpace(string(out))
	if status, err := exec.Command("git", "status", "--porcelain", "--", "*.go").Output(); err != nil || len(status) > 0 {
		commit += " with changes"
	}
	return commit
}

// writeCSV writes the header as a comment, and one line per row.
func writeCSV(path, header string, rows []resultRow) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if _, err := fmt.Fprintln(f, "# "+header); err != nil {
		return err
	}
	w := csv.NewWriter(f)
	columnNames := []string{"cell", "policy", "seed"}
	for _, c := range columns {
		columnNames = append(columnNames, c.name)
	}
	_ = w.Write(columnNames)
	for _, r := range rows {
		fields := []string{r.Scenario, r.Policy, fmt.Sprint(r.Seed)}
		for _, c := range columns {
			fields = append(fields, fmt.Sprintf(c.format, c.value(r)))
		}
		_ = w.Write(fields)
	}
	w.Flush()
	return w.Error()
}

// group holds the rows of one scenario and policy, one per seed.
type group struct {
	scenario, policy string
	rows             []resultRow
}

// groupRows groups the rows by scenario and policy, in the order of the scenarios.
func groupRows(rows []resultRow) []group {
	var groups []group
	for _, s := range scenarios {
		for _, p := range policies {
			g := group{scenario: s.name, policy: p.name}
			for _, r := range rows {
				if r.Scenario == s.name && r.Policy == p.name {
					g.rows = append(g.rows, r)
				}
			}
			if len(g.rows) > 0 {
				groups = append(groups, g)
			}
		}
	}
	return groups
}

// mean returns the mean of a column over the seeds.
func (g group) mean(c column) float64 {
	total := 0.0
	for _, r := range g.rows {
		total += c.value(r)
	}
	return total / float64(len(g.rows))
}

// halfRange returns half of the difference between the largest and the smallest value.
func (g group) halfRange(c column) float64 {
	smallest, largest := math.Inf(1), math.Inf(-1)
	for _, r := range g.rows {
		smallest, largest = min(smallest, c.value(r)), max(largest, c.value(r))
	}
	return (largest - smallest) / 2
}

// writeText writes tables of the means, each with a part of the columns.
func writeText(path, header string, groups []group) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	fmt.Fprintf(f, "%s\nMeans over the seeds, with half of the range after ±.\n\n", header)
	w := tabwriter.NewWriter(f, 0, 8, 2, ' ', tabwriter.AlignRight)
	for _, columnNames := range [][]string{
		{"requests", "attainment", "others_attainment", "goodput_share", "first_token_p95_ms", "inter_token_p95_ms", "refused", "refusal_p99_ms"},
		{"server_s_per_good", "tokens_per_good", "cross_region_bytes_per_good", "wasted_share", "added_share", "retries_per_stage", "hedges_per_stage"},
		{"attainment_after_fault", "victim_share", "recovery_s", "returned_share", "wrong"},
	} {
		fmt.Fprintf(w, "cell\tpolicy\t%s\t\n", strings.Join(columnNames, "\t"))
		for _, g := range groups {
			fmt.Fprintf(w, "%s\t%s\t", g.scenario, g.policy)
			for _, name := range columnNames {
				c := columnByName(name)
				text := fmt.Sprintf(c.format, g.mean(c))
				if halfRange := g.halfRange(c); halfRange > 0 {
					text += fmt.Sprintf(" ±"+c.format, halfRange)
				}
				fmt.Fprintf(w, "%s\t", text)
			}
			fmt.Fprintln(w)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// columnByName returns the named column, which must exist.
func columnByName(name string) column {
	return columns[slices.IndexFunc(columns, func(c column) bool { return c.name == name })]
}

// writePlots draws one bar chart for each of the main columns.
func writePlots(pathPrefix, header string, groups []group) error {
	for _, plotted := range []struct {
		column, title, unit string
		max, target         float64
	}{
		{"attainment", "Attainment", "share of offered", 1, 0.99},
		{"others_attainment", "Attainment of the customers that are not greedy", "share of offered", 1, 0.95},
		{"goodput_share", "Goodput against the bound", "share", 1.2, 0.9},
		{"wasted_share", "Server time of requests not complete in time", "share", 0, 0.05},
		{"first_token_p95_ms", "First token, 95th percentile", "ms", 0, 340},
	} {
		chart := newChart(groups, columnByName(plotted.column))
		chart.Title, chart.YLabel, chart.Max, chart.Target = plotted.title, plotted.unit, plotted.max, plotted.target
		svg := strings.Replace(chart.Bars(), "<rect width", "<desc>"+header+"</desc><rect width", 1)
		if err := os.WriteFile(pathPrefix+"-"+plotted.column+".svg", []byte(svg), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// newChart returns a chart of one column, with a series per policy and a group of bars per
// scenario.
func newChart(groups []group, c column) *plot.Chart {
	chart := &plot.Chart{}
	for _, g := range groups {
		if !slices.Contains(chart.Labels, g.scenario) {
			chart.Labels = append(chart.Labels, g.scenario)
		}
	}
	for _, p := range policies {
		s := plot.Series{Name: p.name}
		hasValues := false
		for _, label := range chart.Labels {
			value := math.NaN()
			for _, g := range groups {
				if g.scenario == label && g.policy == p.name {
					value, hasValues = g.mean(c), true
				}
			}
			s.Values = append(s.Values, value)
		}
		if hasValues {
			chart.Series = append(chart.Series, s)
		}
	}
	return chart
}
