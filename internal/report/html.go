package report

import (
	_ "embed"
	"html/template"
	"io"
	"math"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/burn"
	"github.com/magnoliawheel/magnoliawheel/internal/report/plot"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": percent,
	"mean":    mean,
	"burn":    func(l burn.ServiceLevel, w int) float64 { return l.BurnRate(burn.Window(w)) },
	"left":    func(l burn.ServiceLevel) float64 { return l.ErrorBudgetRemaining() },
	"alert":   func(l burn.ServiceLevel) burn.Alert { return l.Alert() },
	"counts":  func(l burn.ServiceLevel) burn.Counts { return l.Windows[burn.Last6Hours] },
}).Parse(pageText))

// page is the input of the template.
type page struct {
	*burn.Report
	Time   string
	Tables []serviceLevelTable
	Plots  []template.HTML
}

// serviceLevelTable is one table of the page, with a row for each service level.
type serviceLevelTable struct {
	Title string
	Rows  []burn.ServiceLevel
}

// HTML writes the report as one HTML page without external resources.
func HTML(w io.Writer, r *burn.Report) error {
	p := page{Report: r, Time: r.AsOf.UTC().Format(time.RFC3339)}
	p.Tables = []serviceLevelTable{{"Calls", r.Calls}, {"Customers", r.Customers}}
	for _, svg := range []string{attainmentPlot(r), burnPlot(r), stagePlot(r), costPlot(r)} {
		p.Plots = append(p.Plots, template.HTML(svg)) // package plot escapes all text
	}
	return pageTemplate.Execute(w, p)
}

const seriesStep = 5 * time.Minute

// attainmentPlot draws the attainment of each call in steps of five minutes.
func attainmentPlot(r *burn.Report) string {
	c := plot.Chart{Title: "Attainment by call, five-minute steps (UTC)", YLabel: "attained, %", Max: 100}
	first := firstStep(r.All.CoarseSeries)
	last := r.AsOf.Unix()
	var starts []int64
	for t := first; t <= last && first > 0; t += int64(seriesStep / time.Second) {
		starts = append(starts, t)
		c.Labels = append(c.Labels, time.Unix(t, 0).UTC().Format("15:04"))
	}
	for i := range r.Calls {
		l := &r.Calls[i]
		c.Target = max(c.Target, l.Objective*100)
		c.Series = append(c.Series, plot.Series{Name: l.Name, Values: attainmentValues(l.CoarseSeries, starts)})
	}
	return c.Lines()
}

func firstStep(points []burn.Point) int64 {
	if len(points) == 0 {
		return 0
	}
	return points[0].Start
}

func attainmentValues(points []burn.Point, starts []int64) []float64 {
	values := make([]float64, len(starts))
	countsByStart := map[int64]burn.Counts{}
	for _, p := range points {
		countsByStart[p.Start] = p.Counts
	}
	for i, s := range starts {
		values[i] = math.NaN()
		if c, ok := countsByStart[s]; ok {
			values[i] = c.Attainment() * 100
		}
	}
	return values
}

func burnPlot(r *burn.Report) string {
	c := plot.Chart{Title: "Burn rate by call", YLabel: "times the allowed rate", Target: burn.PageBurnRate}
	for i := range r.Calls {
		c.Labels = append(c.Labels, r.Calls[i].Name)
	}
	for _, w := range burn.Windows() {
		s := plot.Series{Name: w.String()}
		for i := range r.Calls {
			s.Values = append(s.Values, r.Calls[i].BurnRate(w))
		}
		c.Series = append(c.Series, s)
	}
	return c.Bars()
}

func stagePlot(r *burn.Report) string {
	c := plot.Chart{Title: "Mean time by stage", YLabel: "ms"}
	total, queue, server := plot.Series{Name: "first attempt to result"}, plot.Series{Name: "queue"}, plot.Series{Name: "server"}
	for i := range r.Stages {
		s := &r.Stages[i]
		c.Labels = append(c.Labels, s.Call+"/"+s.Stage)
		total.Values = append(total.Values, mean(s.ElapsedSeconds, s.Requests))
		queue.Values = append(queue.Values, mean(s.QueueSeconds, s.Requests))
		server.Values = append(server.Values, mean(s.ServerSeconds, s.Requests))
	}
	c.Series = []plot.Series{total, queue, server}
	return c.Bars()
}

func costPlot(r *burn.Report) string {
	c := plot.Chart{Title: "Server time by stage", YLabel: "server-seconds"}
	all, wasted := plot.Series{Name: "all"}, plot.Series{Name: "requests not attained"}
	for i := range r.Stages {
		s := &r.Stages[i]
		c.Labels = append(c.Labels, s.Call+"/"+s.Stage)
		all.Values = append(all.Values, s.ServerSeconds)
		wasted.Values = append(wasted.Values, s.WastedServerSeconds)
	}
	c.Series = []plot.Series{all, wasted}
	return c.Bars()
}
