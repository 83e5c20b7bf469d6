package inbound

import (
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/connlimit"
	"github.com/magnoliawheel/magnoliawheel/internal/bounded"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// stalledUploadTime is how long a client must have been waited for until its body may make room for
// those of others.
const stalledUploadTime = 500 * time.Millisecond

// Uploads reads request bodies within a budget for all of them together. If it does not suffice, the
// body that costs most of those that have stalled is given up; see package connlimit. It is safe for
// concurrent use.
type Uploads struct {
	budget *bounded.Budget
	ended  tally.Counter

	mu sync.Mutex
	// table holds the bodies that are arriving. Their memory is bounded by the budget, and their
	// number by that of the connections.
	table *connlimit.Table
	all   map[*connlimit.Conn]*upload
}

// upload is a request body that is arriving.
type upload struct {
	uploads *Uploads
	entry   *connlimit.Conn
	log     logr.Logger
	hold    *bounded.Hold
	// cut makes the read that is under way fail.
	cut func()
}

// NewUploads returns Uploads with a budget of the given number of bytes. If no body has stalled,
// reclaim, if set, is to make others give back memory, and reports whether it did.
func NewUploads(bytes int64, reclaim func() bool, scope tally.Scope) *Uploads {
	if scope == nil {
		scope = tally.NoopScope
	}
	u := &Uploads{
		budget: bounded.NewBudget(bytes), ended: scope.Counter("stalled_uploads_ended"),
		table: connlimit.NewTable(connlimit.Limits{Connections: math.MaxInt, Bytes: math.MaxInt64}), all: map[*connlimit.Conn]*upload{},
	}
	u.budget.SetReclaim(func() bool { return u.endCostliest() || reclaim != nil && reclaim() })
	return u
}

// Read reads the body of a request of at most limit bytes. The body counts until release is called.
// The error is bounded.ErrBudgetSpent if there is no memory for it, and an http.MaxBytesError if it
// is too large. The caller bounds the time of the read, and that for the rest of a refused body.
func (u *Uploads) Read(w http.ResponseWriter, r *http.Request, log logr.Logger, limit int64) (body []byte, release func(), err error) {
	hold := u.budget.NewHold()
	controller := http.NewResponseController(w)
	up := u.begin(log, hold, func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
	body, err = hold.ReadSized(&uploadReader{http.MaxBytesReader(w, r.Body, limit), up}, r.ContentLength, limit)
	up.end()
	if err == nil && hold.Spent() {
		return nil, hold.Release, bounded.ErrBudgetSpent
	}
	return body, hold.Release, err
}

// begin adds an upload. It must end.
func (u *Uploads) begin(log logr.Logger, hold *bounded.Hold, cut func()) *upload {
	u.mu.Lock()
	defer u.mu.Unlock()
	entry, _ := u.table.Join(clock.Now(), 0)
	up := &upload{uploads: u, entry: entry, log: log, hold: hold, cut: cut}
	u.all[entry] = up
	return up
}

// end removes an upload.
func (up *upload) end() {
	up.uploads.mu.Lock()
	defer up.uploads.mu.Unlock()
	up.uploads.table.Leave(up.entry)
	delete(up.uploads.all, up.entry)
}

// received records that n more bytes have arrived.
func (up *upload) received(n int) {
	u := up.uploads
	now := clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.table.Resize(now, up.entry, int64(n))
	u.table.Progress(now, up.entry, n)
}

// endCostliest gives up the upload that costs most of those that have stalled, and reports whether
// there was one.
func (u *Uploads) endCostliest() bool {
	up, waited := u.removeCostliest(clock.Now())
	if up == nil {
		return false
	}
	u.ended.Inc(1)
	up.log.Info("Stalled upload is ended because the memory for request bodies is exhausted.", "waited", waited)
	return true
}

// removeCostliest removes the upload that costs most of those that have stalled, and makes its read
// fail. It returns the time for which its client was waited for, and nil if there is none. It holds
// the lock meanwhile, so that a read which has ended is left alone.
func (u *Uploads) removeCostliest(now time.Duration) (up *upload, waited time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	entry := u.table.EndCostliest(now, stalledUploadTime)
	if entry == nil {
		return nil, 0
	}
	up = u.all[entry]
	delete(u.all, entry)
	up.hold.Release()
	up.cut()
	return up, entry.Waited(now)
}

// uploadReader records what arrives of a body.
type uploadReader struct {
	io.Reader
	upload *upload
}

// Read implements io.Reader.
func (r *uploadReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.upload.received(n)
	}
	return n, err
}
