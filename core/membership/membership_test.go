package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// at returns a time of the platform's clock.
func at(second int) time.Time { return time.Unix(int64(second), 0) }

func agent(id string) Instance {
	return Instance{ID: id, Role: RoleAgent, Pool: "engines", Addr: "10.0.0." + id, Zone: "z", Region: "r"}
}

func leaving(in Instance) Instance {
	in.Leaving = true
	return in
}

func moved(in Instance, addr string) Instance {
	in.Addr = addr
	return in
}

// describe lists the instances as "id" or "id leaving".
func describe(t *Table) []string {
	list := []string{}
	for _, in := range t.Instances() {
		if in.Leaving {
			in.ID += " leaving"
		}
		list = append(list, in.ID)
	}
	return list
}

func TestFaults(t *testing.T) {
	both := []Instance{agent("1"), agent("2")}
	for _, tc := range []struct {
		name  string
		steps func(*Table)
		want  []string
	}{
		{"listed", func(m *Table) {}, []string{"1", "2"}},
		{"empty list after an outage of the list", func(m *Table) {
			for i := range 5 {
				m.SetList(nil, at(2+i))
			}
		}, []string{"1", "2"}},
		{"older list after a newer one", func(m *Table) { m.SetList(both[:1], at(0)) }, []string{"1", "2"}},
		{"frozen list", func(m *Table) {
			for range 5 {
				m.SetList(both[:1], at(1))
			}
		}, []string{"1", "2"}},
		{"missing from one list", func(m *Table) { m.SetList(both[:1], at(2)) }, []string{"1", "2"}},
		{"missing from two lists", func(m *Table) {
			m.SetList(both[:1], at(2))
			m.SetList(both[:1], at(3))
		}, []string{"1"}},
		{"missing, back, missing", func(m *Table) {
			m.SetList(both[:1], at(2))
			m.SetList(both, at(3))
			m.SetList(both[:1], at(4))
		}, []string{"1", "2"}},
		{"leaving by the list", func(m *Table) { m.SetList([]Instance{both[0], leaving(both[1])}, at(2)) }, []string{"1", "2 leaving"}},
		{"live again by the list after an outage", func(m *Table) {
			m.SetList([]Instance{both[0], leaving(both[1])}, at(2))
			m.SetList(both, at(3))
		}, []string{"1", "2"}},
		{"refusal before the list", func(m *Table) {
			m.Leaving("2", 7)
			m.SetList(both, at(2))
			m.SetList(both, at(3))
		}, []string{"1", "2 leaving"}},
		{"refusal, then heartbeats of the same incarnation", func(m *Table) {
			m.Leaving("2", 7)
			m.Seen("2", 7)
		}, []string{"1", "2 leaving"}},
		{"refusal, then a new incarnation", func(m *Table) {
			m.Leaving("2", 7)
			m.Seen("2", 8)
		}, []string{"1", "2"}},
		{"refusal, then a new incarnation whose clock is behind", func(m *Table) {
			m.Leaving("2", 7)
			m.Seen("2", 3)
			m.Leaving("2", 7)
		}, []string{"1", "2"}},
		{"refusal of the new incarnation too", func(m *Table) {
			m.Leaving("2", 7)
			m.Seen("2", 3)
			m.Leaving("2", 3)
		}, []string{"1", "2 leaving"}},
		{"message without an incarnation", func(m *Table) {
			m.Leaving("1", 0)
			m.Leaving("2", 7)
			m.Seen("2", 0)
		}, []string{"1", "2 leaving"}},
		{"late refusal of an old incarnation", func(m *Table) {
			m.Seen("2", 7)
			m.Seen("2", 8)
			m.Leaving("2", 7)
		}, []string{"1", "2"}},
		{"late heartbeat of an old incarnation", func(m *Table) {
			m.Seen("2", 7)
			m.Leaving("2", 8)
			m.Seen("2", 7)
		}, []string{"1", "2 leaving"}},
		{"refusal of an instance that is not listed yet", func(m *Table) {
			m.Leaving("3", 1)
			m.SetList(append(slices.Clone(both), agent("3")), at(2))
		}, []string{"1", "2", "3 leaving"}},
		{"replaced at the same address", func(m *Table) {
			m.Leaving("2", 7)
			m.SetList([]Instance{both[0], moved(agent("3"), both[1].Addr)}, at(2))
		}, []string{"1", "3"}},
		{"replaced at the same address without a notice", func(m *Table) {
			m.SetList([]Instance{both[0], moved(agent("3"), both[1].Addr)}, at(2))
		}, []string{"1", "3"}},
		{"replacement listed beside the one that leaves, at the same address", func(m *Table) {
			m.SetList([]Instance{both[0], leaving(both[1]), moved(agent("3"), both[1].Addr)}, at(2))
		}, []string{"1", "3"}},
		{"same id at another address", func(m *Table) {
			m.Leaving("2", 7)
			m.SetList([]Instance{both[0], moved(both[1], "10.0.0.9")}, at(2))
			m.Seen("2", 8)
		}, []string{"1", "2"}},
		{"listed twice", func(m *Table) { m.SetList([]Instance{both[0], both[0], both[1]}, at(2)) }, []string{"1", "2"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := NewTable()
			assert.Assert(t, m.SetList(both, at(1)))
			tc.steps(m)
			assert.DeepEqual(t, describe(m), tc.want)
		})
	}
}

// TestVersionChangesWithInstances checks that no step changes the answer without
// a new version, and that a leaving mark ends only with an incarnation not seen
// before.
func TestVersionChangesWithInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewTable()
		// known holds the incarnations of each id in the order first seen.
		known, marked := map[string][]uint64{}, map[string]bool{}
		now := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before, version := describe(m), m.Version()
			id := fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "id"))
			incarnation := rapid.Uint64Range(1, 6).Draw(t, "incarnation")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				now++
				var list []Instance
				for i := 1; i <= 4; i++ {
					if rapid.Bool().Draw(t, "listed") {
						list = append(list, agent(fmt.Sprint(i)))
					}
				}
				m.SetList(list, at(now))
			case 1:
				m.Seen(id, incarnation)
				if !slices.Contains(known[id], incarnation) {
					known[id] = append(known[id], incarnation)
					delete(marked, id)
				}
			case 2:
				m.Leaving(id, incarnation)
				if !slices.Contains(known[id], incarnation) {
					known[id] = append(known[id], incarnation)
				}
				if last := known[id][len(known[id])-1]; last == incarnation {
					marked[id] = true
				}
			}
			if !slices.Equal(before, describe(m)) {
				assert.Assert(t, m.Version() != version)
			}
			for _, in := range m.Instances() {
				assert.Equal(t, in.Leaving, marked[in.ID], "instance %s", in.ID)
			}
		}
	})
}
