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

// simClaim is a claim of an agent that has not been settled.
type simClaim struct {
	record Record
	agent  int
}

// sim is a log with lost answers and late writes, and agents that read it at
// their own pace.
type sim struct {
	t       *rapid.T
	log     [][]byte
	late    [][]byte
	agents  []*Partition
	pending []simClaim
	nextID  uint64
	ran     map[Key]int
	judged  map[ID]Judgement
}

func (s *sim) append(data []byte) {
	switch rapid.SampledFrom([]string{"ok", "ok", "lost answer", "late", "doubled", "down"}).Draw(s.t, "append") {
	case "ok", "lost answer":
		s.log = append(s.log, data)
	case "late":
		s.late = append(s.late, data)
	case "doubled":
		s.log = append(s.log, data)
		s.late = append(s.late, data)
	}
}

func (s *sim) claim() {
	s.nextID++
	r := Record{Minted: epoch.UnixMilli(), Holder: ledger.Holder{Instance: "a", Incarnation: s.nextID, Attempt: ledger.ID{Request: "r"}}}
	binary.BigEndian.PutUint64(r.ID[:], s.nextID)
	r.Key[0] = byte(rapid.IntRange(0, 2).Draw(s.t, "key"))
	s.pending = append(s.pending, simClaim{r, rapid.IntRange(0, len(s.agents)-1).Draw(s.t, "agent")})
	s.append(r.Encode())
}

// pick returns one pending claim.
func (s *sim) pick() (int, simClaim) {
	i := rapid.IntRange(0, len(s.pending)-1).Draw(s.t, "pending")
	return i, s.pending[i]
}

func (s *sim) remove(i int) { s.pending = append(s.pending[:i], s.pending[i+1:]...) }

func (s *sim) giveUp(release bool) {
	i, c := s.pick()
	s.remove(i)
	if release {
		r := Record{ID: c.record.ID, Key: c.record.Key, Minted: c.record.Minted, Release: true}
		s.append(r.Encode())
	}
}

func (s *sim) settle() {
	i, c := s.pick()
	switch j, _ := s.agents[c.agent].Judge(c.record.ID); j {
	case Held:
		s.ran[c.record.Key]++
		if s.ran[c.record.Key] > 1 {
			s.t.Fatalf("key %v ran %d times", c.record.Key, s.ran[c.record.Key])
		}
		s.remove(i)
	case Lost, Void:
		s.remove(i)
	}
}

func (s *sim) read(agent, n int) {
	p := s.agents[agent]
	for ; n > 0 && int(p.Next()) <= len(s.log); n-- {
		data := s.log[p.Next()-1]
		r, _ := Decode(data)
		before, _ := p.Judge(r.ID)
		p.Fold(p.Next(), data)
		after, _ := p.Judge(r.ID)
		if before != Unjudged || r.Release {
			if before == Lost && after == Held {
				s.t.Fatalf("claim %v was revived", r.ID)
			}
			continue
		}
		if known, ok := s.judged[r.ID]; ok && known != after {
			s.t.Fatalf("claim %v judged %v and %v", r.ID, known, after)
		}
		s.judged[r.ID] = after
	}
}

// crash replaces an agent; its claims are never run.
func (s *sim) crash(agent int) {
	s.agents[agent] = New()
	kept := s.pending[:0]
	for _, c := range s.pending {
		if c.agent != agent {
			kept = append(kept, c)
		}
	}
	s.pending = kept
}

// TestAtMostOneExecutionPerKey checks the claim protocol over any interleaving of
// agents, with lost answers, late and doubled writes, outages and crashes.
func TestAtMostOneExecutionPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &sim{t: t, ran: map[Key]int{}, judged: map[ID]Judgement{}}
		for range 3 {
			s.agents = append(s.agents, New())
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			op := rapid.SampledFrom([]string{"claim", "read", "read", "settle", "settle", "retry", "give up", "land", "crash"}).Draw(t, "op")
			switch {
			case op == "claim":
				s.claim()
			case op == "read":
				s.read(rapid.IntRange(0, 2).Draw(t, "agent"), rapid.IntRange(1, 10).Draw(t, "n"))
			case op == "land" && len(s.late) > 0:
				i := rapid.IntRange(0, len(s.late)-1).Draw(t, "late")
				s.log = append(s.log, s.late[i])
				s.late = append(s.late[:i], s.late[i+1:]...)
			case op == "crash" && rapid.IntRange(0, 9).Draw(t, "rare") == 0:
				s.crash(rapid.IntRange(0, 2).Draw(t, "agent"))
			case len(s.pending) == 0:
			case op == "settle":
				s.settle()
			case op == "retry":
				_, c := s.pick()
				s.append(c.record.Encode())
			case op == "give up":
				s.giveUp(true)
			}
		}
		for a := range s.agents {
			s.read(a, len(s.log))
		}
	})
}

func record(id, key byte, release bool) []byte {
	r := Record{ID: ID{id}, Key: Key{key}, Minted: epoch.UnixMilli(), Release: release, Holder: ledger.Holder{Instance: fmt.Sprint(id)}}
	return r.Encode()
}

func TestFold(t *testing.T) {
	type step struct {
		id, key byte
		release bool
	}
	cases := []struct {
		name  string
		steps []step
		want  map[byte]Judgement
	}{
		{"first holds", []step{{1, 1, false}, {2, 1, false}}, map[byte]Judgement{1: Held, 2: Lost}},
		{"other keys do not matter", []step{{1, 1, false}, {2, 2, false}}, map[byte]Judgement{1: Held, 2: Held}},
		{"release frees the key for later claims", []step{{1, 1, false}, {1, 1, true}, {2, 1, false}}, map[byte]Judgement{1: Void, 2: Held}},
		{"a lost claim is not revived", []step{{1, 1, false}, {2, 1, false}, {1, 1, true}, {2, 1, false}, {3, 1, false}}, map[byte]Judgement{2: Lost, 3: Held}},
		{"a claim after its release is void", []step{{1, 1, true}, {1, 1, false}, {2, 1, false}}, map[byte]Judgement{1: Void, 2: Held}},
		{"a doubled claim is judged once", []step{{1, 1, false}, {1, 1, false}, {1, 1, true}, {1, 1, false}}, map[byte]Judgement{1: Void}},
		{"release of a lost claim frees nothing", []step{{1, 1, false}, {2, 1, false}, {2, 1, true}, {3, 1, false}}, map[byte]Judgement{1: Held, 2: Void, 3: Lost}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := New()
			for _, st := range c.steps {
				p.Fold(p.Next(), record(st.id, st.key, st.release))
			}
			for id, want := range c.want {
				got, _ := p.Judge(ID{id})
				assert.Equal(t, got, want, "claim %d", id)
			}
		})
	}
}

func TestFoldIgnoresGarbageAndOtherOffsets(t *testing.T) {
	p := New()
	p.Fold(1, []byte("{"))
	p.Fold(1, record(1, 1, false))
	p.Fold(3, record(1, 1, false))
	assert.Equal(t, p.Next(), uint64(2))
	assert.Equal(t, p.Len(), 0)
	p.Skip(10)
	p.Skip(5)
	p.Fold(10, record(1, 1, false))
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

func TestKeyTime(t *testing.T) {
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	minted, ok := Minted(key.String())
	assert.Assert(t, ok)
	const validity, skew = 10 * time.Minute, 5 * time.Second
	cases := []struct {
		now  time.Time
		code result.Code
		ran  result.Ran
	}{
		{minted, result.OK, 0},
		{minted.Add(-skew), result.OK, 0},
		{minted.Add(-skew - time.Millisecond), result.KeyFromFuture, result.RanNo},
		{minted.Add(validity), result.OK, 0},
		{minted.Add(validity + time.Millisecond), result.KeyExpired, result.RanUnknown},
	}
	for _, c := range cases {
		e := CheckTime(minted, c.now, validity, skew)
		if c.code == result.OK {
			assert.Assert(t, e == nil)
			continue
		}
		assert.Equal(t, e.Code, c.code)
		assert.Equal(t, e.Ran, c.ran)
	}
	for _, bad := range []string{"", "x", "{" + key.String() + "}", uuid.New().String(), "urn:uuid:" + key.String()} {
		_, ok := Minted(bad)
		assert.Assert(t, !ok, bad)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(record(1, 1, false))
	f.Add(record(1, 1, true))
	f.Add([]byte(`{"id":[1]}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		p := New()
		p.Fold(1, b)
		p.Fold(2, b)
	})
}

func BenchmarkFold(b *testing.B) {
	b.ReportAllocs()
	p := New()
	for i := uint64(1); b.Loop(); i++ {
		r := Record{Minted: epoch.UnixMilli(), Holder: ledger.Holder{Instance: "agent-1", Address: "10.0.0.1:7000", Incarnation: i, Attempt: ledger.ID{Request: "entry-1~abcdefgh.ijklmnop"}}}
		binary.BigEndian.PutUint64(r.ID[:], i)
		binary.BigEndian.PutUint64(r.Key[:], i)
		p.Fold(i, r.Encode())
	}
	b.ReportMetric(float64(len((&Record{Minted: epoch.UnixMilli(), Holder: ledger.Holder{Instance: "agent-1", Address: "10.0.0.1:7000", Incarnation: 1 << 63, Attempt: ledger.ID{Request: "entry-1~abcdefgh.ijklmnop"}}}).Encode())), "record-B")
}
