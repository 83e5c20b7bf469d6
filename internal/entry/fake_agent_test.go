package entry

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// fakeAgent is an agent whose behavior the tests control. It records the calls it
// receives.
type fakeAgent struct {
	wire.DRPCAgentUnimplementedServer
	id string

	mu          sync.Mutex
	incarnation uint64
	// runFunc replaces the default behavior of Run.
	runFunc func(req *wire.RunRequest, out wire.DRPCAgent_RunStream) error
	// attachFunc and cancelFunc replace the default behavior of Attach and Cancel.
	attachFunc     func(req *wire.AttachRequest, out wire.DRPCAgent_AttachStream) error
	cancelFunc     func(req *wire.CancelRequest) (*wire.CancelReply, error)
	foundAttempts  []*wire.FoundAttempt
	runRequests    []*wire.RunRequest
	attachRequests []*wire.AttachRequest
	cancelRequests []*wire.AttemptID
	ackedAttempts  []*wire.AttemptID

	stop context.CancelFunc
	done chan struct{}
	addr string
}

func testTLS(t testing.TB) *tls.Config {
	conf, err := rpc.TLSConfig([]byte(testSecret))
	assert.NilError(t, err)
	return conf
}

func startAgent(t testing.TB, id string) *fakeAgent {
	t.Helper()
	a := &fakeAgent{id: id, incarnation: 7}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a.serve(t, lis)
	t.Cleanup(a.kill)
	return a
}

func (a *fakeAgent) serve(t testing.TB, lis net.Listener) {
	mux := drpcmux.New()
	assert.NilError(t, wire.DRPCRegisterAgent(mux, a))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	a.stop, a.done, a.addr = cancel, done, lis.Addr().String()
	tlsConfig := testTLS(t)
	go func() {
		defer close(done)
		_ = rpc.Serve(ctx, lis, tlsConfig, mux)
	}()
}

// kill closes the listener and all connections.
func (a *fakeAgent) kill() {
	a.stop()
	<-a.done
}

func (a *fakeAgent) server() routing.Server {
	return routing.Server{ID: a.id, Addr: a.addr, Zone: "z1", Region: "r1"}
}

func (a *fakeAgent) load() *wire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &wire.Load{Instance: a.id, Incarnation: a.incarnation, Limit: 8}
}

func (a *fakeAgent) Probe(context.Context, *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return &wire.ProbeReply{Load: a.load()}, nil
}

func (a *fakeAgent) Run(req *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
	a.mu.Lock()
	a.runRequests = append(a.runRequests, req)
	run := a.runFunc
	a.mu.Unlock()
	if run != nil {
		return run(req, out)
	}
	return a.complete(req, out)
}

type runSender interface{ Send(*wire.RunEvent) error }

func (a *fakeAgent) accept(out runSender) error {
	return out.Send(&wire.RunEvent{Event: &wire.RunEvent_Accepted{Accepted: &wire.Accepted{Load: a.load()}}})
}

// complete accepts the attempt and sends the stage's default chunks.
func (a *fakeAgent) complete(req *wire.RunRequest, out runSender) error {
	if err := a.accept(out); err != nil {
		return err
	}
	return a.sendChunksFrom(out, 1, chunksOf(req.Stage))
}

// chunksOf returns the default chunks of a stage.
func chunksOf(stage string) []string { return []string{stage + "-1 ", stage + "-2 ", stage + "-3"} }

// sendChunksFrom sends the chunks with a sequence number of at least from, then
// Done.
func (a *fakeAgent) sendChunksFrom(out runSender, from int, chunks []string) error {
	for i, c := range chunks {
		if i+1 < from {
			continue
		}
		if err := sendChunk(out, uint64(i+1), c); err != nil {
			return err
		}
	}
	return out.Send(&wire.RunEvent{Event: &wire.RunEvent_Done{Done: &wire.Done{
		Count: uint64(len(chunks)), Checksum: xxhash.Sum64String(strings.Join(chunks, "")), Load: a.load(),
	}}})
}

func sendChunk(out runSender, seq uint64, text string) error {
	return out.Send(&wire.RunEvent{Event: &wire.RunEvent_Chunk{Chunk: &wire.Chunk{Seq: seq, Data: []byte(text), Tokens: 1}}})
}

func sendRefused(out runSender, code result.Code, ran wire.Ran) error {
	return out.Send(&wire.RunEvent{Event: &wire.RunEvent_Refused{Refused: &wire.Refused{Code: uint32(code), Ran: ran}}})
}

func (a *fakeAgent) Attach(req *wire.AttachRequest, out wire.DRPCAgent_AttachStream) error {
	a.mu.Lock()
	a.attachRequests = append(a.attachRequests, req)
	attach := a.attachFunc
	a.mu.Unlock()
	if attach != nil {
		return attach(req, out)
	}
	return sendRefused(out, result.WrongIncarnation, wire.Ran_RAN_UNKNOWN)
}

func (a *fakeAgent) Cancel(_ context.Context, req *wire.CancelRequest) (*wire.CancelReply, error) {
	a.mu.Lock()
	a.cancelRequests = append(a.cancelRequests, req.Attempt)
	cancel := a.cancelFunc
	a.mu.Unlock()
	if cancel != nil {
		return cancel(req)
	}
	return &wire.CancelReply{State: wire.AttemptState_ATTEMPT_STATE_RUNNING}, nil
}

func (a *fakeAgent) Ack(_ context.Context, req *wire.AckRequest) (*wire.AckReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ackedAttempts = append(a.ackedAttempts, req.Attempts...)
	return &wire.AckReply{}, nil
}

func (a *fakeAgent) Find(_ context.Context, req *wire.FindRequest) (*wire.FindReply, error) {
	a.mu.Lock()
	var found []*wire.FoundAttempt
	for _, f := range a.foundAttempts {
		if f.Attempt.RequestId == req.RequestId {
			found = append(found, f)
		}
	}
	a.mu.Unlock()
	return &wire.FindReply{Attempts: found, Load: a.load()}, nil
}

func (a *fakeAgent) runs() []*wire.RunRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*wire.RunRequest(nil), a.runRequests...)
}

func (a *fakeAgent) attaches() []*wire.AttachRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*wire.AttachRequest(nil), a.attachRequests...)
}

func (a *fakeAgent) cancelCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.cancelRequests)
}

func (a *fakeAgent) ackCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.ackedAttempts)
}

// heartbeatUntil sends heartbeats until released is closed.
func (a *fakeAgent) heartbeatUntil(out wire.DRPCAgent_RunStream, released <-chan struct{}) error {
	tick := time.NewTicker(rpc.HeartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-released:
			return nil
		case <-out.Context().Done():
			return out.Context().Err()
		case <-tick.C:
		}
		if err := out.Send(&wire.RunEvent{Event: &wire.RunEvent_Heartbeat{Heartbeat: &wire.Heartbeat{Load: a.load()}}}); err != nil {
			return err
		}
	}
}
