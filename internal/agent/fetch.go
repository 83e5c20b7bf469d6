package agent

import (
	"bytes"
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/ledger"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// Bounds of pulling a result from another agent.
const (
	// fetchTries is how many connections in a row may bring nothing.
	fetchTries = 3
	// fetchPause is the time between two connections.
	fetchPause = 20 * time.Millisecond
)

var (
	// errGone means that the holder of a result does not have it any more.
	errGone = errors.New("agent: the kept result is gone")
	// errFetchSilent means that a connection carried nothing for a while.
	errFetchSilent = errors.New("agent: connection is silent")
)

// Fetch streams a kept result to another agent.
func (s *rpcServer) Fetch(req *wire.FetchRequest, stream wire.DRPCAgent_FetchStream) error {
	chunks, err := s.p.kept(req.GetRef())
	if err != nil {
		// A piece without data says so in band; an error would look like a cut.
		return stream.Send(&wire.FetchChunk{Last: true})
	}
	offset := uint64(0)
	for i, c := range chunks {
		end := offset + uint64(len(c.Data))
		last := i == len(chunks)-1
		if end > req.FromByte {
			from := max(offset, req.FromByte)
			piece := &wire.FetchChunk{Offset: from, Data: c.Data[from-offset:], Last: last}
			if err := stream.Send(piece); err != nil {
				return err
			}
		}
		offset = end
	}
	return nil
}

// kept returns the chunks of a whole result that this process keeps.
func (p *Process) kept(ref *wire.PayloadRef) ([]ledger.Chunk, error) {
	if ref.GetIncarnation() != p.incarnation {
		return nil, errGone
	}
	p.work.mu.Lock()
	defer p.work.mu.Unlock()
	a := p.work.ledger.Get(idOf(ref.Attempt))
	if a == nil || a.State != ledger.Finished || !a.Outcome.OK() {
		return nil, errGone
	}
	return a.Chunks, nil
}

// pull gets the input of a task from the agent that keeps it.
func (w *work) pull(t *task) ledger.Outcome {
	ref := t.req.Ref
	if ref == nil {
		return ledger.Outcome{}
	}
	ctx, cancel := context.WithDeadline(w.ctx, t.deadline)
	defer cancel()
	data, err := w.p.fetch(ctx, ref)
	if err == nil && (uint64(len(data)) != ref.SizeBytes || xxhash.Sum64(data) != ref.Checksum) {
		err = errors.New("agent: the result fetched does not match its reference")
	}
	if err != nil {
		w.limited.Info("Pulling an input failed.", "request", t.id.Request, "holder", ref.Instance, "error", err.Error())
		return ledger.Outcome{Code: result.PayloadLost, Message: err.Error(), Ran: result.RanNo}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t.req.Payload = data
	if ref.Instance != w.p.settings.Instance.ID {
		t.fetchedBytes, t.fetchedRegion = ref.SizeBytes, ref.Region
	}
	return ledger.Outcome{}
}

// fetch returns a kept result, from this process or another.
func (p *Process) fetch(ctx context.Context, ref *wire.PayloadRef) ([]byte, error) {
	if ref.Incarnation == p.incarnation {
		chunks, err := p.kept(ref)
		if err != nil {
			return nil, err
		}
		var whole bytes.Buffer
		for _, c := range chunks {
			_, _ = whole.Write(c.Data)
		}
		return whole.Bytes(), nil
	}
	data := make([]byte, 0, ref.SizeBytes)
	for tries := 0; ; {
		before := len(data)
		done, err := p.fetchOnce(ctx, ref, &data)
		if done || errors.Is(err, errGone) || ctx.Err() != nil {
			return data, err
		}
		if tries++; len(data) > before {
			tries = 0
		}
		if tries == fetchTries {
			return nil, err
		}
		p.pool.CloseIdle(ref.Address)
		wait(ctx, fetchPause)
	}
}

// fetchOnce reads from one connection and appends to data. A connection that is
// silent is given up.
func (p *Process) fetchOnce(ctx context.Context, ref *wire.PayloadRef, data *[]byte) (done bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(rpc.DialTimeout, func() { cancel(errFetchSilent) })
	defer watchdog.Stop()
	stream, err := wire.NewDRPCAgentClient(p.pool.Conn(ctx, ref.Address)).Fetch(ctx, &wire.FetchRequest{Ref: ref, FromByte: uint64(len(*data))})
	if err != nil {
		return false, err
	}
	defer func() { _ = stream.Close() }()
	for {
		watchdog.Reset(rpc.SilenceTimeout)
		piece, err := stream.Recv()
		if err != nil {
			return false, errors.CombineErrors(context.Cause(ctx), err)
		}
		if len(piece.Data) == 0 {
			return false, errGone
		}
		if piece.Offset != uint64(len(*data)) || uint64(len(*data)+len(piece.Data)) > ref.SizeBytes {
			return false, errors.Newf("agent: piece at byte %d after %d of %d", piece.Offset, len(*data), ref.SizeBytes)
		}
		*data = append(*data, piece.Data...)
		if piece.Last {
			return true, nil
		}
	}
}
