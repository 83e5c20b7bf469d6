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

// Find returns the answer of a request. One of another entry is relayed; if that
// entry is gone, the request is taken over from what the agents know.
func (p *Process) Find(ctx context.Context, id, customer string, from uint64) (*answer.Record, *result.Error) {
	owner, ok := reqid.Owner(id)
	if !ok {
		return nil, unknownOutcome(result.UnknownRequest, "the id is malformed")
	}
	if r := p.table.get(id); r != nil {
		return own(r, customer, from)
	}
	if owner == p.opts.Settings.Instance.ID {
		return p.takeOver(ctx, id, customer, from)
	}
	addr, listed := p.entryAddr(owner)
	if !listed {
		return p.takeOver(ctx, id, customer, from)
	}
	return p.relay(ctx, addr, id, customer, from)
}

// entryAddr returns the address of an entry for its peers.
func (p *Process) entryAddr(id string) (addr string, ok bool) {
	for _, i := range p.view.Instances() {
		if i.Role == membership.RoleEntry && i.ID == id {
			return i.Addr, true
		}
	}
	return "", false
}

func own(r *request, customer string, from uint64) (*answer.Record, *result.Error) {
	if r.req.Customer.Name != customer {
		return nil, unknownOutcome(result.NotYourRequest, "the request belongs to another customer")
	}
	if r.adopted == nil && from > r.record.Len()+1 {
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

// Cancel cancels a request, which may belong to another entry.
func (p *Process) Cancel(ctx context.Context, id, customer string) *result.Error {
	owner, ok := reqid.Owner(id)
	if !ok {
		return unknownOutcome(result.UnknownRequest, "the id is malformed")
	}
	if r := p.table.get(id); r != nil {
		return r.cancelBy(customer)
	}
	addr, listed := p.entryAddr(owner)
	if owner != p.opts.Settings.Instance.ID && listed {
		if bad, err := p.relayCancel(ctx, addr, id, customer); err == nil {
			return bad
		}
	}
	return p.cancelOrphan(ctx, id, customer)
}

// cancelOrphan cancels what the agents know of a request whose entry is gone.
func (p *Process) cancelOrphan(ctx context.Context, id, customer string) *result.Error {
	if _, bad := p.takeOver(ctx, id, customer, 1); bad != nil {
		return bad
	}
	if r := p.table.get(id); r != nil {
		return r.cancelBy(customer)
	}
	return unknownRequest()
}

func (r *request) cancelBy(customer string) *result.Error {
	if _, bad := own(r, customer, 0); bad != nil {
		return bad
	}
	r.step(pipeline.CallerCancel{})
	return nil
}
