package agent

import (
	"bytes"
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/ledger"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// Limits for fetching a result from another agent.
const (
	// maxFetchFailures is the number of consecutive connections without any data
	// after which a fetch fails.
	maxFetchFailures = 3
	// fetchRetryInterval is the delay before the next connection is tried.
	fetchRetryInterval = 20 * time.Millisecond
)

var (
	// errResultGone means that the agent no longer keeps the result.
	errResultGone = errors.New("agent: the result is no longer kept")
	// errFetchTimeout means that no data arrived on a connection in time.
	errFetchTimeout = errors.New("agent: no data received in time")
)

// Fetch streams a kept result to another agent.
func (s *rpcServer) Fetch(req *wire.FetchRequest, stream wire.DRPCAgent_FetchStream) error {
	chunks, err := s.process.keptResult(req.GetRef())
	if err != nil {
		// A chunk without data reports that the result is gone. The receiver could not
		// tell an error from a broken connection.
		return stream.Send(&wire.FetchChunk{Last: true})
	}
	offset := uint64(0)
	for i, c := range chunks {
		end := offset + uint64(len(c.Data))
		last := i == len(chunks)-1
		if end > req.FromByte {
			from := max(offset, req.FromByte)
			chunk := &wire.FetchChunk{Offset: from, Data: c.Data[from-offset:], Last: last}
			if err := stream.Send(chunk); err != nil {
				return err
			}
		}
		offset = end
	}
	return nil
}

// keptResult returns the chunks of a successful result that this process keeps.
func (p *Process) keptResult(ref *wire.PayloadRef) ([]ledger.Chunk, error) {
	if ref.GetIncarnation() != p.incarnation {
		return nil, errResultGone
	}
	p.worker.mu.Lock()
	defer p.worker.mu.Unlock()
	a := p.worker.ledger.Get(attemptID(ref.Attempt))
	if a == nil || a.State != ledger.Finished || !a.Outcome.OK() {
		return nil, errResultGone
	}
	return a.Chunks, nil
}

// fetchInput gets the input of a task from the agent that keeps it. It does
// nothing if the request contains the input.
func (w *worker) fetchInput(t *task) ledger.Outcome {
	ref := t.req.Ref
	if ref == nil {
		return ledger.Outcome{}
	}
	ctx, cancel := context.WithDeadline(w.ctx, t.deadline)
	defer cancel()
	data, err := w.process.fetchResult(ctx, ref)
	if err == nil && (uint64(len(data)) != ref.SizeBytes || xxhash.Sum64(data) != ref.Checksum) {
		err = errors.New("agent: the fetched result does not match the size or checksum of its reference")
	}
	if err != nil {
		w.limitedLog.Info("Fetching an input failed.", "request", t.id.Request, "holder", ref.Instance, "error", err.Error())
		return ledger.Outcome{Code: result.PayloadLost, Message: err.Error(), Ran: result.RanNo}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t.req.Payload = data
	if ref.Instance != w.process.settings.Instance.ID {
		t.fetchedBytes, t.fetchedRegion = ref.SizeBytes, ref.Region
	}
	return ledger.Outcome{}
}

// fetchResult returns a result that is kept by this process or another agent.
func (p *Process) fetchResult(ctx context.Context, ref *wire.PayloadRef) ([]byte, error) {
	if ref.Incarnation == p.incarnation {
		chunks, err := p.keptResult(ref)
		if err != nil {
			return nil, err
		}
		var buf bytes.Buffer
		for _, c := range chunks {
			_, _ = buf.Write(c.Data)
		}
		return buf.Bytes(), nil
	}
	data := make([]byte, 0, ref.SizeBytes)
	for failures := 0; ; {
		received := len(data)
		done, err := p.fetchOverConnection(ctx, ref, &data)
		if done || errors.Is(err, errResultGone) || ctx.Err() != nil {
			return data, err
		}
		if failures++; len(data) > received {
			failures = 0
		}
		if failures == maxFetchFailures {
			return nil, err
		}
		p.connPool.CloseIdle(ref.Address)
		clock.Sleep(ctx, fetchRetryInterval)
	}
}

// fetchOverConnection appends to data the rest of a result that is kept by
// another agent. It fails when no data arrives on the connection for a while;
// the data received so far stays valid.
func (p *Process) fetchOverConnection(ctx context.Context, ref *wire.PayloadRef, data *[]byte) (done bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(rpc.DialTimeout, func() { cancel(errFetchTimeout) })
	defer watchdog.Stop()
	stream, err := wire.NewDRPCAgentClient(p.connPool.Conn(ctx, ref.Address)).Fetch(ctx, &wire.FetchRequest{Ref: ref, FromByte: uint64(len(*data))})
	if err != nil {
		return false, err
	}
	defer func() { _ = stream.Close() }()
	for {
		watchdog.Reset(rpc.SilenceTimeout)
		chunk, err := stream.Recv()
		if err != nil {
			return false, errors.CombineErrors(context.Cause(ctx), err)
		}
		if len(chunk.Data) == 0 {
			return false, errResultGone
		}
		if chunk.Offset != uint64(len(*data)) || uint64(len(*data)+len(chunk.Data)) > ref.SizeBytes {
			return false, errors.Newf("agent: received a chunk at byte %d, have %d of %d bytes", chunk.Offset, len(*data), ref.SizeBytes)
		}
		*data = append(*data, chunk.Data...)
		if chunk.Last {
			return true, nil
		}
	}
}
