package report

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/magnoliawheel/magnoliawheel/core/burn"
	"github.com/magnoliawheel/magnoliawheel/core/result"
)

var startTime = time.Unix(1_000_000_200, 0)

// reportWithLateMinutes is a report over an hour in whose last minutes a third of the
// requests miss their deadlines.
func reportWithLateMinutes() *burn.Report {
	t := burn.NewTracker("entry-1")
	now := startTime
	for i := range 3600 {
		now = startTime.Add(time.Duration(i) * time.Second)
		r := &burn.Request{
			Call: "draft-dossier", Customer: "petra-build", Objective: 0.99, Code: result.OK,
			Elapsed: time.Second, Deadline: 3 * time.Second,
			Stages: []burn.Stage{
				{Name: "encode", Attempts: 1, Elapsed: 20 * time.Millisecond, ServiceTime: 15 * time.Millisecond, CrossRegionBytes: 100},
				{Name: "generate", Attempts: 1, Elapsed: 700 * time.Millisecond, QueueTime: 100 * time.Millisecond, ServiceTime: 600 * time.Millisecond, Tokens: 64},
			},
		}
		if i%2 == 0 {
			r.Call, r.Customer, r.Objective = "label", "<b>&co", 0.95
		}
		if i > 3200 && i%3 == 0 {
			r.Code = result.DeadlineExceeded
		}
		t.Record(now, r)
	}
	return t.Report(now)
}

func TestText(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, Text(&b, reportWithLateMinutes()))
	golden.Assert(t, b.String(), "lunch.txt")
}

func TestHTML(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, HTML(&b, reportWithLateMinutes()))
	golden.Assert(t, b.String(), "lunch.html")
	text := strings.ReplaceAll(b.String(), "http://www.w3.org/2000/svg", "")
	for _, forbidden := range []string{"http://", "https://", "<script", "src=", "@import", "<b>&co"} {
		assert.Assert(t, !strings.Contains(text, forbidden), "page contains %q", forbidden)
	}
}

func TestHTMLWithoutRequests(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, HTML(&b, burn.NewTracker("entry-1").Report(startTime)))
	assert.Assert(t, !strings.Contains(b.String(), "NaN"))
}

func TestRecorderServesEachFormat(t *testing.T) {
	r := NewRecorder("entry-1")
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 100 {
				r.Record(time.Now(), &burn.Request{Call: "a", Customer: "c", Objective: 0.9, Deadline: 1})
				r.Report(time.Now())
			}
		})
	}
	wg.Wait()
	cases := []struct{ accept, contentType, contains string }{
		{"", "application/json", `"good": 400`},
		{"text/html,*/*", "text/html; charset=utf-8", "<title>Service-level burn</title>"},
		{"text/plain", "text/plain; charset=utf-8", "attainment 6h 100.00%"},
	}
	for _, c := range cases {
		t.Run(c.contentType, func(t *testing.T) {
			req := httptest.NewRequest(http.MethodGet, Path, nil)
			req.Header.Set("Accept", c.accept)
			w := httptest.NewRecorder()
			r.ServeHTTP(w, req)
			assert.Equal(t, w.Header().Get("Content-Type"), c.contentType)
			assert.Assert(t, strings.Contains(w.Body.String(), c.contains), w.Body.String())
		})
	}
}

func TestJSONRoundTrip(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, JSON(&b, reportWithLateMinutes()))
	var decoded burn.Report
	assert.NilError(t, json.Unmarshal(b.Bytes(), &decoded))
	var text, decodedText bytes.Buffer
	assert.NilError(t, Text(&text, reportWithLateMinutes()))
	assert.NilError(t, Text(&decodedText, &decoded))
	assert.Equal(t, text.String(), decodedText.String())
}
