package members

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
)

// fakeList returns its fields and reports each call on a channel.
type fakeList struct {
	list  []membership.Instance
	asOf  time.Time
	err   error
	calls chan struct{}
}

func (l *fakeList) List(context.Context) ([]membership.Instance, time.Time, error) {
	l.calls <- struct{}{}
	return l.list, l.asOf, l.err
}

func TestInstancesAreKeptWhileListIsUnavailable(t *testing.T) {
	list := &fakeList{asOf: time.Unix(1, 0), calls: make(chan struct{}, 100), list: []membership.Instance{
		{ID: "a1", Role: membership.RoleAgent, Pool: "engines", Addr: "10.0.0.1:1"},
		{ID: "a2", Role: membership.RoleAgent, Pool: "engines", Addr: "10.0.0.2:1", Leaving: true},
		{ID: "e1", Role: membership.RoleEntry, Addr: "10.0.0.3:1"},
	}}
	m := New(Options{List: list, Logger: logr.Discard(), SelfID: "e1"})
	assert.NilError(t, m.poll(context.Background()))
	version := m.Version()
	list.err, list.list = platform.ErrUnavailable, nil
	assert.ErrorIs(t, m.poll(context.Background()), platform.ErrUnavailable)
	assert.Equal(t, m.Version(), version)
	assert.Equal(t, len(m.Servers("engines")), 2)
	assert.Assert(t, m.Servers("engines")[1].Leaving)
	assert.DeepEqual(t, m.Peers(), []string{"10.0.0.1:1"})

	m.MarkLeaving("a1", 3)
	assert.Assert(t, m.Version() != version)
	assert.Assert(t, m.Servers("engines")[0].Leaving)
	m.RecordIncarnation("a1", 4)
	assert.Assert(t, !m.Servers("engines")[0].Leaving)
}

func TestRunReturnsWhenContextEnds(t *testing.T) {
	list := &fakeList{calls: make(chan struct{}, 100)}
	m := New(Options{List: list, Logger: logr.Discard(), PollInterval: time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- m.Run(ctx) }()
	<-list.calls
	<-list.calls
	cancel()
	assert.NilError(t, <-runErr)
}
