package claims

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnoliawheel/magnoliawheel/core/ledger"
	"github.com/magnoliawheel/magnoliawheel/core/result"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// pendingClaim is a claim of an agent that does not know its status yet.
type pendingClaim struct {
	record Record
	agent  int
}

// logModel is a log with lost responses and delayed appends, and agents that read it
// independently.
type logModel struct {
	t           *rapid.T
	log         [][]byte
	delayed     [][]byte
	agents      []*Partition
	pending     []pendingClaim
	nextID      uint64
	executions  map[Key]int
	firstStatus map[ID]Status
}

// appendWithFaults appends a record, or delays, repeats or drops it. A lost response
// is an append that takes effect.
func (s *logModel) appendWithFaults(data []byte) {
	switch rapid.SampledFrom([]string{"ok", "ok", "lost response", "delayed", "repeated", "unavailable"}).Draw(s.t, "append") {
	case "ok", "lost response":
		s.log = append(s.log, data)
	case "delayed":
		s.delayed = append(s.delayed, data)
	case "repeated":
		s.log = append(s.log, data)
		s.delayed = append(s.delayed, data)
	}
}

// appendClaim lets an agent claim one of a few keys.
func (s *logModel) appendClaim() {
	s.nextID++
	r := Record{KeyTime: epoch.UnixMilli(), Holder: ledger.Holder{Instance: "a", Incarnation: s.nextID, Attempt: ledger.ID{Request: "r"}}}
	binary.BigEndian.PutUint64(r.ID[:], s.nextID)
	r.Key[0] = byte(rapid.IntRange(0, 2).Draw(s.t, "key"))
	s.pending = append(s.pending, pendingClaim{r, rapid.IntRange(0, len(s.agents)-1).Draw(s.t, "agent")})
	s.appendWithFaults(r.Encode())
}

// drawPending returns a pending claim and its index.
func (s *logModel) drawPending() (int, pendingClaim) {
	i := rapid.IntRange(0, len(s.pending)-1).Draw(s.t, "pending")
	return i, s.pending[i]
}

func (s *logModel) removePending(i int) { s.pending = append(s.pending[:i], s.pending[i+1:]...) }

// abandon makes an agent stop waiting for a claim, with or without releasing it.
func (s *logModel) abandon(release bool) {
	i, c := s.drawPending()
	s.removePending(i)
	if release {
		r := Record{ID: c.record.ID, Key: c.record.Key, KeyTime: c.record.KeyTime, Release: true}
		s.appendWithFaults(r.Encode())
	}
}

// resolve lets an agent act on the status of its claim: it runs the work if the claim
// is held.
func (s *logModel) resolve() {
	i, c := s.drawPending()
	switch status, _ := s.agents[c.agent].Status(c.record.ID); status {
	case Held:
		s.executions[c.record.Key]++
		if s.executions[c.record.Key] > 1 {
			s.t.Fatalf("key %v ran %d times", c.record.Key, s.executions[c.record.Key])
		}
		s.removePending(i)
	case Lost, Released:
		s.removePending(i)
	}
}

// advance lets an agent apply up to n records. All agents must see the same first
// status of a claim, and a lost claim must never become held.
func (s *logModel) advance(agent, n int) {
	p := s.agents[agent]
	for ; n > 0 && int(p.Next()) <= len(s.log); n-- {
		data := s.log[p.Next()-1]
		r, _ := Decode(data)
		before, _ := p.Status(r.ID)
		p.Apply(p.Next(), data)
		after, _ := p.Status(r.ID)
		if before != Pending || r.Release {
			if before == Lost && after == Held {
				s.t.Fatalf("claim %v went from lost to held", r.ID)
			}
			continue
		}
		if previous, ok := s.firstStatus[r.ID]; ok && previous != after {
			s.t.Fatalf("claim %v has status %v for one agent and %v for another", r.ID, previous, after)
		}
		s.firstStatus[r.ID] = after
	}
}

// restartAgent replaces an agent. The work of its pending claims is never run.
func (s *logModel) restartAgent(agent int) {
	s.agents[agent] = New()
	remaining := s.pending[:0]
	for _, c := range s.pending {
		if c.agent != agent {
			remaining = append(remaining, c)
		}
	}
	s.pending = remaining
}

// TestAtMostOneExecutionPerKey interleaves the claims of several agents with lost
// responses, delayed and repeated appends, outages and crashes.
func TestAtMostOneExecutionPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &logModel{t: t, executions: map[Key]int{}, firstStatus: map[ID]Status{}}
		for range 3 {
			s.agents = append(s.agents, New())
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			op := rapid.SampledFrom([]string{"claim", "advance", "advance", "resolve", "resolve", "retry", "abandon", "deliver", "crash"}).Draw(t, "op")
			switch {
			case op == "claim":
				s.appendClaim()
			case op == "advance":
				s.advance(rapid.IntRange(0, 2).Draw(t, "agent"), rapid.IntRange(1, 10).Draw(t, "records"))
			case op == "deliver" && len(s.delayed) > 0:
				i := rapid.IntRange(0, len(s.delayed)-1).Draw(t, "delayed")
				s.log = append(s.log, s.delayed[i])
				s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
			case op == "crash" && rapid.IntRange(0, 9).Draw(t, "crash chance") == 0:
				s.restartAgent(rapid.IntRange(0, 2).Draw(t, "agent"))
			case len(s.pending) == 0:
			case op == "resolve":
				s.resolve()
			case op == "retry":
				_, c := s.drawPending()
				s.appendWithFaults(c.record.Encode())
			case op == "abandon":
				s.abandon(true)
			}
		}
		for a := range s.agents {
			s.advance(a, len(s.log))
		}
	})
}

// encodeRecord returns a claim, or its release.
func encodeRecord(id, key byte, release bool) []byte {
	r := Record{ID: ID{id}, Key: Key{key}, KeyTime: epoch.UnixMilli(), Release: release, Holder: ledger.Holder{Instance: fmt.Sprint(id)}}
	return r.Encode()
}

func TestApply(t *testing.T) {
	type step struct {
		id, key byte
		release bool
	}
	cases := []struct {
		name  string
		steps []step
		want  map[byte]Status
	}{
		{"the first claim is held", []step{{1, 1, false}, {2, 1, false}}, map[byte]Status{1: Held, 2: Lost}},
		{"claims on different keys are independent", []step{{1, 1, false}, {2, 2, false}}, map[byte]Status{1: Held, 2: Held}},
		{"a release allows later claims", []step{{1, 1, false}, {1, 1, true}, {2, 1, false}}, map[byte]Status{1: Released, 2: Held}},
		{"a lost claim stays lost after the release", []step{{1, 1, false}, {2, 1, false}, {1, 1, true}, {2, 1, false}, {3, 1, false}}, map[byte]Status{2: Lost, 3: Held}},
		{"a claim after its release is released", []step{{1, 1, true}, {1, 1, false}, {2, 1, false}}, map[byte]Status{1: Released, 2: Held}},
		{"a repeated claim record has no effect", []step{{1, 1, false}, {1, 1, false}, {1, 1, true}, {1, 1, false}}, map[byte]Status{1: Released}},
		{"the release of a lost claim does not release the key", []step{{1, 1, false}, {2, 1, false}, {2, 1, true}, {3, 1, false}}, map[byte]Status{1: Held, 2: Released, 3: Lost}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := New()
			for _, st := range c.steps {
				p.Apply(p.Next(), encodeRecord(st.id, st.key, st.release))
			}
			for id, want := range c.want {
				got, _ := p.Status(ID{id})
				assert.Equal(t, got, want, "claim %d", id)
			}
		})
	}
}

func TestApplyIgnoresMalformedRecordsAndOtherOffsets(t *testing.T) {
	p := New()
	p.Apply(1, []byte("{"))
	p.Apply(1, encodeRecord(1, 1, false))
	p.Apply(3, encodeRecord(1, 1, false))
	assert.Equal(t, p.Next(), uint64(2))
	assert.Equal(t, p.Len(), 0)
	p.Skip(10)
	p.Skip(5)
	p.Apply(10, encodeRecord(1, 1, false))
	h, ok := p.Holder(Key{1})
	assert.Assert(t, ok)
	assert.Equal(t, h.Holder.Instance, "1")
	p.Expire(epoch)
	assert.Equal(t, p.Len(), 1)
	p.Expire(epoch.Add(time.Millisecond))
	assert.Equal(t, p.Len(), 0)
	_, ok = p.Holder(Key{1})
	assert.Assert(t, !ok)
}

func TestCheckKeyTime(t *testing.T) {
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	keyTime, ok := KeyTime(key.String())
	assert.Assert(t, ok)
	const validity, skew = 10 * time.Minute, 5 * time.Second
	cases := []struct {
		now  time.Time
		code result.Code
		ran  result.Ran
	}{
		{keyTime, result.OK, 0},
		{keyTime.Add(-skew), result.OK, 0},
		{keyTime.Add(-skew - time.Millisecond), result.KeyFromFuture, result.RanNo},
		{keyTime.Add(validity), result.OK, 0},
		{keyTime.Add(validity + time.Millisecond), result.KeyExpired, result.RanUnknown},
	}
	for _, c := range cases {
		e := CheckKeyTime(keyTime, c.now, validity, skew)
		if c.code == result.OK {
			assert.Assert(t, e == nil)
			continue
		}
		assert.Equal(t, e.Code, c.code)
		assert.Equal(t, e.Ran, c.ran)
	}
	for _, invalid := range []string{"", "x", "{" + key.String() + "}", uuid.New().String(), "urn:uuid:" + key.String()} {
		_, ok := KeyTime(invalid)
		assert.Assert(t, !ok, invalid)
	}
}

// FuzzDecode applies arbitrary bytes as records.
func FuzzDecode(f *testing.F) {
	f.Add(encodeRecord(1, 1, false))
	f.Add(encodeRecord(1, 1, true))
	f.Add([]byte(`{"id":[1]}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		p := New()
		p.Apply(1, b)
		p.Apply(2, b)
	})
}

func BenchmarkApply(b *testing.B) {
	b.ReportAllocs()
	p := New()
	for i := uint64(1); b.Loop(); i++ {
		r := Record{KeyTime: epoch.UnixMilli(), Holder: ledger.Holder{Instance: "agent-1", Address: "10.0.0.1:7000", Incarnation: i, Attempt: ledger.ID{Request: "entry-1~abcdefgh.ijklmnop"}}}
		binary.BigEndian.PutUint64(r.ID[:], i)
		binary.BigEndian.PutUint64(r.Key[:], i)
		p.Apply(i, r.Encode())
	}
	b.ReportMetric(float64(len((&Record{KeyTime: epoch.UnixMilli(), Holder: ledger.Holder{Instance: "agent-1", Address: "10.0.0.1:7000", Incarnation: 1 << 63, Attempt: ledger.ID{Request: "entry-1~abcdefgh.ijklmnop"}}}).Encode())), "record-B")
}
