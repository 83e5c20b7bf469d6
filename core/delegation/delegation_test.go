package delegation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPartIsSpentByOneInstanceAtATime guards against two instances that spend the part of the
// same instance while its requests move from one to the other.
func TestPartIsSpentByOneInstanceAtATime(t *testing.T) {
	follower, first, second := New(0), New(0), New(0)
	for _, tr := range []*Tracker{first, second} {
		tr.SetInstances(1)
	}
	first.Follow(0, "elsewhere")
	second.Follow(0, "elsewhere")
	follower.Follow(0, "first")
	spent := [2]time.Duration{}
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		if now == 5*time.Second {
			follower.Follow(now, "second")
		}
		// The reports to the first instance are lost from the change on.
		if now < 5*time.Second {
			first.Reported(now, "follower", follower.DelegatesTo(now, "first"))
		}
		second.Reported(now, "follower", follower.DelegatesTo(now, "second"))
		a, b := first.Share(now, 1) > 0, second.Share(now, 1) > 0
		assert.Assert(t, !(a && b), "both spend at %v", now)
		if a {
			spent[0] = now
		}
		if b && spent[1] == 0 {
			spent[1] = now
		}
	}
	assert.Assert(t, spent[0] > 4*time.Second && spent[1] < 7*time.Second, "%v", spent)
	assert.Assert(t, spent[1]-spent[0] > GrantValidity, "grants of the first may still be sent: %v", spent)
}

// TestDelayedReportDoesNotCount guards against a report that was queued while a connection was
// cut, and arrives after the part was delegated to another instance.
func TestDelayedReportDoesNotCount(t *testing.T) {
	tr := New(0)
	tr.SetInstances(2)
	tr.Follow(0, "elsewhere")
	now := 10 * time.Second
	tr.Reported(now-reportValidity, "late", true)
	assert.Equal(t, tr.Share(now, 2), 0.0)
	tr.Reported(now-reportValidity+time.Millisecond, "late", true)
	assert.Equal(t, tr.Share(now, 2), 0.5)
	tr.Reported(now, "late", false)
	assert.Equal(t, tr.Share(now, 2), 0.0, "the delegation was withdrawn")
}

// TestSmallShareIsNone guards against more instances with a reserve than the budget allows for.
func TestSmallShareIsNone(t *testing.T) {
	tr := New(0)
	assert.Equal(t, tr.Share(HandoffTime, 1), 0.0, "the number of instances is not known")
	tr.SetInstances(8)
	assert.Equal(t, tr.Share(HandoffTime, 7), 0.0)
	assert.Equal(t, tr.Share(HandoffTime, 8), 1.0/8)
	assert.Equal(t, tr.Share(HandoffTime-1, 8), 0.0, "an earlier start may have delegated the part")
}
