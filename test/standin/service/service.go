// Package service is the stand-in for plain services, encoders, retrievers and
// rerankers.
package service

import (
	"io"
	"net/http"
	"time"

	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

// Config sets up a service.
type Config struct {
	Name string
	// Time is the time of one call.
	Time time.Duration
	// Slots is the number of calls that run at a time; 0 means 16.
	Slots  int
	Faults standin.Faults
	// Sink gets the record of executions; it may be nil.
	Sink io.Writer
}

const defaultSlots = 16

type service struct {
	conf     Config
	switches *standin.Switches
	recorder *standin.Recorder
	slots    chan struct{}
}

// Start serves the calls on addr.
func Start(addr string, conf Config) (*standin.Server, error) {
	if conf.Slots <= 0 {
		conf.Slots = defaultSlots
	}
	s := &service{
		conf:     conf,
		switches: standin.NewSwitches(conf.Faults),
		recorder: standin.NewRecorder(conf.Name, conf.Sink),
		slots:    make(chan struct{}, conf.Slots),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/calls/{call}", s.call)
	srv := &standin.Server{Switches: s.switches, Recorder: s.recorder}
	return srv, standin.Serve(addr, srv, mux)
}

// call executes a call to its end even when the connection is gone.
func (s *service) call(w http.ResponseWriter, r *http.Request) {
	input, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.switches.Gate(r.Context()) {
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
	drop := s.switches.TakeDrop()
	s.slots <- struct{}{}
	seq := s.recorder.Begin(r.Header.Get("Request-Id"), call, in.Nonce, len(input))
	time.Sleep(time.Duration(float64(s.conf.Time)*f.Factor()) + time.Duration(in.WorkMS)*time.Millisecond)
	output := standin.CallOutput(call, input)
	s.recorder.End(seq, standin.Completed, len(output), 0)
	<-s.slots
	if drop {
		standin.Abort()
	}
	_, _ = w.Write(output)
}
