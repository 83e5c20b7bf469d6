package entry

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/answer"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

const (
	// kindRefused is the kind of a relayed event that carries a refusal; it is not
	// part of the answer.
	kindRefused = "refused"
	// relayTries is how often in a row the owner may fail to answer before the
	// request is taken over.
	relayTries = 2
)

// relayServer serves the answers of this entry's requests to other entries.
type relayServer struct{ p *Process }

// Relay gives the events of a request that this entry owns.
func (s relayServer) Relay(req *wire.RelayRequest, out wire.DRPCEntry_RelayStream) error {
	r := s.p.table.get(req.RequestId)
	if r == nil {
		return refuseRelay(out, unknownRequest())
	}
	if req.Cancel {
		if bad := r.cancelBy(req.Customer); bad != nil {
			return refuseRelay(out, bad)
		}
		return out.Send(&wire.RelayEvent{Last: true})
	}
	rec, bad := own(r, req.Customer, req.FromSeq)
	if bad != nil {
		return refuseRelay(out, bad)
	}
	return relayEvents(out, rec, req.FromSeq)
}

func refuseRelay(out wire.DRPCEntry_RelayStream, e *result.Error) error {
	data, err := json.Marshal(answer.NewErrorData("", e))
	if err != nil {
		return err
	}
	return out.Send(&wire.RelayEvent{Kind: kindRefused, Data: data, Last: true})
}

func relayEvents(out wire.DRPCEntry_RelayStream, rec *answer.Record, from uint64) error {
	closeReader := rec.OpenReader()
	delivered := false
	defer func() { closeReader(delivered) }()
	heartbeat := time.NewTicker(rpc.HeartbeatInterval)
	defer heartbeat.Stop()
	seq := max(from, 1) - 1
	for {
		events, changed, complete := rec.EventsAfter(seq)
		for i, ev := range events {
			seq++
			last := complete && i == len(events)-1
			if err := out.Send(&wire.RelayEvent{Seq: seq, Kind: string(ev.Kind), Data: ev.Data, Last: last}); err != nil {
				return err
			}
		}
		if complete {
			delivered = true
			return nil
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if err := out.Send(&wire.RelayEvent{Heartbeat: true}); err != nil {
				return err
			}
		case <-out.Context().Done():
			return nil
		}
	}
}

// relay returns a copy of another entry's answer, which grows until ctx ends.
func (p *Process) relay(ctx context.Context, addr, id, customer string, from uint64) (*answer.Record, *result.Error) {
	c := &relayed{p: p, addr: addr, id: id, customer: customer, from: from}
	c.record = answer.NewEmpty(answer.Options{RequestID: id})
	first := make(chan *result.Error, 1)
	go c.run(ctx, first)
	select {
	case bad := <-first:
		if bad != nil {
			return nil, bad
		}
		return c.record, nil
	case <-ctx.Done():
		return nil, unknownRequest()
	}
}

// relayed is the copy of an answer that another entry owns.
type relayed struct {
	p                  *Process
	addr, id, customer string
	from               uint64
	record             *answer.Record
}

// run copies the answer, on a new connection after a cut, and takes the request
// over when the owner is gone. It tells first whether there is an answer.
func (c *relayed) run(ctx context.Context, first chan<- *result.Error) {
	told := false
	tell := func(e *result.Error) {
		if !told {
			told = true
			first <- e
		}
	}
	for tries := 0; tries < relayTries && ctx.Err() == nil; tries++ {
		before := c.record.Len()
		bad, err := c.copyFrom(ctx, func() { tell(nil) })
		if bad != nil {
			tell(bad)
			return
		}
		if err == nil {
			return
		}
		if c.record.Len() > before {
			tries = -1
		}
		c.p.limited.Info("The owner of a request does not answer.", "request", c.id, "error", err.Error())
	}
	if ctx.Err() != nil {
		return
	}
	rec, bad := c.p.takeOver(ctx, c.id, c.customer, max(c.from, c.record.Len()+1))
	if bad != nil {
		if told {
			c.record.Append(answer.KindError, answer.NewErrorData(c.id, bad))
		}
		tell(bad)
		return
	}
	tell(nil)
	c.copyRecord(ctx, rec)
}

// copyFrom relays once from the first event missing. It returns a refusal of the
// owner, or an error if the connection was lost.
func (c *relayed) copyFrom(ctx context.Context, begun func()) (*result.Error, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var silent atomic.Bool
	watchdog := time.AfterFunc(rpc.SilenceTimeout, func() {
		silent.Store(true)
		cancel()
	})
	defer watchdog.Stop()
	bad, err := c.receive(ctx, watchdog, begun)
	if silent.Load() {
		c.p.pool.CloseIdle(c.addr)
		err = errors.Wrap(err, "silent")
	}
	return bad, err
}

func (c *relayed) receive(ctx context.Context, watchdog *time.Timer, begun func()) (*result.Error, error) {
	client := wire.NewDRPCEntryClient(c.p.pool.Conn(ctx, c.addr))
	stream, err := client.Relay(ctx, &wire.RelayRequest{RequestId: c.id, Customer: c.customer, FromSeq: c.record.Len() + 1})
	if err != nil {
		return nil, err
	}
	for {
		ev, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		watchdog.Reset(rpc.SilenceTimeout)
		if ev.Last {
			defer func() {
				_, _ = stream.Recv()
				<-stream.Context().Done()
			}()
		}
		if ev.Kind == kindRefused {
			return refusalOf(ev.Data), nil
		}
		if ev.Seq == c.record.Len()+1 {
			c.record.AppendEncoded(answer.Kind(ev.Kind), ev.Data)
		}
		begun()
		if ev.Last {
			return nil, nil
		}
	}
}

func refusalOf(data []byte) *result.Error {
	var body answer.ErrorData
	if err := json.Unmarshal(data, &body); err != nil {
		return unknownOutcome(result.Internal, "the refusal of another entry cannot be read")
	}
	return body.ResultError()
}

// copyRecord goes on with the events of a request that was taken over.
func (c *relayed) copyRecord(ctx context.Context, rec *answer.Record) {
	closeReader := rec.OpenReader()
	delivered := false
	defer func() { closeReader(delivered) }()
	for {
		events, changed, complete := rec.EventsAfter(c.record.Len())
		for _, ev := range events {
			c.record.AppendEncoded(ev.Kind, ev.Data)
		}
		if complete {
			delivered = true
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// relayCancel asks the owner to cancel; err tells that it did not answer.
func (p *Process) relayCancel(ctx context.Context, addr, id, customer string) (refusal *result.Error, err error) {
	ctx, cancel := context.WithTimeout(ctx, rpc.SilenceTimeout)
	defer cancel()
	client := wire.NewDRPCEntryClient(p.pool.Conn(ctx, addr))
	stream, err := client.Relay(ctx, &wire.RelayRequest{RequestId: id, Customer: customer, Cancel: true})
	if err != nil {
		return nil, err
	}
	ev, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	if ev.Kind == kindRefused {
		return refusalOf(ev.Data), nil
	}
	return nil, nil
}
