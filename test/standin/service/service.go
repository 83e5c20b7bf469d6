// Package service is the stand-in for non-streaming backend servers: services,
// encoders, retrievers and rerankers.
package service

import (
	"io"
	"net/http"
	"time"

	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

// Config configures a service.
type Config struct {
	Name string
	// CallDuration is the processing time of one call.
	CallDuration time.Duration
	// Slots is the number of calls that run at a time; 0 means 16.
	Slots  int
	Faults standin.Faults
	// Sink receives the execution records; it may be nil.
	Sink io.Writer
}

const defaultSlots = 16

// service is a simulated backend server. The channel slots holds a value for each
// running call.
type service struct {
	conf     Config
	switches *standin.FaultSwitches
	recorder *standin.Recorder
	slots    chan struct{}
}

// Start starts the service on addr.
func Start(addr string, conf Config) (*standin.Server, error) {
	if conf.Slots <= 0 {
		conf.Slots = defaultSlots
	}
	s := &service{
		conf:     conf,
		switches: standin.NewFaultSwitches(conf.Faults),
		recorder: standin.NewRecorder(conf.Name, conf.Sink),
		slots:    make(chan struct{}, conf.Slots),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/calls/{call}", s.handleCall)
	srv := &standin.Server{Switches: s.switches, Recorder: s.recorder}
	return srv, standin.Serve(addr, srv, mux)
}

// handleCall executes a call. Once a call holds a slot it runs to completion, even if
// the client disconnects.
func (s *service) handleCall(w http.ResponseWriter, r *http.Request) {
	input, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.switches.WaitHangAndDelay(r.Context()) {
		return
	}
	f := s.switches.Get()
	if f.Down || f.NotRun {
		w.Header().Set("Not-Run", "true")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	in := standin.ParseInput(input)
	call := r.PathValue("call")
	if f.Fail {
		s.recorder.End(s.recorder.Begin(r.Header.Get("Request-Id"), call, in.Nonce, len(input)), standin.Failed, 0, 0)
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	dropResponse := s.switches.ConsumeResponseDrop()
	s.slots <- struct{}{}
	seq := s.recorder.Begin(r.Header.Get("Request-Id"), call, in.Nonce, len(input))
	time.Sleep(time.Duration(float64(s.conf.CallDuration)*f.EffectiveSlowFactor()) + time.Duration(in.ExtraTimeMS)*time.Millisecond)
	output := standin.CallOutput(call, input)
	s.recorder.End(seq, standin.Completed, len(output), 0)
	<-s.slots
	if dropResponse {
		standin.AbortConnection()
	}
	_, _ = w.Write(output)
}
