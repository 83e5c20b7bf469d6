package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

const maxLoadSamples = 1024

// loadSample is the state of the engine at one moment.
type loadSample struct {
	at       time.Time
	running  int
	queued   int
	produced float64
}

type loadAnswer struct {
	Running         int     `json:"running"`
	Queued          int     `json:"queued"`
	TokensPerSecond float64 `json:"tokens_per_s"`
	AgeMS           int64   `json:"age_ms"`
}

type orderRequest struct {
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	Fence   uint64 `json:"fence"`
}

func (e *engine) sample(now time.Time) {
	e.samples = append(e.samples, loadSample{now, len(e.running), len(e.waiting), e.produced})
	if len(e.samples) > maxLoadSamples {
		e.samples = slices.Delete(e.samples, 0, len(e.samples)-maxLoadSamples)
	}
}

func (e *engine) load(w http.ResponseWriter, r *http.Request) {
	if !e.available(w, r) {
		return
	}
	lag := time.Duration(e.switches.Get().LoadLagMS) * time.Millisecond
	now := time.Now()
	e.mu.Lock()
	a := e.loadAt(now.Add(-lag), now)
	e.mu.Unlock()
	standin.WriteJSON(w, a)
}

// loadAt returns the newest sample that is not younger than at, with the token
// rate since the sample a second before.
func (e *engine) loadAt(at, now time.Time) loadAnswer {
	var newest, before *loadSample
	for i := range e.samples {
		s := &e.samples[i]
		if s.at.After(at) {
			break
		}
		newest = s
		if before == nil || !s.at.After(at.Add(-time.Second)) {
			before = s
		}
	}
	if newest == nil {
		return loadAnswer{AgeMS: now.Sub(at).Milliseconds()}
	}
	a := loadAnswer{Running: newest.running, Queued: newest.queued, AgeMS: now.Sub(at).Milliseconds()}
	if d := newest.at.Sub(before.at).Seconds(); d > 0 {
		a.TokensPerSecond = (newest.produced - before.produced) / d
	}
	return a
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var req orderRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.available(w, r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.Fence < e.fence && !e.switches.Get().IgnoreFences {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, req.Fence)
	e.orders = append(e.orders, req)
	e.obey(req)
	if e.switches.TakeDrop() {
		standin.Abort()
	}
	standin.WriteJSON(w, struct{}{})
}

func (e *engine) obey(req orderRequest) {
	switch req.Kind {
	case "load_model", "load_adapter":
		if len(e.models) > 0 && !slices.Contains(e.models, req.Model) {
			e.models = append(slices.Clone(e.models), req.Model)
		}
	case "unload_model":
		e.models = slices.DeleteFunc(slices.Clone(e.models), func(m string) bool { return m == req.Model })
	case "set_role":
		e.role = req.Role
	}
}

// listOrders returns the orders that were obeyed, for the tests.
func (e *engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	orders := append([]orderRequest{}, e.orders...)
	e.mu.Unlock()
	standin.WriteJSON(w, orders)
}
