// Package report renders the service-level burn report as text, as JSON and as one HTML
// page with plots and without external resources.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/burn"
)

// JSON writes the report as JSON.
func JSON(w io.Writer, r *burn.Report) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// Text writes the report as tables.
func Text(w io.Writer, r *burn.Report) error {
	fmt.Fprintf(w, "burn report of %d entries at %s\n", len(r.Entries), r.AsOf.UTC().Format(time.RFC3339))
	fmt.Fprintf(w, "attainment 6h %s, burn 5m %.2f 1h %.2f 30m %.2f 6h %.2f, budget left %s\n",
		percent(r.All.Windows[burn.Last6Hours].Attainment()), r.All.BurnRate(burn.Last5Minutes), r.All.BurnRate(burn.LastHour),
		r.All.BurnRate(burn.Last30Minutes), r.All.BurnRate(burn.Last6Hours), percent(r.All.ErrorBudgetRemaining()))
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	writeServiceLevels(tw, "CALL", r.Calls)
	writeServiceLevels(tw, "CUSTOMER", r.Customers)
	writeStages(tw, r.Stages)
	return tw.Flush()
}

func writeServiceLevels(w io.Writer, title string, levels []burn.ServiceLevel) {
	fmt.Fprintf(w, "\n%s\tOBJECTIVE\tTOTAL 6h\tATTAINED\tREFUSED\tLATE\tFAILED\tBURN 5m\t1h\t30m\t6h\tBUDGET LEFT\tALERT\t\n", title)
	for i := range levels {
		l := &levels[i]
		c := l.Windows[burn.Last6Hours]
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%s\t%s\t\n",
			l.Name, percent(l.Objective), c.Total, percent(c.Attainment()), c.Refused, c.Late, c.Failed,
			l.BurnRate(burn.Last5Minutes), l.BurnRate(burn.LastHour), l.BurnRate(burn.Last30Minutes), l.BurnRate(burn.Last6Hours),
			percent(l.ErrorBudgetRemaining()), l.Alert())
	}
}

func writeStages(w io.Writer, stages []burn.StageCost) {
	fmt.Fprint(w, "\nSTAGE\tREQUESTS\tATTEMPTS\tMEAN ms\tQUEUE ms\tSERVER s\tWASTED s\tTOKENS\tCROSS-REGION B\tLATE\tSPENT DEADLINE\t\n")
	for i := range stages {
		s := &stages[i]
		fmt.Fprintf(w, "%s/%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t\n",
			s.Call, s.Stage, s.Requests, s.Attempts, mean(s.ElapsedSeconds, s.Requests), mean(s.QueueSeconds, s.Requests),
			s.ServerSeconds, s.WastedServerSeconds, s.Tokens, s.CrossRegionBytes, s.Late, s.SpentDeadline)
	}
}

// mean returns the mean in milliseconds of n durations whose sum is given in seconds.
func mean(seconds float64, n uint64) float64 {
	if n == 0 {
		return 0
	}
	return seconds * 1000 / float64(n)
}

func percent(v float64) string { return fmt.Sprintf("%.2f%%", v*100) }
