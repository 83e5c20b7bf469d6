package staging

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
)

// TestLimitedServerGetsFewCalls plays jobs on two servers, one of which names a limit of a
// call per second. Calls and requests to free results count; the other server takes the rest.
func TestLimitedServerGetsFewCalls(t *testing.T) {
	notices := notice.NewTable(nil)
	s := New()
	s.SetNotices(notices)
	limited := Server{ID: "s0", StartTime: 1}
	s.SetPool("p", PoolSpec{Slots: 1, BatchSize: 8, CallOverhead: 100 * time.Millisecond, TimePerPiece: 5 * time.Millisecond, MemoryBytes: 1 << 20}, []Server{limited, {ID: "s1"}})
	limit := 1.0
	notices.Learn(0, notice.Notice{Server: notice.Server{ID: limited.ID, StartTime: limited.StartTime}, Limit: &limit})

	var atLimited []time.Duration
	calls := map[time.Duration][]Call{}
	completed, refused := 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		for _, c := range calls[now] {
			results := make([]Result, len(c.Items))
			for i, it := range c.Items {
				results[i].Handle = fmt.Sprint(it.JobID, "@", c.Server.ID)
			}
			s.CallDone(now, c.ID, CallResult{Results: results})
		}
		if now%(100*time.Millisecond) == 0 {
			s.Submit(now, Job{ID: fmt.Sprint("j", now), Stages: []Stage{{Pool: "p", ResultBytes: 100, Pieces: 2}}, ObjectiveDeadline: now + 2*time.Second, Deadline: now + 4*time.Second, Residency: residency.Unrestricted()})
		}
		s.Tick(now)
		actions := s.TakeActions()
		for _, c := range actions.Calls {
			if c.Server == limited {
				atLimited = append(atLimited, now)
			}
			end := (now + c.ExpectedTime).Truncate(10*time.Millisecond) + 10*time.Millisecond
			calls[end] = append(calls[end], c)
		}
		for _, f := range actions.FreeRequests {
			if f.Server == limited {
				atLimited = append(atLimited, now)
			}
			s.FreeDone(now, f.ID, 0)
		}
		for _, j := range actions.CompletedJobs {
			completed++
			s.RequestStarted(now, j.JobID)
		}
		refused += len(actions.Refusals)
	}
	assert.Assert(t, len(atLimited) >= 10 && len(atLimited) <= 21, "%v", atLimited)
	assert.Assert(t, completed >= 190 && refused == 0, "%d completed, %d refused", completed, refused)
}
