package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawheel/magnoliawheel/core/admission"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/internal/adminapi"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// orderTimeout bounds the wait for an agent's reply to an order.
const orderTimeout = 10 * time.Second

// ServerStatus describes one server as this entry sees it.
type ServerStatus struct {
	ID     string        `json:"id"`
	Pool   string        `json:"pool"`
	Addr   string        `json:"addr"`
	Zone   string        `json:"zone"`
	Region string        `json:"region"`
	State  routing.State `json:"state"`
	Reason string        `json:"why,omitempty"`
	// LoadAgeMS is the age of the last load report; 0 if there is none.
	LoadAgeMS   int64    `json:"load_age_ms"`
	Running     int      `json:"running"`
	Queued      int      `json:"queued"`
	Limit       int      `json:"limit"`
	ServiceMS   int64    `json:"service_ms"`
	InFlight    int      `json:"in_flight_here"`
	FailureRate float64  `json:"failing_share"`
	Models      []string `json:"models,omitempty"`
}

// PoolStatus summarizes the servers of a pool.
type PoolStatus struct {
	Pool string `json:"pool"`
	Kind string `json:"kind"`
	// Servers is the number of servers in each state.
	Servers map[routing.State]int `json:"servers"`
	Running int                   `json:"running"`
	Queued  int                   `json:"queued"`
	Limit   int                   `json:"limit"`
}

// CustomerStatus describes a customer's recent use of this entry.
type CustomerStatus struct {
	Customer string `json:"customer"`
	Weight   int    `json:"weight"`
	// Share is the customer's fraction of the recently admitted work; EntitledShare
	// is its share by weight among the customers that are not idle.
	Share         float64 `json:"share"`
	EntitledShare float64 `json:"entitled"`
	InFlight      int     `json:"in_flight"`
}

// OrderRequest is the body of POST /admin/v1/servers/{id}/orders.
type OrderRequest struct {
	// Kind is load_model, unload_model, load_adapter, set_role, drain or undrain.
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// OrderReply is the reply to an order that the agent carried out.
type OrderReply struct {
	OrderID string `json:"order_id"`
	Server  string `json:"server"`
	Fence   uint64 `json:"fence,omitempty"`
}

// registerOperationRoutes registers the routes for the status and the orders of
// servers, pools and customers.
func (p *Process) registerOperationRoutes(api *adminapi.API) {
	api.Handle("GET /admin/v1/servers", adminapi.RoleRead, p.getServers)
	api.Handle("GET /admin/v1/pools", adminapi.RoleRead, p.getPools)
	api.Handle("GET /admin/v1/customers", adminapi.RoleRead, p.getCustomers)
	api.Handle("POST /admin/v1/servers/{id}/orders", adminapi.RoleWrite, p.postOrder)
}

func (p *Process) getServers(w http.ResponseWriter, r *http.Request) {
	pool := r.URL.Query().Get("pool")
	list := []ServerStatus{}
	for _, s := range p.decider.serverStatuses(time.Now()) {
		if pool == "" || s.Pool == pool {
			list = append(list, s)
		}
	}
	adminapi.WriteJSON(w, http.StatusOK, list)
}

// serverStatuses lists the servers of all pools, pool by pool in schema order.
func (d *decider) serverStatuses(now time.Time) []ServerStatus {
	var list []ServerStatus
	var buf []routing.Status
	d.eachRouter(now, func(pool string, r *poolRouter) {
		buf = r.Status(now, buf[:0])
		for i := range buf {
			list = append(list, serverStatus(pool, &buf[i]))
		}
	})
	return list
}

func serverStatus(pool string, s *routing.Status) ServerStatus {
	return ServerStatus{
		ID: s.ID, Pool: pool, Addr: s.Addr, Zone: s.Zone, Region: s.Region, State: s.State, Reason: s.Reason,
		LoadAgeMS: s.LoadAge.Milliseconds(), Running: s.Load.Running, Queued: s.Load.Queued, Limit: s.Load.Limit,
		ServiceMS: s.Load.ServiceTime.Milliseconds(), InFlight: s.InFlight, FailureRate: s.FailureRate, Models: s.Load.Models,
	}
}

func (p *Process) getPools(w http.ResponseWriter, _ *http.Request) {
	list := []PoolStatus{}
	if s := p.source.Current().Schema; s != nil {
		for i := range s.Pools {
			list = append(list, PoolStatus{Pool: s.Pools[i].Name, Kind: string(s.Pools[i].Kind), Servers: map[routing.State]int{}})
		}
	}
	for _, s := range p.decider.serverStatuses(time.Now()) {
		for i := range list {
			if list[i].Pool == s.Pool {
				list[i].addServer(&s)
			}
		}
	}
	adminapi.WriteJSON(w, http.StatusOK, list)
}

func (ps *PoolStatus) addServer(s *ServerStatus) {
	ps.Servers[s.State]++
	ps.Running += s.Running
	ps.Queued += s.Queued
	ps.Limit += s.Limit
}

func (p *Process) getCustomers(w http.ResponseWriter, _ *http.Request) {
	list := []CustomerStatus{}
	s := p.source.Current().Schema
	if s == nil {
		adminapi.WriteJSON(w, http.StatusOK, list)
		return
	}
	index := map[string]int{}
	for i := range s.Customers {
		index[s.Customers[i].Name] = i
		list = append(list, CustomerStatus{Customer: s.Customers[i].Name, Weight: s.Customers[i].Weight})
	}
	for _, share := range p.decider.customerShares(time.Now()) {
		if i, ok := index[share.Customer]; ok {
			list[i].Share, list[i].EntitledShare = share.Share, share.EntitledShare
		}
	}
	for _, f := range p.InFlight() {
		if i, ok := index[f.Customer]; ok {
			list[i].InFlight++
		}
	}
	adminapi.WriteJSON(w, http.StatusOK, list)
}

// postOrder forwards an order to the agent of a server.
func (p *Process) postOrder(w http.ResponseWriter, r *http.Request) {
	var in OrderRequest
	if err := adminapi.ReadJSON(r, &in); err != nil {
		adminapi.WriteError(w, err)
		return
	}
	addr, ok := p.agentAddr(r.PathValue("id"))
	if !ok {
		adminapi.WriteError(w, result.New(result.AdminNotFound, "no server %q is listed", r.PathValue("id")))
		return
	}
	reply, err := p.sendOrder(r.Context(), r.PathValue("id"), addr, adminapi.Operator(r.Context()), &in)
	if err != nil {
		adminapi.WriteError(w, err)
		return
	}
	adminapi.WriteJSON(w, http.StatusOK, reply)
}

func (p *Process) agentAddr(id string) (addr string, ok bool) {
	for _, in := range p.view.Instances() {
		if in.ID == id && in.Pool != "" {
			return in.Addr, true
		}
	}
	return "", false
}

func (p *Process) sendOrder(ctx context.Context, id, addr, operator string, in *OrderRequest) (*OrderReply, error) {
	orderID, err := uuid.NewV7()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	p.log.Info("Sending an order.", "order", orderID.String(), "kind", in.Kind, "server", id, "operator", operator)
	reply, err := wire.NewDRPCAgentClient(p.pool.Conn(ctx, addr)).Order(ctx, &wire.OrderRequest{
		OrderId: orderID.String(), Kind: in.Kind, Model: in.Model, Version: in.Version, Role: in.Role, From: p.opts.Settings.Instance.ID,
	})
	if err != nil {
		e := result.New(result.AgentLost, "the agent of %s did not answer: %v", id, err)
		e.Ran = result.RanUnknown
		return nil, e
	}
	if code := result.Code(reply.Code); code != result.OK {
		return nil, result.New(code, "%s", reply.Message)
	}
	return &OrderReply{OrderID: orderID.String(), Server: id, Fence: reply.Fence}, nil
}

// customerShares returns the recent shares of the customers.
func (d *decider) customerShares(now time.Time) []admission.CustomerShare {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.admission.CustomerShares(now)
}
