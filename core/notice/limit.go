package notice

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRate is the lowest rate, in requests per second, at which a server is called. Its
	// responses show whether the limit still holds.
	minRate = 1.0 / 60
	// burstTime is the time whose requests may be sent at once, if that is more than one.
	burstTime = 0.5
	// roundingError is a part of a request that does not count.
	roundingError = 1e-6
)

// rate limits the requests to one server. It collects tokens, one for each request.
type rate struct {
	// limit is what the server named, perSecond the part of it that this instance may use.
	limit, perSecond float64
	tokens           float64
	updatedAt        time.Duration
}

// refill adds the tokens of the time since the last call.
func (r *rate) refill(now time.Duration) { r.refillUpTo(now, max(1, burstTime*r.perSecond)) }

// refillUpTo adds the tokens of the time since the last call, up to the given number.
func (r *rate) refillUpTo(now time.Duration, most float64) {
	if now > r.updatedAt {
		r.tokens = min(r.tokens+r.perSecond*(now-r.updatedAt).Seconds(), most)
		r.updatedAt = now
	}
}

// wait returns the time until a request may be sent.
func (r *rate) wait(now time.Duration) time.Duration {
	r.refill(now)
	if r.tokens >= 1-roundingError {
		return 0
	}
	if r.perSecond <= 0 {
		return retention
	}
	return time.Duration((1 - r.tokens) / r.perSecond * float64(time.Second))
}

// limit returns the limit that the server names, or nil.
func (st *state) limit() *float64 {
	if st.rate == nil {
		return nil
	}
	limit := st.rate.limit
	return &limit
}

// setLimit sets the limit that the server names, or none. A new limit begins without
// tokens, since other instances may have sent requests just before.
func (st *state) setLimit(now time.Duration, limit *float64) {
	if limit == nil {
		st.rate = nil
		return
	}
	st.limitNamedAt = now
	if st.rate == nil {
		st.rate = &rate{updatedAt: now}
	}
	st.rate.limit = *limit
}

// rate returns the rate to which an instance keeps for a server, or nil if there is none. It
// adjusts the rate to the instance's share, which changes with the number of instances.
func (t *Table) rate(now time.Duration, s Server) *rate {
	st := t.servers[s]
	if st == nil || st.rate == nil || now-st.heardAt >= retention {
		return nil
	}
	st.rate.refill(now)
	st.rate.perSecond = max(st.rate.limit, minRate) * t.share(s, st.rate.limit)
	return st.rate
}

// Wait returns the time until a server may get a request within its limits.
func (t *Table) Wait(now time.Duration, s Server) time.Duration {
	wait := t.coldWait(now, s)
	if r := t.rate(now, s); r != nil {
		wait = max(wait, r.wait(now))
	}
	return wait
}

// RecordCall records a request to a server.
func (t *Table) RecordCall(now time.Duration, s Server) {
	if r := t.rate(now, s); r != nil {
		r.tokens--
	}
	if r := t.coldRate(now, s); r != nil {
		r.tokens--
	}
}

// Rate returns the requests per second that a server may get from this instance, and false
// if it names no limit and is not cold.
func (t *Table) Rate(now time.Duration, s Server) (float64, bool) {
	named, cold := t.rate(now, s), t.coldRate(now, s)
	switch {
	case named == nil && cold == nil:
		return 0, false
	case named == nil:
		return cold.perSecond, true
	case cold == nil:
		return named.perSecond, true
	}
	return min(named.perSecond, cold.perSecond), true
}

// EntryShare divides limits among entries that call servers without a word to each other.
// Every entry may hold one request in reserve, so only as many entries as the limit allows
// for may call a server at all. Which ones differs by server.
type EntryShare struct {
	// Entries is the number of entries, Rank the number of those before this one.
	Entries, Rank int
}

// unspentRequests is the number of requests at once that any limit allows for.
const unspentRequests = 4

// Of returns the part of a server's limit that the entry may use.
func (e EntryShare) Of(s Server, limit float64) float64 {
	return e.amongCallers(s, unspentRequests+int(min(limit, float64(e.Entries))))
}

// OfCold returns the part of the limit of a cold server that the entry may use, if at most
// holders entries may call the server. It is a ColdShare for servers that each entry calls on
// its own.
func (e EntryShare) OfCold(s Server, holders int) float64 { return e.amongCallers(s, holders) }

// amongCallers returns the part of an entry if a server is called by at most the given number
// of entries.
func (e EntryShare) amongCallers(s Server, most int) float64 {
	if e.Entries <= 0 {
		return 0
	}
	callers := min(e.Entries, most)
	first := int(hash(s) % uint64(e.Entries))
	if (e.Rank-first+e.Entries)%e.Entries >= callers {
		return 0
	}
	return 1 / float64(callers)
}

func hash(s Server) uint64 { return xxhash.Sum64String(s.ID) }
