package entry

import (
	"context"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/pipeline"
	"github.com/magnoliawheel/magnoliawheel/core/reqid"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/answer"
)

// Snapshot returns the configuration in force.
func (p *Process) Snapshot() *configlog.Snapshot { return p.source.Current() }

// Find returns the answer of a request. The answer of a request that another entry
// owns is relayed. The request is taken over, based on the attempts that agents know, if
// that entry is not in the instance list or is unreachable, or if this entry owns the
// request but has no record of it.
func (p *Process) Find(ctx context.Context, id, customer string, fromSeq uint64) (*answer.Record, *result.Error) {
	owner, ok := reqid.Owner(id)
	if !ok {
		return nil, unknownOutcome(result.UnknownRequest, "the request ID is malformed")
	}
	if r := p.table.get(id); r != nil {
		return recordFor(r, customer, fromSeq)
	}
	if owner == p.opts.Settings.Instance.ID {
		return p.takeOver(ctx, id, customer, fromSeq)
	}
	addr, listed := p.entryAddr(owner)
	if !listed {
		return p.takeOver(ctx, id, customer, fromSeq)
	}
	return p.relay(ctx, addr, id, customer, fromSeq)
}

// entryAddr returns the peer address of an entry.
func (p *Process) entryAddr(id string) (addr string, ok bool) {
	for _, i := range p.view.Instances() {
		if i.Role == membership.RoleEntry && i.ID == id {
			return i.Addr, true
		}
	}
	return "", false
}

// recordFor returns the answer of a request that this entry owns. It fails if the
// request belongs to another customer, or if fromSeq is beyond the end of the
// answer.
func recordFor(r *request, customer string, fromSeq uint64) (*answer.Record, *result.Error) {
	if r.req.Customer.Name != customer {
		return nil, unknownOutcome(result.NotYourRequest, "the request belongs to another customer")
	}
	if r.adopted == nil && fromSeq > r.record.Len()+1 {
		return nil, unknownOutcome(result.BadLastEventID, "the sequence number is ahead of the answer")
	}
	return r.record, nil
}

func unknownRequest() *result.Error {
	return unknownOutcome(result.UnknownRequest, "no reachable process knows the request")
}

// unknownOutcome returns an error that leaves open whether the request ran or had
// effects.
func unknownOutcome(c result.Code, message string) *result.Error {
	return &result.Error{Code: c, Message: message, Ran: result.RanUnknown, Effects: result.RanUnknown}
}

// Cancel cancels a request, which another entry may own.
func (p *Process) Cancel(ctx context.Context, id, customer string) *result.Error {
	owner, ok := reqid.Owner(id)
	if !ok {
		return unknownOutcome(result.UnknownRequest, "the request ID is malformed")
	}
	if r := p.table.get(id); r != nil {
		return r.cancelFor(customer)
	}
	addr, listed := p.entryAddr(owner)
	if owner != p.opts.Settings.Instance.ID && listed {
		if resErr, err := p.relayCancel(ctx, addr, id, customer); err == nil {
			return resErr
		}
	}
	return p.cancelOrphaned(ctx, id, customer)
}

// cancelOrphaned takes over a request whose entry is not listed or unreachable, or has
// no record of it, and cancels it.
func (p *Process) cancelOrphaned(ctx context.Context, id, customer string) *result.Error {
	if _, resErr := p.takeOver(ctx, id, customer, 1); resErr != nil {
		return resErr
	}
	if r := p.table.get(id); r != nil {
		return r.cancelFor(customer)
	}
	return unknownRequest()
}

// cancelFor cancels the request if it belongs to the customer.
func (r *request) cancelFor(customer string) *result.Error {
	if _, resErr := recordFor(r, customer, 0); resErr != nil {
		return resErr
	}
	r.step(pipeline.CallerCancel{})
	return nil
}
