package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOutages checks that calls are refused for outageDuration after a failure, and only
// at the server that failed.
func TestOutages(t *testing.T) {
	var o Outages
	now := time.Unix(100, 0)
	_, refuse := o.ShouldRefuse(now, "a")
	assert.Assert(t, !refuse)
	o.RecordFailure(now, "a")
	wait, refuse := o.ShouldRefuse(now.Add(outageDuration/4), "a")
	assert.Assert(t, refuse)
	assert.Equal(t, wait, outageDuration*3/4)
	_, refuse = o.ShouldRefuse(now, "b")
	assert.Assert(t, !refuse)
	_, refuse = o.ShouldRefuse(now.Add(outageDuration), "a")
	assert.Assert(t, !refuse, "the server must be tried again")
}
