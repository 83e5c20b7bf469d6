package agent

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/confsync"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/internal/settings"
)

const testSecret = "0123456789abcdef"

// fixture is an agent that runs in the test process, with a client for its
// RPCs.
type fixture struct {
	*Process
	address string
	client  wire.DRPCAgentClient
	pool    *rpc.Pool
	stop    context.CancelFunc
	// serveResult receives the error that serve returned.
	serveResult chan error
}

// testSettings returns the settings of an agent of pool engines.
func testSettings(t testing.TB, id, serverURL string) *settings.Agent {
	secret := filepath.Join(t.TempDir(), "secret")
	assert.NilError(t, os.WriteFile(secret, []byte(testSecret), 0o600))
	s := &settings.Agent{}
	s.Instance = settings.Instance{ID: id, Zone: "amman-1", Region: "amman"}
	s.Server = settings.Server{Pool: "engines", URL: serverURL}
	s.Security.PeerSecretFile = secret
	s.Limits = settings.AgentLimits{KeptBytes: 32 << 20, DrainGracePeriod: schema.Duration(10 * time.Second), QueuePolicy: "fair"}
	return s
}

// startAgent serves an agent without a platform log until the test ends.
func startAgent(t testing.TB, s *settings.Agent) *fixture {
	return startAgentWith(t, s, unavailableLog{}, emptyConfig{})
}

// startAgentWith serves an agent with a platform log and a configuration until
// the test ends.
func startAgentWith(t testing.TB, s *settings.Agent, platformLog platform.Log, config confsync.Source) *fixture {
	p, err := newProcess(Options{Settings: s, Log: logr.Discard()}, platformLog)
	assert.NilError(t, err)
	p.config = config
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	admin, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	tlsConfig, err := rpc.TLSConfig([]byte(testSecret))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	f := &fixture{Process: p, address: peers.Addr().String(), pool: rpc.NewPool(tlsConfig), stop: cancel, serveResult: make(chan error, 1)}
	f.client = wire.NewDRPCAgentClient(f.pool.Conn(ctx, f.address))
	go func() { f.serveResult <- p.serve(ctx, peers, admin) }()
	t.Cleanup(func() {
		p.settings.Limits.DrainGracePeriod = schema.Duration(time.Millisecond)
		cancel()
		assert.NilError(t, <-f.serveResult)
		_ = f.pool.Close()
	})
	return f
}

// runRequest returns a request for an idempotent call of a plain service.
func (f *fixture) runRequest(request string) *wire.RunRequest {
	return &wire.RunRequest{
		Attempt: &wire.AttemptID{RequestId: request, Attempt: 1}, Incarnation: f.incarnation,
		BudgetUs: uint64((10 * time.Second).Microseconds()), Customer: "burj-consult", Weight: 1,
		Call: "encode", Idempotent: true, Payload: []byte(`{"nonce":"` + request + `"}`),
	}
}

// generateRequest returns a request for a generation by an engine.
func (f *fixture) generateRequest(request string, tokens uint32) *wire.RunRequest {
	req := f.runRequest(request)
	req.Call, req.Model, req.MaxTokens = "generate", "clause-7b", tokens
	return req
}

// runResponse is what a caller of Run or Attach received.
type runResponse struct {
	events   []string
	accepted *wire.Accepted
	refused  *wire.Refused
	failed   *wire.Failed
	done     *wire.Done
	text     string
	nextSeq  uint64
}

type eventReceiver interface {
	Recv() (*wire.RunEvent, error)
}

// receive reads events until the last one, or until the function returns true.
// It checks that no chunk is missing.
func (r *runResponse) receive(t testing.TB, stream eventReceiver, until func(*runResponse) bool) {
	if r.nextSeq == 0 {
		r.nextSeq = 1
	}
	for r.refused == nil && r.failed == nil && r.done == nil && (until == nil || !until(r)) {
		ev, err := stream.Recv()
		assert.NilError(t, err)
		switch e := ev.Event.(type) {
		case *wire.RunEvent_Accepted:
			r.accepted = e.Accepted
			r.events = append(r.events, fmt.Sprintf("accepted attached=%t", e.Accepted.Attached))
		case *wire.RunEvent_Refused:
			r.refused = e.Refused
			r.events = append(r.events, fmt.Sprintf("refused %d %s", e.Refused.Code, e.Refused.Ran))
		case *wire.RunEvent_Failed:
			r.failed = e.Failed
			r.events = append(r.events, fmt.Sprintf("failed %d %s", e.Failed.Code, e.Failed.Ran))
		case *wire.RunEvent_Done:
			r.done = e.Done
			r.events = append(r.events, fmt.Sprintf("done %d", e.Done.Count))
		case *wire.RunEvent_Chunk:
			assert.Equal(t, e.Chunk.Seq, r.nextSeq)
			r.nextSeq++
			r.text += string(e.Chunk.Data)
		}
	}
}

// run executes a request and receives its whole response.
func (f *fixture) run(t testing.TB, req *wire.RunRequest) *runResponse {
	stream, err := f.client.Run(context.Background(), req)
	assert.NilError(t, err)
	defer func() { _ = stream.Close() }()
	r := &runResponse{}
	r.receive(t, stream, nil)
	return r
}

// attach receives the response of an attempt from a sequence number on.
func (f *fixture) attach(t testing.TB, id *wire.AttemptID, from uint64) *runResponse {
	stream, err := f.client.Attach(context.Background(), &wire.AttachRequest{Attempt: id, Incarnation: f.incarnation, FromSeq: from})
	assert.NilError(t, err)
	defer func() { _ = stream.Close() }()
	r := &runResponse{nextSeq: from}
	r.receive(t, stream, nil)
	return r
}

func (f *fixture) ack(t testing.TB, req *wire.RunRequest) {
	_, err := f.client.Ack(context.Background(), &wire.AckRequest{Attempts: []*wire.AttemptID{req.Attempt}, Incarnation: f.incarnation})
	assert.NilError(t, err)
}

func (f *fixture) cancel(t testing.TB, id *wire.AttemptID) wire.AttemptState {
	reply, err := f.client.Cancel(context.Background(), &wire.CancelRequest{Attempt: id, Incarnation: f.incarnation})
	assert.NilError(t, err)
	return reply.State
}

// waitFor waits until a condition holds, and fails the test after 20 s.
func waitFor(t testing.TB, cond func() bool) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
}
