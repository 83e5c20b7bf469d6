// Package spec starts the stand-ins that a JSON specification describes.
package spec

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/magnoliawheel/magnoliawheel/test/standin"
	"github.com/magnoliawheel/magnoliawheel/test/standin/engine"
	"github.com/magnoliawheel/magnoliawheel/test/standin/instancelist"
	"github.com/magnoliawheel/magnoliawheel/test/standin/platformlog"
	"github.com/magnoliawheel/magnoliawheel/test/standin/service"
)

// Kinds of the stand-ins for the platform. All other kinds are the kinds of backend
// servers in the configuration schema.
const (
	KindPlatformLog  = "log"
	KindInstanceList = "list"
)

// Spec describes the stand-ins that one process runs.
type Spec struct {
	// RecordFile receives the execution records of all servers, one JSON object per line.
	RecordFile string    `json:"record_file,omitempty"`
	StandIns   []StandIn `json:"servers"`
}

// StandIn configures one stand-in. Fields that do not apply to its kind are ignored.
type StandIn struct {
	Name string `json:"name"`
	// Kind is log, list, engine, encoder, retriever, reranker or service.
	Kind string `json:"kind"`
	// Addr is the listen address. If it is empty, a free port on 127.0.0.1 is used.
	Addr string `json:"addr,omitempty"`
	// RetentionMS is how long the log retains records, in milliseconds; 0 retains them
	// forever.
	RetentionMS int `json:"retention_ms,omitempty"`
	// ProcessingTimeMS is the processing time of a call, or the prefill time of an engine,
	// in milliseconds.
	ProcessingTimeMS int `json:"time_ms,omitempty"`
	// Slots is the number of calls or streams that run at a time; 0 means 16.
	Slots int `json:"slots,omitempty"`
	// TokensPerSecond limits the token rate of an engine, StreamTokensPerSecond that of
	// each stream.
	TokensPerSecond       float64        `json:"tokens_per_s,omitempty"`
	StreamTokensPerSecond float64        `json:"stream_tokens_per_s,omitempty"`
	MaxCachedPrefixes     int            `json:"cache_prefixes,omitempty"`
	Models                []string       `json:"models,omitempty"`
	Faults                standin.Faults `json:"faults"`
}

// RunningStandIns holds the stand-ins that a Spec started.
type RunningStandIns struct {
	servers    map[string]*standin.Server
	recordFile io.Closer
}

// Load reads a specification from a JSON file.
func Load(path string) (*Spec, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Spec{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Start starts all stand-ins. If one of them fails to start, it stops the others.
func (s *Spec) Start() (*RunningStandIns, error) {
	r := &RunningStandIns{servers: map[string]*standin.Server{}}
	var recordWriter io.Writer
	if s.RecordFile != "" {
		f, err := os.OpenFile(s.RecordFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			return nil, err
		}
		r.recordFile, recordWriter = f, f
	}
	for _, conf := range s.StandIns {
		srv, err := conf.start(recordWriter)
		if err != nil {
			_ = r.Close()
			return nil, fmt.Errorf("start %s: %w", conf.Name, err)
		}
		r.servers[conf.Name] = srv
	}
	return r, nil
}

func (c StandIn) start(recordWriter io.Writer) (*standin.Server, error) {
	addr := c.Addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	processingTime := time.Duration(c.ProcessingTimeMS) * time.Millisecond
	switch c.Kind {
	case KindPlatformLog:
		retention := time.Duration(c.RetentionMS) * time.Millisecond
		return platformlog.Start(addr, platformlog.Config{Retention: retention, Faults: c.Faults})
	case KindInstanceList:
		return instancelist.Start(addr, c.Faults)
	case "engine":
		return engine.Start(addr, engine.Config{
			Name: c.Name, TokensPerSecond: c.TokensPerSecond, StreamTokensPerSecond: c.StreamTokensPerSecond,
			Slots: c.Slots, PrefillTime: processingTime, MaxCachedPrefixes: c.MaxCachedPrefixes, Models: c.Models, Faults: c.Faults, Sink: recordWriter,
		})
	case "encoder", "retriever", "reranker", "service":
		return service.Start(addr, service.Config{Name: c.Name, CallDuration: processingTime, Slots: c.Slots, Faults: c.Faults, Sink: recordWriter})
	}
	return nil, fmt.Errorf("unknown kind of stand-in %q", c.Kind)
}

// Addrs returns the listen addresses by name of the stand-in.
func (r *RunningStandIns) Addrs() map[string]string {
	addrs := make(map[string]string, len(r.servers))
	for name, srv := range r.servers {
		addrs[name] = srv.Addr()
	}
	return addrs
}

// Close stops all stand-ins and closes the record file.
func (r *RunningStandIns) Close() error {
	for _, srv := range r.servers {
		_ = srv.Close()
	}
	if r.recordFile == nil {
		return nil
	}
	return r.recordFile.Close()
}
