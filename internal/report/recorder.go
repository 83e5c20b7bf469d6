package report

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/burn"
)

// Path is the path of the report on an entry's admin listener.
const Path = "/admin/v1/burn"

// Recorder records the requests of an entry and serves reports on them. It is safe for
// concurrent use.
type Recorder struct {
	mu      sync.Mutex
	tracker *burn.Tracker
}

// NewRecorder returns a recorder for the named entry.
func NewRecorder(entry string) *Recorder {
	return &Recorder{tracker: burn.NewTracker(entry)}
}

// Record records a completed or refused request.
func (r *Recorder) Record(now time.Time, req *burn.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Record(now, req)
}

// Report returns the report as of now.
func (r *Recorder) Report(now time.Time) *burn.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Report(now)
}

// ServeHTTP serves the report as HTML, plain text or JSON, depending on the Accept
// header.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	now := time.Now()
	accept := req.Header.Get("Accept")
	rep := r.Report(now)
	var err error
	switch {
	case strings.Contains(accept, "text/html"):
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		err = HTML(w, rep)
	case strings.Contains(accept, "text/plain"):
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		err = Text(w, rep)
	default:
		w.Header().Set("Content-Type", "application/json")
		err = JSON(w, rep)
	}
	// An error only means that the caller disconnected.
	_ = err
}
