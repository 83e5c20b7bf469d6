package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

// maxLoadSamples limits the history of load samples.
const maxLoadSamples = 1024

// loadSample is the load of the engine at one point in time.
type loadSample struct {
	takenAt        time.Time
	running        int
	queued         int
	tokensProduced float64
}

// loadResponse is a load report.
type loadResponse struct {
	Running         int     `json:"running"`
	Queued          int     `json:"queued"`
	TokensPerSecond float64 `json:"tokens_per_s"`
	AgeMS           int64   `json:"age_ms"`
}

// orderRequest is an order to load or unload a model or to set the role. The fencing
// number must not be lower than that of an earlier order.
type orderRequest struct {
	Kind          string `json:"kind"`
	Model         string `json:"model,omitempty"`
	Version       string `json:"version,omitempty"`
	Role          string `json:"role,omitempty"`
	FencingNumber uint64 `json:"fence"`
}

// recordLoadSample adds a sample and drops the oldest ones beyond maxLoadSamples.
func (e *engine) recordLoadSample(now time.Time) {
	e.loadSamples = append(e.loadSamples, loadSample{now, len(e.running), len(e.waiting), e.tokensProduced})
	if len(e.loadSamples) > maxLoadSamples {
		e.loadSamples = slices.Delete(e.loadSamples, 0, len(e.loadSamples)-maxLoadSamples)
	}
}

// handleLoad returns a load report that is LoadReportAgeMS old.
func (e *engine) handleLoad(w http.ResponseWriter, r *http.Request) {
	if !e.checkAvailable(w, r) {
		return
	}
	reportAge := time.Duration(e.switches.Get().LoadReportAgeMS) * time.Millisecond
	now := time.Now()
	e.mu.Lock()
	response := e.loadReportAt(now.Add(-reportAge), now)
	e.mu.Unlock()
	standin.WriteJSON(w, response)
}

// loadReportAt returns the newest sample taken at reportTime or earlier, with the average
// token rate since the sample one second before reportTime.
func (e *engine) loadReportAt(reportTime, now time.Time) loadResponse {
	var newest, baseline *loadSample
	for i := range e.loadSamples {
		s := &e.loadSamples[i]
		if s.takenAt.After(reportTime) {
			break
		}
		newest = s
		if baseline == nil || !s.takenAt.After(reportTime.Add(-time.Second)) {
			baseline = s
		}
	}
	if newest == nil {
		return loadResponse{AgeMS: now.Sub(reportTime).Milliseconds()}
	}
	response := loadResponse{Running: newest.running, Queued: newest.queued, AgeMS: now.Sub(reportTime).Milliseconds()}
	if d := newest.takenAt.Sub(baseline.takenAt).Seconds(); d > 0 {
		response.TokensPerSecond = (newest.tokensProduced - baseline.tokensProduced) / d
	}
	return response
}

// handleOrder executes an order unless its fencing number is outdated.
func (e *engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var req orderRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.checkAvailable(w, r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.FencingNumber < e.highestFencingNumber && !e.switches.Get().IgnoreFencingNumbers {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.highestFencingNumber = max(e.highestFencingNumber, req.FencingNumber)
	e.orders = append(e.orders, req)
	e.applyOrder(req)
	if e.switches.ConsumeResponseDrop() {
		standin.AbortConnection()
	}
	standin.WriteJSON(w, struct{}{})
}

// applyOrder updates the loaded models or the role.
func (e *engine) applyOrder(req orderRequest) {
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

// handleListOrders returns the executed orders, for tests.
func (e *engine) handleListOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	orders := append([]orderRequest{}, e.orders...)
	e.mu.Unlock()
	standin.WriteJSON(w, orders)
}
