// Package spec starts the stand-ins that a JSON specification names.
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

// Kinds of stand-ins besides the kinds of backend servers of the schema.
const (
	KindLog  = "log"
	KindList = "list"
)

// Spec lists the stand-ins of one process.
type Spec struct {
	// RecordFile gets the executions of all servers, one JSON object a line.
	RecordFile string    `json:"record_file,omitempty"`
	Servers    []Service `json:"servers"`
}

// Service describes one stand-in.
type Service struct {
	Name string `json:"name"`
	// Kind is log, list, engine, encoder, retriever, reranker or service.
	Kind string `json:"kind"`
	// Addr is the address to listen on; empty takes a free port of 127.0.0.1.
	Addr string `json:"addr,omitempty"`
	// RetentionMS is how long the log keeps records; 0 keeps them for good.
	RetentionMS int `json:"retention_ms,omitempty"`
	// TimeMS is the time of one plain call, or the prefill of an engine.
	TimeMS int `json:"time_ms,omitempty"`
	Slots  int `json:"slots,omitempty"`
	// TokensPerSecond and StreamTokensPerSecond bound an engine and one stream.
	TokensPerSecond       float64        `json:"tokens_per_s,omitempty"`
	StreamTokensPerSecond float64        `json:"stream_tokens_per_s,omitempty"`
	CachePrefixes         int            `json:"cache_prefixes,omitempty"`
	Models                []string       `json:"models,omitempty"`
	Faults                standin.Faults `json:"faults"`
}

// Running is a set of stand-ins that listen.
type Running struct {
	servers map[string]*standin.Server
	sink    io.Closer
}

// Load reads a specification file.
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

// Start starts all stand-ins, or none.
func (s *Spec) Start() (*Running, error) {
	r := &Running{servers: map[string]*standin.Server{}}
	var sink io.Writer
	if s.RecordFile != "" {
		f, err := os.OpenFile(s.RecordFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			return nil, err
		}
		r.sink, sink = f, f
	}
	for _, conf := range s.Servers {
		srv, err := conf.start(sink)
		if err != nil {
			_ = r.Close()
			return nil, fmt.Errorf("start %s: %w", conf.Name, err)
		}
		r.servers[conf.Name] = srv
	}
	return r, nil
}

func (c Service) start(sink io.Writer) (*standin.Server, error) {
	addr := c.Addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	d := time.Duration(c.TimeMS) * time.Millisecond
	switch c.Kind {
	case KindLog:
		retention := time.Duration(c.RetentionMS) * time.Millisecond
		return platformlog.Start(addr, platformlog.Config{Retention: retention, Faults: c.Faults})
	case KindList:
		return instancelist.Start(addr, c.Faults)
	case "engine":
		return engine.Start(addr, engine.Config{
			Name: c.Name, TokensPerSecond: c.TokensPerSecond, StreamTokensPerSecond: c.StreamTokensPerSecond,
			Slots: c.Slots, Prefill: d, CachePrefixes: c.CachePrefixes, Models: c.Models, Faults: c.Faults, Sink: sink,
		})
	case "encoder", "retriever", "reranker", "service":
		return service.Start(addr, service.Config{Name: c.Name, Time: d, Slots: c.Slots, Faults: c.Faults, Sink: sink})
	}
	return nil, fmt.Errorf("unknown kind %q", c.Kind)
}

// Addrs returns the addresses by name.
func (r *Running) Addrs() map[string]string {
	addrs := make(map[string]string, len(r.servers))
	for name, srv := range r.servers {
		addrs[name] = srv.Addr()
	}
	return addrs
}

// Close stops all stand-ins.
func (r *Running) Close() error {
	for _, srv := range r.servers {
		_ = srv.Close()
	}
	if r.sink == nil {
		return nil
	}
	return r.sink.Close()
}
