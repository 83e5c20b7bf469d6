package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/magnoliawheel/magnoliawheel/core/burn"
	"github.com/magnoliawheel/magnoliawheel/internal/adminapi"
	"github.com/magnoliawheel/magnoliawheel/internal/bounded"
	"github.com/magnoliawheel/magnoliawheel/internal/report"
)

const (
	// exitBurnPartial is the exit code if some entries did not answer.
	exitBurnPartial = 11
	// exitBurnAlert is the exit code of --check if a call or customer has an alert.
	exitBurnAlert = 12
	// burnTimeout is the timeout of the request to one entry.
	burnTimeout = 5 * time.Second
)

type burnCommand struct {
	Admins []string `long:"admin" required:"true" description:"Admin base URL of an entry; give it once for each entry"`
	Key    string   `long:"key" env:"MWCTL_KEY" description:"Administration key"`
	JSON   bool     `long:"json" description:"Write the report as JSON"`
	HTML   string   `long:"html" description:"Write the report as one HTML page to this file"`
	Check  bool     `long:"check" description:"Fail with exit code 12 if a call or customer calls for an alert"`
}

func addBurn(parser *flags.Parser) {
	_, err := parser.AddCommand("burn", "Report attainment, burn of the error budget and cost by stage",
		"Merges the figures of the given entries.\n"+
			"Example: mwctl burn --admin http://127.0.0.1:9080 --admin http://127.0.0.1:9081 --html burn.html\n"+
			"Exit codes: 0 whole report, 11 an entry did not answer (the rest is reported), 12 alert with --check.",
		&burnCommand{})
	if err != nil {
		panic(err)
	}
}

// Execute fetches, merges and writes the reports.
func (c *burnCommand) Execute([]string) error {
	var reports []*burn.Report
	unanswered := 0
	for _, admin := range c.Admins {
		r, err := fetchBurnReport(admin, c.Key)
		if err != nil {
			unanswered++
			fmt.Fprintf(os.Stderr, "%s: %v\n", admin, err)
			continue
		}
		reports = append(reports, r)
	}
	merged := burn.Merge(reports...)
	if err := c.writeReport(os.Stdout, merged); err != nil {
		return err
	}
	if unanswered > 0 {
		return exitError{errors.Newf("%d of %d entries did not answer", unanswered, len(c.Admins)), exitBurnPartial}
	}
	if c.Check {
		return burnAlertError(merged)
	}
	return nil
}

func (c *burnCommand) writeReport(w io.Writer, r *burn.Report) error {
	if c.HTML != "" {
		if err := writeHTMLReport(c.HTML, r); err != nil {
			return err
		}
	}
	if c.JSON {
		return report.JSON(w, r)
	}
	return report.Text(w, r)
}

func writeHTMLReport(path string, r *burn.Report) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create HTML report")
	}
	return errors.CombineErrors(report.HTML(f, r), f.Close())
}

// burnAlertError returns an error that lists the alerts, or nil if there are none.
func burnAlertError(r *burn.Report) error {
	var alerts []string
	for _, lines := range [][]burn.ServiceLevel{r.Calls, r.Customers} {
		for i := range lines {
			if a := lines[i].Alert(); a != burn.NoAlert {
				alerts = append(alerts, fmt.Sprintf("%s: %s", lines[i].Name, a))
			}
		}
	}
	if len(alerts) == 0 {
		return nil
	}
	return exitError{errors.Newf("alerts: %s", strings.Join(alerts, ", ")), exitBurnAlert}
}

func fetchBurnReport(admin, key string) (*burn.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), burnTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(admin, "/")+report.Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	if key != "" {
		adminapi.SetAuthorization(req, key)
	}
	resp, err := adminClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "fetch burn report")
	}
	defer resp.Body.Close()
	body, err := bounded.ReadAll(resp.Body, maxAdminBytes)
	if err != nil {
		return nil, errors.Wrap(err, "read burn report")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("fetch burn report: %s: %.200s", resp.Status, body)
	}
	r := &burn.Report{}
	return r, errors.Wrap(json.Unmarshal(body, r), "decode burn report")
}
