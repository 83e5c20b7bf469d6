package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMicros   = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 3
)

// Quantiles summarizes latencies in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Report summarizes the outcomes of a load.
type Report struct {
	Requests     int `json:"requests"`
	Complete     int `json:"complete"`
	OnTime       int `json:"on_time"`
	Refused      int `json:"refused"`
	Unknown      int `json:"unknown"`
	NoOutcome    int `json:"no_outcome"`
	WrongAnswers int `json:"wrong"`
	// Attainment is the share of all requests that were answered correctly within their
	// deadline.
	Attainment        float64           `json:"attainment"`
	Reattachments     int               `json:"reattached"`
	Codes             []CodeCount       `json:"codes"`
	TotalLatency      Quantiles         `json:"total"`
	FirstTextLatency  Quantiles         `json:"first_text"`
	InterTokenLatency Quantiles         `json:"inter_token"`
	RefusalLatency    Quantiles         `json:"refusal"`
	Customers         []CustomerOutcome `json:"customers"`
}

// CodeCount counts the errors of one result code.
type CodeCount struct {
	Code  string `json:"code"`
	Count int    `json:"count"`
}

// CustomerOutcome summarizes the requests of one customer.
type CustomerOutcome struct {
	Customer   string  `json:"customer"`
	Requests   int     `json:"requests"`
	OnTime     int     `json:"on_time"`
	Attainment float64 `json:"attainment"`
}

// histograms collect the latencies of a load.
type histograms struct{ total, firstText, interToken, refusal *hdrhistogram.Histogram }

// Summarize computes the report. Attainment is measured against the timeout of each
// request, or against deadline if it has none.
func Summarize(requests []Request, outcomes []Outcome, deadline time.Duration) Report {
	r := Report{Requests: len(outcomes)}
	h := histograms{newHistogram(), newHistogram(), newHistogram(), newHistogram()}
	codes, customers := map[string]int{}, map[string]*CustomerOutcome{}
	for i, out := range outcomes {
		limit := deadline
		if requests[i].Timeout > 0 {
			limit = requests[i].Timeout
		}
		onTime := out.Class == Complete && out.Defect == "" && out.TotalLatency <= limit
		r.count(out, onTime, h)
		if out.Code != 0 {
			codes[out.Code.String()]++
		}
		c := customers[out.Customer]
		if c == nil {
			c = &CustomerOutcome{Customer: out.Customer}
			customers[out.Customer] = c
		}
		c.Requests++
		if onTime {
			c.OnTime++
		}
		c.Attainment = ratio(c.OnTime, c.Requests)
	}
	r.Attainment = ratio(r.OnTime, r.Requests)
	r.TotalLatency, r.FirstTextLatency = quantiles(h.total), quantiles(h.firstText)
	r.InterTokenLatency, r.RefusalLatency = quantiles(h.interToken), quantiles(h.refusal)
	for _, code := range sortedKeys(codes) {
		r.Codes = append(r.Codes, CodeCount{code, codes[code]})
	}
	for _, name := range sortedKeys(customers) {
		r.Customers = append(r.Customers, *customers[name])
	}
	return r
}

// count adds an outcome to the counts and latencies.
func (r *Report) count(out Outcome, onTime bool, h histograms) {
	r.Reattachments += out.Reattachments
	if out.Defect != "" {
		r.WrongAnswers++
	}
	if onTime {
		r.OnTime++
	}
	switch out.Class {
	case Complete:
		r.Complete++
		record(h.total, out.TotalLatency)
		record(h.firstText, out.FirstTextLatency)
		for _, gap := range out.ChunkGaps {
			record(h.interToken, gap)
		}
	case Refused:
		r.Refused++
		record(h.refusal, out.TotalLatency)
	case Unknown:
		r.Unknown++
	case NoOutcome:
		r.NoOutcome++
	}
}

// WriteText writes the report as text.
func (r Report) WriteText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "requests=%d complete=%d on_time=%d refused=%d unknown=%d no_outcome=%d wrong=%d reattached=%d\n",
		r.Requests, r.Complete, r.OnTime, r.Refused, r.Unknown, r.NoOutcome, r.WrongAnswers, r.Reattachments)
	_, _ = fmt.Fprintf(w, "attainment %.4f\n", r.Attainment)
	_, _ = fmt.Fprintf(w, "%-12s %8s %9s %9s %9s %9s\n", "latency, ms", "count", "p50", "p95", "p99", "max")
	for _, row := range []struct {
		name string
		q    Quantiles
	}{{"total", r.TotalLatency}, {"first text", r.FirstTextLatency}, {"inter-token", r.InterTokenLatency}, {"refusal", r.RefusalLatency}} {
		_, _ = fmt.Fprintf(w, "%-12s %8d %9.1f %9.1f %9.1f %9.1f\n", row.name, row.q.Count, row.q.P50, row.q.P95, row.q.P99, row.q.Max)
	}
	for _, c := range r.Customers {
		_, _ = fmt.Fprintf(w, "customer %-20s requests=%d attainment=%.4f\n", c.Customer, c.Requests, c.Attainment)
	}
	for _, c := range r.Codes {
		_, _ = fmt.Fprintf(w, "code %s: %d\n", c.Code, c.Count)
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantFigures)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatencyMicros))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

func ratio(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
