package agent

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/lease"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/engine"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// The kinds of orders.
const (
	orderLoadModel   = "load_model"
	orderUnloadModel = "unload_model"
	orderLoadAdapter = "load_adapter"
	orderSetRole     = "set_role"
	orderDrain       = "drain"
	orderUndrain     = "undrain"
)

// Bounds of giving orders.
const (
	// orderTimeout bounds one order, with taking the lease.
	orderTimeout = 5 * time.Second
	// renewBefore is the least validity of a lease under which an order is begun.
	renewBefore = 2 * time.Second
)

// orders passes orders on to the server, under the lease on the slot.
type orders struct {
	p      *Process
	log    logr.Logger
	server *engine.ModelClient
	now    func() time.Time
	// busy is held while an order is given; it guards the rest.
	busy  chan struct{}
	table *lease.Table
	// fence is the fencing number of the lease held, 0 if none; the lease is valid
	// until until and must not be used before free.
	fence       uint64
	until, free time.Time
}

func newOrders(p *Process) *orders {
	return &orders{
		p: p, log: p.log.WithName("orders"), server: engine.NewModelClient(p.settings.Server.URL), now: time.Now,
		busy: make(chan struct{}, 1), table: lease.New(),
	}
}

// Order changes the server, if the instance that asks may.
func (s *rpcServer) Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderReply, error) {
	e, fence := s.p.orders.handle(ctx, req)
	reply := &wire.OrderReply{Fence: fence, Load: s.p.load()}
	if e != nil {
		reply.Code, reply.Message = uint32(e.Code), e.Message
	}
	s.p.orders.log.Info("Order handled.", "order", req.OrderId, "kind", req.Kind, "from", req.From, "code", reply.Code, "fence", fence)
	return reply, nil
}

func (o *orders) handle(ctx context.Context, req *wire.OrderRequest) (*result.Error, uint64) {
	if !slices.Contains(o.p.settings.Server.OrdersFrom, req.From) {
		return result.New(result.OrderRefused, "%q may not give orders here", req.From), 0
	}
	switch req.Kind {
	case orderDrain:
		o.p.work.setLeaving(leavingOrdered, true)
		return nil, 0
	case orderUndrain:
		o.p.work.setLeaving(leavingOrdered, false)
		return nil, 0
	}
	pool, e := o.check(req)
	if e != nil {
		return e, 0
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	select {
	case o.busy <- struct{}{}:
	case <-ctx.Done():
		return result.New(result.OrderRefused, "another order is being given"), 0
	}
	defer func() { <-o.busy }()
	return o.give(ctx, pool, req)
}

// check refuses an order that no server of the pool could obey.
func (o *orders) check(req *wire.OrderRequest) (*schema.Pool, *result.Error) {
	s := o.p.config.Current().Schema
	if s == nil {
		return nil, result.New(result.NotReady, "no schema is in force here")
	}
	pool := s.Pool(o.p.settings.Server.Pool)
	if pool == nil || pool.Kind != schema.KindEngine {
		return nil, result.New(result.OrderRefused, "the server is not a model engine")
	}
	switch req.Kind {
	case orderLoadModel, orderUnloadModel, orderLoadAdapter:
		if !slices.Contains(pool.Models, req.Model) {
			return nil, result.New(result.OrderRefused, "%q is not among the models of pool %s", req.Model, pool.Name)
		}
	case orderSetRole:
	default:
		return nil, result.New(result.OrderRefused, "%q is not a kind of order", req.Kind)
	}
	return pool, nil
}

// give sends an order under the lease. The caller holds busy.
func (o *orders) give(ctx context.Context, pool *schema.Pool, req *wire.OrderRequest) (*result.Error, uint64) {
	if e := o.hold(ctx); e != nil {
		return e, o.fence
	}
	if wait := o.free.Sub(o.now()); !pool.Fencing && wait > 0 {
		e := result.New(result.OrderLeaseWait, "a former holder's lease runs out in %s", wait.Round(time.Millisecond))
		e.RetryAfter = wait
		return e, o.fence
	}
	order := engine.Order{Kind: req.Kind, Model: req.Model, Version: req.Version, Role: req.Role, Fence: o.fence}
	out := o.server.SendOrder(ctx, order, o.stillValid)
	if out.Code == result.OrderFenced {
		o.drop()
	}
	if out.Code == result.OK {
		if req.Kind != orderSetRole {
			o.p.work.obeyed(req.Kind, req.Model, pool.Models)
		}
		return nil, order.Fence
	}
	return &result.Error{Code: out.Code, Message: out.Message, Ran: out.Ran}, order.Fence
}

// stillValid is called immediately before an order is sent.
func (o *orders) stillValid() result.Code {
	if !o.now().Before(o.until) {
		return result.OrderFenced
	}
	return result.OK
}

func (o *orders) drop() { o.fence, o.until = 0, time.Time{} }

// hold takes or renews the lease unless it is valid for a while.
func (o *orders) hold(ctx context.Context) *result.Error {
	sent := o.now()
	if o.fence != 0 && sent.Add(renewBefore).Before(o.until) {
		return nil
	}
	self := lease.Holder{Instance: o.p.settings.Instance.ID, Incarnation: o.p.incarnation}
	r := &lease.Record{Slot: self.Instance, Holder: self, Fence: o.fence}
	offset, err := o.p.plog.Append(ctx, platform.LeaseStream, r.Encode())
	if err == nil {
		err = o.readTo(ctx, offset)
	}
	if err != nil {
		o.log.Info("The lease could not be taken.", "error", err.Error())
		return &result.Error{Code: result.PlatformDown, Message: "the lease on the slot could not be taken", Ran: result.RanNo, RetryAfter: claimRetryAfter}
	}
	l, _ := o.table.Get(self.Instance)
	if l.Holder != self {
		o.drop()
		return result.New(result.OrderFenced, "the lease is held by incarnation %d of %s", l.Holder.Incarnation, l.Holder.Instance)
	}
	o.fence, o.until = l.Fence, sent.Add(lease.Duration)
	o.free = o.now().Add(l.PriorExpiresAt.Sub(l.RenewedAt))
	return nil
}

// readTo folds the stream of leases up to an offset.
func (o *orders) readTo(ctx context.Context, offset uint64) error {
	for o.table.Next() <= offset {
		next := o.table.Next()
		b, err := o.p.plog.Read(ctx, platform.LeaseStream, next, readBatch, 0)
		if errors.Is(err, platform.ErrTruncated) && b.FirstOffset > next {
			o.table.Skip(b.FirstOffset)
			continue
		}
		if err != nil {
			return err
		}
		for _, r := range b.Records {
			o.table.Apply(r.Offset, r.Time, r.Data)
		}
		if o.table.Next() == next {
			return errors.Newf("offset %d of the leases is not readable yet", offset)
		}
	}
	return nil
}
