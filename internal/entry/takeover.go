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
	// maxConcurrentFinds bounds the number of agents queried concurrently.
	maxConcurrentFinds = 32
	// maxAgentsQueried bounds the number of agents queried per pool.
	maxAgentsQueried = 1024
	// takeoverBudget is the time budget of a taken-over request whose attempts have
	// all ended, so that no budget is left.
	takeoverBudget = 3 * time.Second
)

// foundAttempt is an attempt that an agent knows.
type foundAttempt struct {
	*wire.FoundAttempt
	server routing.Server
}

// takeOver continues a request that no reachable entry runs any more, based on the
// attempts that agents know.
func (p *Process) takeOver(ctx context.Context, id, customer string, fromSeq uint64) (*answer.Record, *result.Error) {
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
	if !pipelineUnchanged(pl, found) {
		return nil, unknownOutcome(result.EntryLost, "the entry that owned the request is gone, and its pipeline has changed since")
	}
	if fromSeq > 1 && ambiguousOutput(pl, found) {
		return nil, unknownOutcome(result.EntryLost, "the entry that owned the request is gone, and it is unknown which output the caller received")
	}
	r := p.adopt(&callerapi.Request{
		Snapshot: snap, Call: callForPipeline(snap.Schema, pl), Pipeline: pl, Customer: cust,
		Timeout: remainingBudget(found), Received: time.Now(), Streaming: true,
	}, id, found)
	if r == nil {
		return nil, unknownOutcome(result.EntryDraining, "the entry cannot take over requests now")
	}
	return r.record, nil
}

// pipelineUnchanged reports whether the attempts' stages are still at the same
// positions of the pipeline as when the request was admitted. Otherwise results of
// different stages could be mixed.
func pipelineUnchanged(pl *schema.Pipeline, found []foundAttempt) bool {
	for _, f := range found {
		st := int(f.Attempt.GetStage())
		if f.Pipeline != pl.Name || st >= len(pl.Stages) || pl.Stages[st].Name != f.Stage {
			return false
		}
	}
	return true
}

// ambiguousOutput reports whether an answer stage has several attempts, in which
// case the chunks that the caller received may come from any of them.
func ambiguousOutput(pl *schema.Pipeline, found []foundAttempt) bool {
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

// callForPipeline returns a call that uses the pipeline, for its limits.
func callForPipeline(s *schema.Schema, pl *schema.Pipeline) *schema.Call {
	for i := range s.Calls {
		if s.Calls[i].Pipeline == pl.Name {
			return &s.Calls[i]
		}
	}
	return &schema.Call{Name: pl.Name, MaxAnswerBytes: schema.MaxAnswerBytes}
}

// remainingBudget returns the largest budget of the attempts, at most
// schema.MaxDeadline, or takeoverBudget if it is 0.
func remainingBudget(found []foundAttempt) time.Duration {
	budget := time.Duration(0)
	for _, f := range found {
		budget = max(budget, time.Duration(f.BudgetUs)*time.Microsecond)
	}
	if budget == 0 {
		return takeoverBudget
	}
	return min(budget, schema.MaxDeadline)
}

// adopt starts a request from the attempts found. It returns nil if the table
// refuses the request. If the request has already been adopted, it returns the
// existing one.
func (p *Process) adopt(req *callerapi.Request, id string, found []foundAttempt) *request {
	// The list is not nil even if it is empty: nil marks a request that is new.
	adopted := []pipeline.AdoptedAttempt{}
	for _, f := range found {
		if f.State == wire.AttemptState_ATTEMPT_STATE_NOT_RUN || int(f.Attempt.GetStage()) >= len(req.Pipeline.Stages) {
			continue
		}
		adopted = append(adopted, pipeline.AdoptedAttempt{
			Attempt: pipeline.Attempt{Stage: f.Attempt.Stage, Number: f.Attempt.Attempt}, Server: pipelineServer(f.server),
		})
	}
	r := p.newRequest(id, req, adopted)
	for _, f := range found {
		attempt := pipeline.Attempt{Stage: f.Attempt.GetStage(), Number: f.Attempt.GetAttempt()}
		if int(attempt.Stage) < len(req.Pipeline.Stages) && r.streams[attempt] == nil {
			r.newStream(time.Now(), attempt, pipelineServer(f.server)).incarnation.Store(f.Incarnation)
		}
	}
	existing, resErr := p.table.adopt(r)
	if resErr != nil || existing != nil {
		r.discard()
		return existing
	}
	r.log.Info("Taking over a request of an entry that is gone.", "attempts", len(adopted))
	r.step(pipeline.Start{})
	return r
}

// findAttempts queries the agents pool by pool until one knows the request, then the
// agents of the other pools of its pipeline.
func (p *Process) findAttempts(ctx context.Context, s *schema.Schema, id string) []foundAttempt {
	queriedPools := map[string]bool{}
	var found []foundAttempt
	for i := range s.Pools {
		found = p.findInPool(ctx, s.Pools[i].Name, id)
		queriedPools[s.Pools[i].Name] = true
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
		if !queriedPools[pool] {
			queriedPools[pool] = true
			found = append(found, p.findInPool(ctx, pool, id)...)
		}
	}
	return found
}

func (p *Process) findInPool(ctx context.Context, pool, id string) []foundAttempt {
	servers := p.view.Servers(pool)
	servers = servers[:min(len(servers), maxAgentsQueried)]
	results := make([][]foundAttempt, len(servers))
	semaphore := make(chan struct{}, maxConcurrentFinds)
	var wg sync.WaitGroup
	for i, s := range servers {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			results[i] = p.findAtAgent(ctx, s, id)
		})
	}
	wg.Wait()
	var all []foundAttempt
	for _, list := range results {
		all = append(all, list...)
	}
	return all
}

func (p *Process) findAtAgent(ctx context.Context, s routing.Server, id string) []foundAttempt {
	ctx, cancel := context.WithTimeout(ctx, rpc.SilenceTimeout)
	defer cancel()
	client := wire.NewDRPCAgentClient(p.pool.Conn(ctx, s.Addr))
	reply, err := client.Find(ctx, &wire.FindRequest{RequestId: id})
	if err != nil {
		p.pool.CloseIdle(s.Addr)
		p.log.V(1).Info("Asking an agent for a request's attempts failed.", "agent", s.ID, "request", id, "error", err.Error())
		return nil
	}
	var list []foundAttempt
	for _, f := range reply.Attempts {
		list = append(list, foundAttempt{FoundAttempt: f, server: s})
	}
	return list
}
