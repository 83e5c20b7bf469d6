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

// Timeouts for orders.
const (
	// orderTimeout limits one order, including the time to acquire the lease.
	orderTimeout = 5 * time.Second
	// minLeaseValidity is the remaining validity below which the lease is renewed
	// before an order is sent.
	minLeaseValidity = 2 * time.Second
)

// orderHandler forwards orders to the server while it holds the lease on the
// server's slot.
type orderHandler struct {
	process *Process
	log     logr.Logger
	server  *engine.ModelClient
	now     func() time.Time
	// lock is a mutex whose acquisition can time out. It is held while an order is
	// executed, and guards the fields below.
	lock   chan struct{}
	leases *lease.Table
	// fence is the fencing number of the lease; 0 if none is held. The lease
	// expires at validUntil. All earlier leases have expired at earlierLeasesEnd; a
	// server without fencing must get no order before.
	fence                        uint64
	validUntil, earlierLeasesEnd time.Time
}

func newOrderHandler(p *Process) *orderHandler {
	return &orderHandler{
		process: p, log: p.log.WithName("orders"), server: engine.NewModelClient(p.settings.Server.URL), now: time.Now,
		lock: make(chan struct{}, 1), leases: lease.New(),
	}
}

// Order changes the state of the agent or its server, if the requesting
// instance is authorized.
func (s *rpcServer) Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderReply, error) {
	e, fence := s.process.orderHandler.handle(ctx, req)
	reply := &wire.OrderReply{Fence: fence, Load: s.process.load()}
	if e != nil {
		reply.Code, reply.Message = uint32(e.Code), e.Message
	}
	s.process.orderHandler.log.Info("Order handled.", "order", req.OrderId, "kind", req.Kind, "from", req.From, "code", reply.Code, "fence", fence)
	return reply, nil
}

// handle executes an order. It returns the fencing number under which the order
// was sent to the server, if it was.
func (o *orderHandler) handle(ctx context.Context, req *wire.OrderRequest) (*result.Error, uint64) {
	if !slices.Contains(o.process.settings.Server.OrdersFrom, req.From) {
		return result.New(result.OrderRefused, "instance %q is not authorized to order this agent", req.From), 0
	}
	switch req.Kind {
	case orderDrain:
		o.process.worker.setLeaving(leavingOrdered, true)
		return nil, 0
	case orderUndrain:
		o.process.worker.setLeaving(leavingOrdered, false)
		return nil, 0
	}
	pool, e := o.validate(req)
	if e != nil {
		return e, 0
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	select {
	case o.lock <- struct{}{}:
	case <-ctx.Done():
		return result.New(result.OrderRefused, "another order is in progress"), 0
	}
	defer func() { <-o.lock }()
	return o.execute(ctx, pool, req)
}

// validate refuses an order that the servers of this agent's pool cannot
// execute.
func (o *orderHandler) validate(req *wire.OrderRequest) (*schema.Pool, *result.Error) {
	s := o.process.config.Current().Schema
	if s == nil {
		return nil, result.New(result.NotReady, "this agent has no schema yet")
	}
	pool := s.Pool(o.process.settings.Server.Pool)
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
		return nil, result.New(result.OrderRefused, "unknown kind of order %q", req.Kind)
	}
	return pool, nil
}

// execute sends an order to the server under the lease. The caller holds lock.
func (o *orderHandler) execute(ctx context.Context, pool *schema.Pool, req *wire.OrderRequest) (*result.Error, uint64) {
	if e := o.ensureLease(ctx); e != nil {
		return e, o.fence
	}
	if wait := o.earlierLeasesEnd.Sub(o.now()); !pool.Fencing && wait > 0 {
		e := result.New(result.OrderLeaseWait, "the lease of an earlier holder expires in %s", wait.Round(time.Millisecond))
		e.RetryAfter = wait
		return e, o.fence
	}
	order := engine.Order{Kind: req.Kind, Model: req.Model, Version: req.Version, Role: req.Role, Fence: o.fence}
	outcome := o.server.SendOrder(ctx, order, o.checkLease)
	if outcome.Code == result.OrderFenced {
		o.dropLease()
	}
	if outcome.Code == result.OK {
		if req.Kind != orderSetRole {
			o.process.worker.applyModelOrder(req.Kind, req.Model, pool.Models)
		}
		return nil, order.Fence
	}
	return &result.Error{Code: outcome.Code, Message: outcome.Message, Ran: outcome.Ran}, order.Fence
}

// checkLease is called immediately before an order is sent. It returns
// OrderFenced if the lease has expired.
func (o *orderHandler) checkLease() result.Code {
	if !o.now().Before(o.validUntil) {
		return result.OrderFenced
	}
	return result.OK
}

func (o *orderHandler) dropLease() { o.fence, o.validUntil = 0, time.Time{} }

// ensureLease acquires or renews the lease unless it is valid for long enough.
func (o *orderHandler) ensureLease(ctx context.Context) *result.Error {
	sent := o.now()
	if o.fence != 0 && sent.Add(minLeaseValidity).Before(o.validUntil) {
		return nil
	}
	self := lease.Holder{Instance: o.process.settings.Instance.ID, Incarnation: o.process.incarnation}
	r := &lease.Record{Slot: self.Instance, Holder: self, Fence: o.fence}
	offset, err := o.process.platformLog.Append(ctx, platform.LeaseStream, r.Encode())
	if err == nil {
		err = o.readLeases(ctx, offset)
	}
	if err != nil {
		o.log.Info("Acquiring the lease failed.", "error", err.Error())
		return &result.Error{Code: result.PlatformDown, Message: "the lease on the slot could not be acquired", Ran: result.RanNo, RetryAfter: claimRetryAfter}
	}
	l, _ := o.leases.Get(self.Instance)
	if l.Holder != self {
		o.dropLease()
		return result.New(result.OrderFenced, "the lease is held by incarnation %d of %s", l.Holder.Incarnation, l.Holder.Instance)
	}
	o.fence, o.validUntil = l.Fence, sent.Add(lease.Duration)
	o.earlierLeasesEnd = o.now().Add(l.PriorExpiresAt.Sub(l.RenewedAt))
	return nil
}

// readLeases folds the lease stream up to an offset.
func (o *orderHandler) readLeases(ctx context.Context, offset uint64) error {
	for o.leases.Next() <= offset {
		next := o.leases.Next()
		b, err := o.process.platformLog.Read(ctx, platform.LeaseStream, next, maxReadRecords, 0)
		if errors.Is(err, platform.ErrTruncated) && b.FirstOffset > next {
			o.leases.Skip(b.FirstOffset)
			continue
		}
		if err != nil {
			return err
		}
		for _, r := range b.Records {
			o.leases.Apply(r.Offset, r.Time, r.Data)
		}
		if o.leases.Next() == next {
			return errors.Newf("offset %d of the lease stream is not readable yet", offset)
		}
	}
	return nil
}
