package gateway

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// TestTimeUntilAClientLeavesIsNotLearnt guards against expected times that are too short, because
// clients that leave early count as requests that were completed then: a stopping entry would send
// requests that it has to cut.
func TestTimeUntilAClientLeavesIsNotLearnt(t *testing.T) {
	timedOut := func(ctx context.Context) (context.Context, context.CancelFunc) { return context.WithTimeout(ctx, 0) }
	tests := []struct {
		name string
		end  func(client context.CancelFunc, process context.CancelCauseFunc)
		wrap func(context.Context) (context.Context, context.CancelFunc)
		want bool
	}{
		{"running", func(context.CancelFunc, context.CancelCauseFunc) {}, context.WithCancel, false},
		{"client left", func(client context.CancelFunc, _ context.CancelCauseFunc) { client() }, context.WithCancel, false},
		{"process ends", func(_ context.CancelFunc, process context.CancelCauseFunc) { process(errProcessEnds) }, context.WithCancel, true},
		{"deadline", func(context.CancelFunc, context.CancelCauseFunc) {}, timedOut, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client, leave := context.WithCancel(t.Context())
			defer leave()
			request, endProcess := context.WithCancelCause(client)
			defer endProcess(nil)
			attempt, cancel := tt.wrap(request)
			defer cancel()
			tt.end(leave, endProcess)
			assert.Equal(t, wasGivenUp(attempt), tt.want)
		})
	}
}
