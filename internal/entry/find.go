package entry

import (
	"context"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/pipeline"
	"github.com/magnoliawheel/magnoliawheel/core/reqid"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/answer"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// Snapshot returns the configuration in force.
func (p *Process) Snapshot() *configlog.Snapshot { return p.source.Current() }

// Find returns the answer of a request.
func (p *Process) Find(ctx context.Context, id, customer string, from uint64) (*answer.Record, *result.Error) {
	owner, ok := reqid.Owner(id)
	if !ok {
		return nil, result.New(result.UnknownRequest, "%q is not a request id", id)
	}
	if r := p.table.get(id); r != nil {
		return own(r, customer, from)
	}
	if owner == p.opts.Settings.Instance.ID {
		return nil, unknownRequest()
	}
	return p.relay(ctx, owner, id, customer, from)
}

func own(r *request, customer string, from uint64) (*answer.Record, *result.Error) {
	if r.req.Customer.Name != customer {
		return nil, unknownOutcome(result.NotYourRequest, "the request belongs to another customer")
	}
	if from > r.record.Len()+1 {
		return nil, unknownOutcome(result.BadLastEventID, "the sequence number is ahead of the answer")
	}
	return r.record, nil
}

func unknownRequest() *result.Error {
	return unknownOutcome(result.UnknownRequest, "no process that can be reached knows the request")
}

func unknownOutcome(c result.Code, message string) *result.Error {
	return &result.Error{Code: c, Message: message, Ran: result.RanUnknown, Effects: result.RanUnknown}
}

// Cancel cancels a request.
func (p *Process) Cancel(ctx context.Context, id, customer string) *result.Error {
	r := p.table.get(id)
	if r == nil {
		return unknownRequest()
	}
	if _, bad := own(r, customer, 0); bad != nil {
		return bad
	}
	r.step(pipeline.CallerCancel{})
	return nil
}

func (p *Process) relay(context.Context, string, string, string, uint64) (*answer.Record, *result.Error) {
	return nil, unknownRequest()
}

type relayServer struct{ p *Process }

// Relay gives the answer of a request that this entry owns to another entry.
func (s relayServer) Relay(req *wire.RelayRequest, out wire.DRPCEntry_RelayStream) error {
	return nil
}
