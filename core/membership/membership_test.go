package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// listTime returns the time of a list, by the platform's clock.
func listTime(second int) time.Time { return time.Unix(int64(second), 0) }

func newAgent(id string) Instance {
	return Instance{ID: id, Role: RoleAgent, Pool: "engines", Addr: "10.0.0." + id, Zone: "z", Region: "r"}
}

// asLeaving returns the instance marked as leaving by the platform.
func asLeaving(in Instance) Instance {
	in.Leaving = true
	return in
}

func withAddr(in Instance, addr string) Instance {
	in.Addr = addr
	return in
}

// instanceNames formats each instance as "id" or "id leaving".
func instanceNames(t *Table) []string {
	list := []string{}
	for _, in := range t.Instances() {
		if in.Leaving {
			in.ID += " leaving"
		}
		list = append(list, in.ID)
	}
	return list
}

func TestInstancesAfterFaults(t *testing.T) {
	both := []Instance{newAgent("1"), newAgent("2")}
	for _, tc := range []struct {
		name  string
		steps func(*Table)
		want  []string
	}{
		{"no fault", func(m *Table) {}, []string{"1", "2"}},
		{"empty lists after an outage of the list service", func(m *Table) {
			for i := range 5 {
				m.SetList(nil, listTime(2+i))
			}
		}, []string{"1", "2"}},
		{"older list after a newer one", func(m *Table) { m.SetList(both[:1], listTime(0)) }, []string{"1", "2"}},
		{"list whose time does not advance", func(m *Table) {
			for range 5 {
				m.SetList(both[:1], listTime(1))
			}
		}, []string{"1", "2"}},
		{"missing from one list", func(m *Table) { m.SetList(both[:1], listTime(2)) }, []string{"1", "2"}},
		{"missing from two lists", func(m *Table) {
			m.SetList(both[:1], listTime(2))
			m.SetList(both[:1], listTime(3))
		}, []string{"1"}},
		{"missing, listed again, missing", func(m *Table) {
			m.SetList(both[:1], listTime(2))
			m.SetList(both, listTime(3))
			m.SetList(both[:1], listTime(4))
		}, []string{"1", "2"}},
		{"leaving by the list", func(m *Table) { m.SetList([]Instance{both[0], asLeaving(both[1])}, listTime(2)) }, []string{"1", "2 leaving"}},
		{"no longer leaving by a newer list", func(m *Table) {
			m.SetList([]Instance{both[0], asLeaving(both[1])}, listTime(2))
			m.SetList(both, listTime(3))
		}, []string{"1", "2"}},
		{"refusal, then newer lists without the leaving mark", func(m *Table) {
			m.MarkLeaving("2", 7)
			m.SetList(both, listTime(2))
			m.SetList(both, listTime(3))
		}, []string{"1", "2 leaving"}},
		{"refusal, then a heartbeat from the same incarnation", func(m *Table) {
			m.MarkLeaving("2", 7)
			m.RecordIncarnation("2", 7)
		}, []string{"1", "2 leaving"}},
		{"refusal, then a new incarnation", func(m *Table) {
			m.MarkLeaving("2", 7)
			m.RecordIncarnation("2", 8)
		}, []string{"1", "2"}},
		{"refusal, then a new incarnation whose clock is behind", func(m *Table) {
			m.MarkLeaving("2", 7)
			m.RecordIncarnation("2", 3)
			m.MarkLeaving("2", 7)
		}, []string{"1", "2"}},
		{"refusal from the new incarnation too", func(m *Table) {
			m.MarkLeaving("2", 7)
			m.RecordIncarnation("2", 3)
			m.MarkLeaving("2", 3)
		}, []string{"1", "2 leaving"}},
		{"messages without an incarnation are ignored", func(m *Table) {
			m.MarkLeaving("1", 0)
			m.MarkLeaving("2", 7)
			m.RecordIncarnation("2", 0)
		}, []string{"1", "2 leaving"}},
		{"delayed refusal from a past incarnation", func(m *Table) {
			m.RecordIncarnation("2", 7)
			m.RecordIncarnation("2", 8)
			m.MarkLeaving("2", 7)
		}, []string{"1", "2"}},
		{"delayed heartbeat from a past incarnation", func(m *Table) {
			m.RecordIncarnation("2", 7)
			m.MarkLeaving("2", 8)
			m.RecordIncarnation("2", 7)
		}, []string{"1", "2 leaving"}},
		{"refusal from an instance that is not listed yet", func(m *Table) {
			m.MarkLeaving("3", 1)
			m.SetList(append(slices.Clone(both), newAgent("3")), listTime(2))
		}, []string{"1", "2", "3 leaving"}},
		{"replaced at the same address", func(m *Table) {
			m.MarkLeaving("2", 7)
			m.SetList([]Instance{both[0], withAddr(newAgent("3"), both[1].Addr)}, listTime(2))
		}, []string{"1", "3"}},
		{"replaced at the same address without a refusal", func(m *Table) {
			m.SetList([]Instance{both[0], withAddr(newAgent("3"), both[1].Addr)}, listTime(2))
		}, []string{"1", "3"}},
		{"replacement and leaving instance listed at the same address", func(m *Table) {
			m.SetList([]Instance{both[0], asLeaving(both[1]), withAddr(newAgent("3"), both[1].Addr)}, listTime(2))
		}, []string{"1", "3"}},
		{"same id at another address", func(m *Table) {
			m.MarkLeaving("2", 7)
			m.SetList([]Instance{both[0], withAddr(both[1], "10.0.0.9")}, listTime(2))
			m.RecordIncarnation("2", 8)
		}, []string{"1", "2"}},
		{"listed twice in one list", func(m *Table) { m.SetList([]Instance{both[0], both[0], both[1]}, listTime(2)) }, []string{"1", "2"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := NewTable()
			assert.Assert(t, m.SetList(both, listTime(1)))
			tc.steps(m)
			assert.DeepEqual(t, instanceNames(m), tc.want)
		})
	}
}

// TestVersionChangesWithInstances checks that the result of Instances changes only
// together with the version, and that an instance stops leaving only when a new
// incarnation is observed.
func TestVersionChangesWithInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewTable()
		// incarnations holds those of each instance in the order of their first message.
		incarnations, leaving := map[string][]uint64{}, map[string]bool{}
		now := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before, version := instanceNames(m), m.Version()
			id := fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "id"))
			incarnation := rapid.Uint64Range(1, 6).Draw(t, "incarnation")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				now++
				var list []Instance
				for i := 1; i <= 4; i++ {
					if rapid.Bool().Draw(t, "listed") {
						list = append(list, newAgent(fmt.Sprint(i)))
					}
				}
				m.SetList(list, listTime(now))
			case 1:
				m.RecordIncarnation(id, incarnation)
				if !slices.Contains(incarnations[id], incarnation) {
					incarnations[id] = append(incarnations[id], incarnation)
					delete(leaving, id)
				}
			case 2:
				m.MarkLeaving(id, incarnation)
				if !slices.Contains(incarnations[id], incarnation) {
					incarnations[id] = append(incarnations[id], incarnation)
				}
				if last := incarnations[id][len(incarnations[id])-1]; last == incarnation {
					leaving[id] = true
				}
			}
			if !slices.Equal(before, instanceNames(m)) {
				assert.Assert(t, m.Version() != version)
			}
			for _, in := range m.Instances() {
				assert.Equal(t, in.Leaving, leaving[in.ID], "instance %s", in.ID)
			}
		}
	})
}
