// Package retry decides which outcomes may be repeated, and keeps the budgets
// of retries and hedges. It has no clock and no I/O.
package retry

// Policy names a way of retrying.
type Policy string

// The policies.
const (
	// Budgeted bounds retries and hedges by a share of the load.
	Budgeted Policy = "budgeted"
	// ThreeTimes repeats up to three times at once; the baseline.
	ThreeTimes Policy = "three-times"
)
