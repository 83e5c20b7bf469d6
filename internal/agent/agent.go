// Package agent is the agent process.
package agent

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/internal/settings"
)

// Options sets up a Process.
type Options struct {
	Settings *settings.Agent
	Log      logr.Logger
	Scope    tally.Scope
	// Metrics is served under /metrics on the admin listener.
	Metrics http.Handler
}

// Process is one agent.
type Process struct{ opts Options }

// New returns a process that has not started.
func New(o Options) (*Process, error) { return &Process{opts: o}, nil }

// Run serves until ctx ends, then drains and returns nil.
func (p *Process) Run(ctx context.Context) error { return errors.New("not implemented") }

// WriteCut writes what would be cut if the process exited now.
func (p *Process) WriteCut(w io.Writer) {}
