package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOutages(t *testing.T) {
	var o Outages
	now := time.Unix(100, 0)
	_, refuse := o.Refuse(now, "a")
	assert.Assert(t, !refuse)
	o.Failed(now, "a")
	wait, refuse := o.Refuse(now.Add(outageFor/4), "a")
	assert.Assert(t, refuse)
	assert.Equal(t, wait, outageFor*3/4)
	_, refuse = o.Refuse(now, "b")
	assert.Assert(t, !refuse)
	_, refuse = o.Refuse(now.Add(outageFor), "a")
	assert.Assert(t, !refuse, "it is tried again")
}
