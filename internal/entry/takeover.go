package entry

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/pipeline"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/answer"
	"github.com/magnoliawheel/magnoliawheel/internal/callerapi"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

const (
	// findConcurrency bounds the agents asked at a time.
	findConcurrency = 32
	// findAgents bounds the agents asked for one request.
	findAgents = 1024
	// takeoverBudget bounds a request taken over whose attempts have all ended.
	takeoverBudget = 3 * time.Second
)

// foundAttempt is an attempt that an agent knows.
type foundAttempt struct {
	*wire.FoundAttempt
	server routing.Server
}

// takeOver goes on with a request whose entry is gone, from what the agents of
// its pipeline know of it.
func (p *Process) takeOver(ctx context.Context, id, customer string, from uint64) (*answer.Record, *result.Error) {
	snap := p.source.Current()
	if snap.Schema == nil {
		return nil, unknownRequest()
	}
	found := p.findAttempts(ctx, snap.Schema, id)
	if len(found) == 0 || found[0].Customer == "" {
		return nil, unknownRequest()
	}
	if found[0].Customer != customer {
		return nil, unknownOutcome(result.NotYourRequest, "the request belongs to another customer")
	}
	pl := snap.Schema.Pipeline(found[0].Pipeline)
	cust := snap.Schema.Customer(customer)
	if pl == nil || cust == nil {
		return nil, unknownRequest()
	}
	if !samePipeline(pl, found) {
		return nil, unknownOutcome(result.EntryLost, "the entry that had the request is gone, and its pipeline has changed since")
	}
	if from > 1 && ambiguous(pl, found) {
		return nil, unknownOutcome(result.EntryLost, "the entry that had the request is gone, and which output the caller saw is not known")
	}
	r := p.adopt(&callerapi.Request{
		Snapshot: snap, Call: callOf(snap.Schema, pl), Pipeline: pl, Customer: cust,
		Timeout: budgetOf(found), Received: time.Now(), Streaming: true,
	}, id, found)
	if r == nil {
		return nil, unknownOutcome(result.EntryDraining, "the entry takes no requests over now")
	}
	return r.record, nil
}

// samePipeline tells whether the stages of the attempts stand in the pipeline as
// they did when the request was admitted, so that no results are mixed.
func samePipeline(pl *schema.Pipeline, found []foundAttempt) bool {
	for _, f := range found {
		st := int(f.Attempt.GetStage())
		if f.Pipeline != pl.Name || st >= len(pl.Stages) || pl.Stages[st].Name != f.Stage {
			return false
		}
	}
	return true
}

// ambiguous tells whether an answer stage has several attempts, so that chunks
// the caller has may come from any of them.
func ambiguous(pl *schema.Pipeline, found []foundAttempt) bool {
	count := make([]int, len(pl.Stages))
	for _, f := range found {
		st := int(f.Attempt.GetStage())
		if st < len(count) && f.State != wire.AttemptState_ATTEMPT_STATE_NOT_RUN {
			count[st]++
		}
	}
	for i, n := range count {
		if n > 1 && pl.Stages[i].InAnswer {
			return true
		}
	}
	return false
}

// callOf returns a call of the pipeline, for its limits.
func callOf(s *schema.Schema, pl *schema.Pipeline) *schema.Call {
	for i := range s.Calls {
		if s.Calls[i].Pipeline == pl.Name {
			return &s.Calls[i]
		}
	}
	return &schema.Call{Name: pl.Name, MaxAnswerBytes: schema.MaxAnswerBytes}
}

func budgetOf(found []foundAttempt) time.Duration {
	budget := time.Duration(0)
	for _, f := range found {
		budget = max(budget, time.Duration(f.BudgetUs)*time.Microsecond)
	}
	if budget == 0 {
		return takeoverBudget
	}
	return min(budget, schema.MaxDeadline)
}

// adopt starts a machine from the attempts found; nil if the table refuses. A
// request that was adopted meanwhile is returned as it is.
func (p *Process) adopt(req *callerapi.Request, id string, found []foundAttempt) *request {
	var adopted []pipeline.AdoptedAttempt
	for _, f := range found {
		if f.State == wire.AttemptState_ATTEMPT_STATE_NOT_RUN || int(f.Attempt.GetStage()) >= len(req.Pipeline.Stages) {
			continue
		}
		adopted = append(adopted, pipeline.AdoptedAttempt{
			Attempt: pipeline.Attempt{Stage: f.Attempt.Stage, Number: f.Attempt.Attempt}, Server: place(f.server),
		})
	}
	r := p.newRequest(id, req, adopted)
	for _, f := range found {
		at := pipeline.Attempt{Stage: f.Attempt.GetStage(), Number: f.Attempt.GetAttempt()}
		if int(at.Stage) < len(req.Pipeline.Stages) && r.streams[at] == nil {
			r.open(time.Now(), at, place(f.server)).incarnation.Store(f.Incarnation)
		}
	}
	existing, bad := p.table.adopt(r)
	if bad != nil || existing != nil {
		r.discard()
		return existing
	}
	r.log.Info("A request of an entry that is gone is taken over.", "attempts", len(adopted))
	r.step(pipeline.Start{})
	return r
}

// findAttempts asks the agents of the pools, pool by pool, until one knows the
// request; then those of its pipeline.
func (p *Process) findAttempts(ctx context.Context, s *schema.Schema, id string) []foundAttempt {
	asked := map[string]bool{}
	var found []foundAttempt
	for i := range s.Pools {
		found = p.findInPool(ctx, s.Pools[i].Name, id)
		asked[s.Pools[i].Name] = true
		if len(found) > 0 {
			break
		}
	}
	if len(found) == 0 {
		return nil
	}
	pl := s.Pipeline(found[0].Pipeline)
	if pl == nil {
		return found
	}
	for i := range pl.Stages {
		pool := pl.Stages[i].Pool
		if !asked[pool] {
			asked[pool] = true
			found = append(found, p.findInPool(ctx, pool, id)...)
		}
	}
	return found
}

func (p *Process) findInPool(ctx context.Context, pool, id string) []foundAttempt {
	servers := p.view.Servers(pool)
	servers = servers[:min(len(servers), findAgents)]
	results := make([][]foundAttempt, len(servers))
	slots := make(chan struct{}, findConcurrency)
	var wg sync.WaitGroup
	for i, s := range servers {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i] = p.findAt(ctx, s, id)
		})
	}
	wg.Wait()
	var all []foundAttempt
	for _, list := range results {
		all = append(all, list...)
	}
	return all
}

func (p *Process) findAt(ctx context.Context, s routing.Server, id string) []foundAttempt {
	ctx, cancel := context.WithTimeout(ctx, rpc.SilenceTimeout)
	defer cancel()
	client := wire.NewDRPCAgentClient(p.pool.Conn(ctx, s.Addr))
	reply, err := client.Find(ctx, &wire.FindRequest{RequestId: id})
	if err != nil {
		p.pool.CloseIdle(s.Addr)
		p.log.V(1).Info("An agent did not answer about a request.", "agent", s.ID, "request", id, "error", err.Error())
		return nil
	}
	var list []foundAttempt
	for _, f := range reply.Attempts {
		list = append(list, foundAttempt{FoundAttempt: f, server: s})
	}
	return list
}
