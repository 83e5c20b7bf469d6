package staging

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/residency"
)

// TestJobsOfInterruptedCallAreSeparated guards against sound jobs that are taken for the one
// which crashes servers, because they share its calls again and again. Pattern: a call with
// the pieces of several requests ends with its server.
func TestJobsOfInterruptedCallAreSeparated(t *testing.T) {
	const crashing = "j6"
	s := New()
	s.SetPool("p", PoolSpec{Slots: 1, BatchSize: 8, CallOverhead: 100 * time.Millisecond, TimePerPiece: 5 * time.Millisecond, MemoryBytes: 1 << 20},
		[]Server{{ID: "s0"}, {ID: "s1"}, {ID: "s2"}, {ID: "s3"}})
	for i := range 8 {
		s.Submit(0, Job{ID: fmt.Sprint("j", i), Stages: []Stage{{Pool: "p", ResultBytes: 100, Pieces: 1}}, ObjectiveDeadline: 2 * time.Second, Deadline: 4 * time.Second, Residency: residency.Unrestricted()})
	}
	// interrupted counts the interrupted calls of each job; open are the calls at servers.
	interrupted := map[string]int{}
	open := map[uint64]Call{}
	ends := map[time.Duration][]Call{}
	completed := map[string]bool{}
	refused := map[string]bool{}
	for now := time.Duration(0); now < 4*time.Second; now += 10 * time.Millisecond {
		for _, c := range ends[now] {
			if _, isOpen := open[c.ID]; !isOpen {
				continue
			}
			crashes := false
			results := make([]Result, len(c.Items))
			for i, it := range c.Items {
				crashes = crashes || it.JobID == crashing
				results[i].Handle = it.JobID
			}
			if !crashes {
				delete(open, c.ID)
				s.CallDone(now, c.ID, CallResult{Results: results})
				continue
			}
			for id, other := range open {
				if other.Server != c.Server {
					continue
				}
				delete(open, id)
				for _, it := range other.Items {
					interrupted[it.JobID]++
				}
				s.CallDone(now, id, CallResult{Status: Interrupted})
			}
		}
		s.Tick(now)
		actions := s.TakeActions()
		for _, c := range actions.Calls {
			open[c.ID] = c
			end := (now + c.ExpectedTime).Truncate(10*time.Millisecond) + 10*time.Millisecond
			ends[end] = append(ends[end], c)
		}
		for _, j := range actions.CompletedJobs {
			completed[j.JobID] = true
		}
		for _, r := range actions.Refusals {
			refused[r.JobID] = true
		}
	}
	assert.Equal(t, len(completed), 7)
	assert.Assert(t, refused[crashing])
	for id, n := range interrupted {
		assert.Assert(t, id == crashing || n == 1, "%s was interrupted %d times", id, n)
	}
}
