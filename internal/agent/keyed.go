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

// Defaults that apply while there is no schema.
const (
	defaultKeyValidity = 10 * time.Minute
	defaultKeySkew     = 5 * time.Second
)

// needsClaim tells whether a call may run only under a claim on its idempotency
// key.
func needsClaim(req *wire.RunRequest) bool { return !req.Idempotent && req.IdempotencyKey != "" }

// keyLimits returns the validity of keys and the maximum clock skew of their
// times.
func (w *worker) keyLimits() (validity, skew time.Duration) {
	if s := w.process.config.Current().Schema; s != nil && s.Limits.KeyValidity > 0 {
		return s.Limits.KeyValidity.AsDuration(), s.Limits.MaxKeySkew.AsDuration()
	}
	return defaultKeyValidity, defaultKeySkew
}

// keyValidity returns how long a key is valid after it was minted.
func (w *worker) keyValidity() time.Duration {
	v, _ := w.keyLimits()
	return v
}

// isHomeOf tells whether calls with keys of a partition are routed to this
// agent, according to its own view of the servers. This only decides which
// claim streams are read in advance.
func (w *worker) isHomeOf(partition int) bool {
	if w.process.poolServers == nil || !w.servesKeyedCalls() {
		return false
	}
	s, ok := routing.Home(w.process.poolServers(w.process.settings.Server.Pool), uint64(partition), nil)
	return ok && s.ID == w.process.settings.Instance.ID
}

// servesKeyedCalls tells whether calls with an idempotency key can be routed to
// this agent.
func (w *worker) servesKeyedCalls() bool {
	s := w.process.config.Current().Schema
	if s == nil {
		return false
	}
	pool := s.Pool(w.process.settings.Server.Pool)
	return pool != nil && pool.Kind == schema.KindService
}

// checkKey refuses a key that is not a UUIDv7 or whose time is out of range.
func (w *worker) checkKey(now time.Time, req *wire.RunRequest) *result.Error {
	if !needsClaim(req) {
		return nil
	}
	minted, ok := claims.KeyTime(req.IdempotencyKey)
	if !ok {
		return result.New(result.BadKey, "the idempotency key is not a UUIDv7")
	}
	validity, skew := w.keyLimits()
	return claims.CheckKeyTime(minted, now, validity, skew)
}

// heldKey is the record of a key that is held by an attempt of this process.
type heldKey struct {
	attempt ledger.ID
	digest  uint64
	// expiry is the time from which duplicates are refused because of the key's
	// age.
	expiry time.Time
}

// claimKey returns the hash under which the key of a call is claimed.
func claimKey(req *wire.RunRequest) claims.Key {
	return claims.NewKey(req.Customer, req.IdempotencyKey, req.SubKey)
}

// duplicateOutcome returns the outcome of a call whose key is held by an
// attempt of this process; ok is false if there is none. It works while the log
// is unavailable. The caller holds mu.
func (w *worker) duplicateOutcome(req *wire.RunRequest) (o ledger.Outcome, ok bool) {
	if !needsClaim(req) {
		return o, false
	}
	h, ok := w.heldKeys[claimKey(req)]
	if !ok {
		return o, false
	}
	if a := w.ledger.Get(h.attempt); a == nil || a.State == ledger.NotRun {
		return o, false
	}
	return w.keyTakenOutcome(req, h.digest, w.holderOf(h.attempt)), true
}

// recordHeldKey records that a task holds its key. The caller holds mu.
func (w *worker) recordHeldKey(t *task, claim *claims.Record) {
	t.claim = claim
	validity, _ := w.keyLimits()
	w.heldKeys[claim.Key] = heldKey{t.id, claim.Digest, time.UnixMilli(claim.KeyTime).Add(validity + claimRetentionMargin)}
}

// expireHeldKeys removes the records of expired keys. The caller holds mu.
func (w *worker) expireHeldKeys(now time.Time) {
	for k, h := range w.heldKeys {
		if now.After(h.expiry) {
			delete(w.heldKeys, k)
		}
	}
}

// holderOf returns the holder record for an attempt of this process.
func (w *worker) holderOf(id ledger.ID) ledger.Holder {
	return ledger.Holder{Instance: w.process.settings.Instance.ID, Address: w.process.address, Incarnation: w.process.incarnation, Attempt: id}
}

// newClaimRecord returns a claim on the key of a task.
func (w *worker) newClaimRecord(t *task) (*claims.Record, error) {
	id, err := newClaimID()
	if err != nil {
		return nil, err
	}
	minted, _ := claims.KeyTime(t.req.IdempotencyKey)
	return &claims.Record{
		ID: id, Key: claimKey(t.req), KeyTime: minted.UnixMilli(), Digest: t.req.Digest, Holder: w.holderOf(t.id),
	}, nil
}

// claimAndEnqueue claims the key of a task, and queues the task if the claim
// holds.
func (w *worker) claimAndEnqueue(t *task) {
	r, err := w.newClaimRecord(t)
	if err != nil {
		w.refusePrepared(t, ledger.Outcome{Code: result.Internal, Message: err.Error(), Ran: result.RanNo})
		return
	}
	ctx, cancel := context.WithDeadline(w.ctx, t.deadline)
	defer cancel()
	j, winner, err := w.claimer.claim(ctx, r)
	switch {
	case err != nil:
		if err == errClaimTimeout {
			w.limitedLog.Info("Claiming a key timed out.", "request", t.id.Request)
		}
		w.refusePrepared(t, ledger.Outcome{
			Code: result.ClaimUnavailable, Message: "the log cannot record the claim of the key", Ran: result.RanNo, RetryAfter: claimRetryAfter,
		})
		if err == errClaimTimeout {
			w.releaseClaim(r)
		}
	case j == claims.Held:
		w.enqueuePrepared(t, r)
	case j == claims.Lost:
		w.refusePrepared(t, w.keyTakenOutcome(t.req, winner.Digest, winner.Holder))
	default:
		w.refusePrepared(t, ledger.Outcome{Code: result.ClaimUnavailable, Message: "the claim is void", Ran: result.RanNo, RetryAfter: claimRetryAfter})
	}
}

// keyTakenOutcome returns the outcome of a call whose key is held by another
// attempt.
func (w *worker) keyTakenOutcome(req *wire.RunRequest, digest uint64, h ledger.Holder) ledger.Outcome {
	switch {
	case digest != req.Digest:
		return ledger.Outcome{Code: result.KeyReused, Message: "the key was used with another body or call", Ran: result.RanNo}
	case h.Instance == w.process.settings.Instance.ID && h.Incarnation != w.process.incarnation:
		return ledger.Outcome{Code: result.HolderGone, Message: "the process that held the key is gone", Ran: result.RanUnknown}
	}
	return ledger.Outcome{Code: result.ClaimLost, Message: "another attempt holds the key", Ran: result.RanNo, Holder: &h}
}

// releaseClaim voids a claim whose task never runs.
func (w *worker) releaseClaim(r *claims.Record) {
	validity, _ := w.keyLimits()
	w.claimer.release(r, time.UnixMilli(r.KeyTime).Add(validity+claimRetentionMargin))
}

// localHolder returns the attempt of this process that holds the key which the
// viewed attempt failed to claim; ok is false if there is none.
func (p *Process) localHolder(v attemptView) (ledger.ID, bool) {
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
