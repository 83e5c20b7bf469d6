package agent

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/test/standin"
	"github.com/magnoliawheel/magnoliawheel/test/standin/engine"
	"github.com/magnoliawheel/magnoliawheel/test/standin/service"
)

func startService(t testing.TB, c service.Config) *standin.Server {
	srv, err := service.Start("127.0.0.1:0", c)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = srv.Close() })
	return srv
}

func startEngine(t testing.TB, c engine.Config) *standin.Server {
	srv, err := engine.Start("127.0.0.1:0", c)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = srv.Close() })
	return srv
}

func TestRunAtServiceAndEngine(t *testing.T) {
	plain := startService(t, service.Config{CallDuration: time.Millisecond})
	f := startAgent(t, testSettings(t, "agent-1", "http://"+plain.Addr()))
	a := f.run(t, f.runRequest("e~1"))
	assert.DeepEqual(t, a.events, []string{"accepted attached=false", "done 1"})
	assert.Equal(t, a.done.Checksum, xxhash.Sum64String(a.text))

	model := startEngine(t, engine.Config{PrefillTime: time.Millisecond})
	g := startAgent(t, testSettings(t, "agent-2", "http://"+model.Addr()))
	a = g.run(t, g.generateRequest("e~2", 20))
	assert.DeepEqual(t, a.events, []string{"accepted attached=false", "done 20"})
	assert.Equal(t, a.done.Checksum, xxhash.Sum64String(a.text))
	again := g.run(t, g.generateRequest("e~2", 20))
	assert.DeepEqual(t, again.events, []string{"accepted attached=true", "done 20"})
	assert.Equal(t, again.text, a.text)
	assert.Equal(t, len(model.Recorder.Executions()), 1)
}
