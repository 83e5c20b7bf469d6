package agent

import (
	"context"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/claims"
	"github.com/magnoliawheel/magnoliawheel/core/ledger"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// Defaults while no schema is in force.
const (
	defaultValidity = 10 * time.Minute
	defaultSkew     = 5 * time.Second
)

// keyed tells whether a call needs a claim.
func keyed(req *wire.RunRequest) bool { return !req.Idempotent && req.IdempotencyKey != "" }

// keyLimits returns the validity of keys and the clock difference allowed.
func (w *work) keyLimits() (validity, skew time.Duration) {
	if s := w.p.config.Current().Schema; s != nil && s.Limits.KeyValidity > 0 {
		return s.Limits.KeyValidity.AsDuration(), s.Limits.MaxKeySkew.AsDuration()
	}
	return defaultValidity, defaultSkew
}

func (w *work) validity() time.Duration {
	v, _ := w.keyLimits()
	return v
}

// homeOf tells whether the keys of a partition come to this agent, by the servers
// as this agent knows them. It decides only which streams are read ahead.
func (w *work) homeOf(partition int) bool {
	if w.p.servers == nil || !w.takesKeys() {
		return false
	}
	s, ok := routing.Home(w.p.servers(w.p.settings.Server.Pool), uint64(partition), nil)
	return ok && s.ID == w.p.settings.Instance.ID
}

// takesKeys tells whether calls with an idempotency key may come to this agent.
func (w *work) takesKeys() bool {
	s := w.p.config.Current().Schema
	if s == nil {
		return false
	}
	pool := s.Pool(w.p.settings.Server.Pool)
	return pool != nil && pool.Kind == schema.KindService
}

// judgeKey refuses a key by its form and time.
func (w *work) judgeKey(now time.Time, req *wire.RunRequest) *result.Error {
	if !keyed(req) {
		return nil
	}
	minted, ok := claims.KeyTime(req.IdempotencyKey)
	if !ok {
		return result.New(result.BadKey, "the idempotency key is not a UUIDv7")
	}
	validity, skew := w.keyLimits()
	return claims.CheckKeyTime(minted, now, validity, skew)
}

// heldKey is a key that an attempt of this process holds.
type heldKey struct {
	attempt ledger.ID
	digest  uint64
	// forget is when copies of the key are refused by its age.
	forget time.Time
}

func keyOf(req *wire.RunRequest) claims.Key {
	return claims.NewKey(req.Customer, req.IdempotencyKey, req.SubKey)
}

// heldHere returns the outcome of a copy of a key that this process holds; ok is
// false if it does not. It needs no log. The caller holds mu.
func (w *work) heldHere(req *wire.RunRequest) (o ledger.Outcome, ok bool) {
	if !keyed(req) {
		return o, false
	}
	h, ok := w.held[keyOf(req)]
	if !ok {
		return o, false
	}
	if a := w.ledger.Get(h.attempt); a == nil || a.State == ledger.NotRun {
		return o, false
	}
	return w.lostTo(req, h.digest, w.holder(h.attempt)), true
}

// hold records that a task holds its key. The caller holds mu.
func (w *work) hold(t *task, claim *claims.Record) {
	t.claim = claim
	validity, _ := w.keyLimits()
	w.held[claim.Key] = heldKey{t.id, claim.Digest, time.UnixMilli(claim.KeyTime).Add(validity + forgetMargin)}
}

// forgetKeys drops the keys that are too old. The caller holds mu.
func (w *work) forgetKeys(now time.Time) {
	for k, h := range w.held {
		if now.After(h.forget) {
			delete(w.held, k)
		}
	}
}

// holder names an attempt of this process.
func (w *work) holder(id ledger.ID) ledger.Holder {
	return ledger.Holder{Instance: w.p.settings.Instance.ID, Address: w.p.address, Incarnation: w.p.incarnation, Attempt: id}
}

// newClaim returns the claim of a task for its key.
func (w *work) newClaim(t *task) (*claims.Record, error) {
	id, err := newClaimID()
	if err != nil {
		return nil, err
	}
	minted, _ := claims.KeyTime(t.req.IdempotencyKey)
	return &claims.Record{
		ID: id, Key: keyOf(t.req), KeyTime: minted.UnixMilli(), Digest: t.req.Digest, Holder: w.holder(t.id),
	}, nil
}

// claimThenQueue claims the key of a task, and queues the task if
// the claim holds.
func (w *work) claimThenQueue(t *task) {
	r, err := w.newClaim(t)
	if err != nil {
		w.endPreparing(t, ledger.Outcome{Code: result.Internal, Message: err.Error(), Ran: result.RanNo})
		return
	}
	ctx, cancel := context.WithDeadline(w.ctx, t.deadline)
	defer cancel()
	j, by, err := w.claims.claim(ctx, r)
	switch {
	case err != nil:
		if err == errGivenUp {
			w.limited.Info("A claim was given up.", "request", t.id.Request)
		}
		w.endPreparing(t, ledger.Outcome{
			Code: result.ClaimUnavailable, Message: "the log cannot record the claim of the key", Ran: result.RanNo, RetryAfter: claimRetryAfter,
		})
		if err == errGivenUp {
			w.release(r)
		}
	case j == claims.Held:
		w.queuePrepared(t, r)
	case j == claims.Lost:
		w.endPreparing(t, w.lostTo(t.req, by.Digest, by.Holder))
	default:
		w.endPreparing(t, ledger.Outcome{Code: result.ClaimUnavailable, Message: "the claim is void", Ran: result.RanNo, RetryAfter: claimRetryAfter})
	}
}

// lostTo is the outcome of a call whose key another attempt holds.
func (w *work) lostTo(req *wire.RunRequest, digest uint64, h ledger.Holder) ledger.Outcome {
	switch {
	case digest != req.Digest:
		return ledger.Outcome{Code: result.KeyReused, Message: "the key was used with another body or call", Ran: result.RanNo}
	case h.Instance == w.p.settings.Instance.ID && h.Incarnation != w.p.incarnation:
		return ledger.Outcome{Code: result.HolderGone, Message: "the process that held the key is gone", Ran: result.RanUnknown}
	}
	return ledger.Outcome{Code: result.ClaimLost, Message: "another attempt holds the key", Ran: result.RanNo, Holder: &h}
}

// release voids a claim whose task never runs.
func (w *work) release(r *claims.Record) {
	validity, _ := w.keyLimits()
	w.claims.release(r, time.UnixMilli(r.KeyTime).Add(validity+forgetMargin))
}

// localHolder returns the attempt of this process that holds the key which an
// attempt lost, if there is one.
func (p *Process) localHolder(v view) (ledger.ID, bool) {
	h := v.outcome.Holder
	if v.state != ledger.NotRun || h == nil || h.Instance != p.settings.Instance.ID || h.Incarnation != p.incarnation {
		return ledger.ID{}, false
	}
	return h.Attempt, true
}

func wireHolder(h *ledger.Holder) *wire.ClaimHolder {
	if h == nil {
		return nil
	}
	return &wire.ClaimHolder{Attempt: wireID(h.Attempt), Instance: h.Instance, Address: h.Address, Incarnation: h.Incarnation}
}
