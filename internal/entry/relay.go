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
	// kindRefused is the kind of a relayed event that carries a refusal by the
	// owner; it is not part of the answer.
	kindRefused = "refused"
	// maxRelayFailures is the number of consecutive failed attempts to reach the
	// owner after which the request is taken over.
	maxRelayFailures = 2
)

// relayServer serves the answers of this entry's requests to other entries.
type relayServer struct{ p *Process }

// Relay streams the events of a request that this entry owns, or cancels the
// request.
func (s relayServer) Relay(req *wire.RelayRequest, out wire.DRPCEntry_RelayStream) error {
	r := s.p.table.get(req.RequestId)
	if r == nil {
		return refuseRelay(out, unknownRequest())
	}
	if req.Cancel {
		if resErr := r.cancelFor(req.Customer); resErr != nil {
			return refuseRelay(out, resErr)
		}
		return out.Send(&wire.RelayEvent{Last: true})
	}
	rec, resErr := recordFor(r, req.Customer, req.FromSeq)
	if resErr != nil {
		return refuseRelay(out, resErr)
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

// relayEvents sends the events of an answer from fromSeq on until the answer is
// complete, with heartbeats in between.
func relayEvents(out wire.DRPCEntry_RelayStream, rec *answer.Record, fromSeq uint64) error {
	closeReader := rec.OpenReader()
	delivered := false
	defer func() { closeReader(delivered) }()
	heartbeat := time.NewTicker(rpc.HeartbeatInterval)
	defer heartbeat.Stop()
	seq := max(fromSeq, 1) - 1
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

// relay returns a copy of an answer that another entry owns. The copy grows until
// the answer is complete or ctx ends.
func (p *Process) relay(ctx context.Context, addr, id, customer string, fromSeq uint64) (*answer.Record, *result.Error) {
	c := &relayCopy{p: p, addr: addr, id: id, customer: customer, fromSeq: fromSeq}
	c.record = answer.NewEmpty(answer.Options{RequestID: id})
	first := make(chan *result.Error, 1)
	go c.run(ctx, first)
	select {
	case resErr := <-first:
		if resErr != nil {
			return nil, resErr
		}
		return c.record, nil
	case <-ctx.Done():
		return nil, unknownRequest()
	}
}

// relayCopy copies the answer of a request that another entry owns.
type relayCopy struct {
	p                  *Process
	addr, id, customer string
	fromSeq            uint64
	record             *answer.Record
}

// run copies the answer, reconnecting after a lost connection, and takes the request
// over if the owner is unreachable. It sends exactly one value on outcome unless ctx ends
// first: nil as soon as the answer is found, or the reason why there is none.
func (c *relayCopy) run(ctx context.Context, outcome chan<- *result.Error) {
	reported := false
	report := func(e *result.Error) {
		if !reported {
			reported = true
			outcome <- e
		}
	}
	for failures := 0; failures < maxRelayFailures && ctx.Err() == nil; failures++ {
		lengthBefore := c.record.Len()
		resErr, err := c.copyOnce(ctx, func() { report(nil) })
		if resErr != nil {
			report(resErr)
			return
		}
		if err == nil {
			return
		}
		if c.record.Len() > lengthBefore {
			failures = -1
		}
		c.p.rateLimitedLog.Info("The owner of a request did not answer.", "request", c.id, "error", err.Error())
	}
	if ctx.Err() != nil {
		return
	}
	rec, resErr := c.p.takeOver(ctx, c.id, c.customer, max(c.fromSeq, c.record.Len()+1))
	if resErr != nil {
		if reported {
			c.record.Append(answer.KindError, answer.NewErrorData(c.id, resErr))
		}
		report(resErr)
		return
	}
	report(nil)
	c.copyRecord(ctx, rec)
}

// copyOnce relays the missing events over one connection and calls onEvent after
// each one. It returns the owner's refusal, or an error if the connection was lost.
func (c *relayCopy) copyOnce(ctx context.Context, onEvent func()) (*result.Error, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var silent atomic.Bool
	watchdog := time.AfterFunc(rpc.SilenceTimeout, func() {
		silent.Store(true)
		cancel()
	})
	defer watchdog.Stop()
	resErr, err := c.receive(ctx, watchdog, onEvent)
	if silent.Load() {
		c.p.pool.CloseIdle(c.addr)
		err = errors.Wrap(err, "the owner sent nothing in time")
	}
	return resErr, err
}

func (c *relayCopy) receive(ctx context.Context, watchdog *time.Timer, onEvent func()) (*result.Error, error) {
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
			// Reading the end of the stream returns the connection to the pool.
			defer func() {
				_, _ = stream.Recv()
				<-stream.Context().Done()
			}()
		}
		if ev.Kind == kindRefused {
			return decodeRefusal(ev.Data), nil
		}
		if ev.Seq == c.record.Len()+1 {
			c.record.AppendEncoded(answer.Kind(ev.Kind), ev.Data)
		}
		onEvent()
		if ev.Last {
			return nil, nil
		}
	}
}

func decodeRefusal(data []byte) *result.Error {
	var body answer.ErrorData
	if err := json.Unmarshal(data, &body); err != nil {
		return unknownOutcome(result.Internal, "cannot decode the refusal of another entry")
	}
	return body.ResultError()
}

// copyRecord copies the remaining events from the record of a request that was taken
// over.
func (c *relayCopy) copyRecord(ctx context.Context, rec *answer.Record) {
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

// relayCancel forwards the cancellation of a request to its owner. err is set if the
// owner did not answer.
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
		return decodeRefusal(ev.Data), nil
	}
	return nil, nil
}
