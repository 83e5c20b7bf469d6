package staging

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStageWhoseReaderIsOmittedCompletes guards against a job that waits until its deadline,
// because the results of a stage were taken for read: the only stage that reads them has no
// pieces in this request.
func TestStageWhoseReaderIsOmittedCompletes(t *testing.T) {
	w := newPlayOfKinds(1, []loadKind{{"short", 1, time.Second, 2 * time.Second, 0, [2]int{1, 0}}})
	r := w.play(loadNoBurst, 1)[0]
	assert.Assert(t, r.sent > 0 && r.onTime == r.sent, "%+v", r)
}
