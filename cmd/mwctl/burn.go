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
	"github.com/magnoliawheel/magnoliawheel/internal/report"
)

const (
	// exitBurnPartial is the exit code of a report that lacks entries.
	exitBurnPartial = 11
	// exitBurnAlert is the exit code of --check when a line calls for an alert.
	exitBurnAlert = 12
	// burnTimeout bounds the request to one entry.
	burnTimeout = 5 * time.Second
	// burnMaxBytes bounds the report of one entry.
	burnMaxBytes = 64 << 20
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
	missing := 0
	for _, admin := range c.Admins {
		r, err := fetchBurn(admin, c.Key)
		if err != nil {
			missing++
			fmt.Fprintf(os.Stderr, "%s: %v\n", admin, err)
			continue
		}
		reports = append(reports, r)
	}
	merged := burn.Merge(reports...)
	if err := c.write(os.Stdout, merged); err != nil {
		return err
	}
	if missing > 0 {
		return exitError{errors.Newf("%d of %d entries did not answer", missing, len(c.Admins)), exitBurnPartial}
	}
	if c.Check {
		return checkBurn(merged)
	}
	return nil
}

func (c *burnCommand) write(w io.Writer, r *burn.Report) error {
	if c.HTML != "" {
		if err := writeBurnPage(c.HTML, r); err != nil {
			return err
		}
	}
	if c.JSON {
		return report.JSON(w, r)
	}
	return report.Text(w, r)
}

func writeBurnPage(path string, r *burn.Report) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write burn page")
	}
	return errors.CombineErrors(report.HTML(f, r), f.Close())
}

func checkBurn(r *burn.Report) error {
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

func fetchBurn(admin, key string) (*burn.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), burnTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(admin, "/")+report.Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "form request")
	}
	if key != "" {
		adminapi.SetAuthorization(req, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "fetch burn")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, burnMaxBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read burn")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("fetch burn: %s: %.200s", resp.Status, body)
	}
	r := &burn.Report{}
	return r, errors.Wrap(json.Unmarshal(body, r), "decode burn")
}
