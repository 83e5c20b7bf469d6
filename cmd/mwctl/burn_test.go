package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/burn"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/report"
)

// startBurnServer starts a server with the burn report of an entry that has recorded one
// request with each of the codes.
func startBurnServer(t *testing.T, name string, codes ...result.Code) *httptest.Server {
	t.Helper()
	rec := report.NewRecorder(name)
	for _, code := range codes {
		rec.Record(time.Now(), &burn.Request{Call: "draft", Customer: "petra", Objective: 0.99, Code: code, Deadline: 1})
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+report.Path, rec)
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv
}

func TestBurnMergesEntries(t *testing.T) {
	a := startBurnServer(t, "entry-a", result.OK, result.OK)
	b := startBurnServer(t, "entry-b", result.OK, result.Overloaded)
	var reports []*burn.Report
	for _, srv := range []*httptest.Server{a, b} {
		r, err := fetchBurnReport(srv.URL+"/", "key")
		assert.NilError(t, err)
		reports = append(reports, r)
	}
	page := filepath.Join(t.TempDir(), "burn.html")
	var out bytes.Buffer
	c := burnCommand{HTML: page}
	assert.NilError(t, c.writeReport(&out, burn.Merge(reports...)))
	assert.Assert(t, strings.Contains(out.String(), "burn report of 2 entries"), out.String())
	assert.Assert(t, strings.Contains(out.String(), "75.00%"), out.String())
	html, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(html, []byte("entry-a, entry-b")))
}

func TestBurnExitCodes(t *testing.T) {
	good := startBurnServer(t, "entry-a", result.OK)
	bad := startBurnServer(t, "entry-b", result.ServerFailed)
	unreachable := httptest.NewServer(nil)
	unreachable.Close()
	withoutRoute := httptest.NewServer(http.NotFoundHandler())
	defer withoutRoute.Close()
	cases := []struct {
		name   string
		admins []string
		check  bool
		code   int
	}{
		{"all entries answer", []string{good.URL}, true, 0},
		{"entry unreachable", []string{good.URL, unreachable.URL}, false, exitBurnPartial},
		{"no such route", []string{withoutRoute.URL, good.URL}, false, exitBurnPartial},
		{"alert", []string{good.URL, bad.URL}, true, exitBurnAlert},
		{"alert without --check", []string{bad.URL}, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := (&burnCommand{Admins: c.admins, Check: c.check}).Execute(nil)
			var coded exitError
			if c.code == 0 {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errors.As(err, &coded), "%v", err)
			assert.Equal(t, coded.code, c.code)
		})
	}
}
