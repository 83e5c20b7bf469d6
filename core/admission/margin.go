package admission

import "github.com/magnoliawheel/magnoliawheel/core/result"

const (
	// missShare is the share of admitted requests that may miss their deadline.
	missShare = 0.02
	// marginStep is the change of the factor by a request that missed.
	marginStep = 0.04
	// marginLeast, marginStart and marginMost bound the factor.
	marginLeast = 1.0
	marginStart = 1.2
	marginMost  = 2.5
)

// margin follows the quantile of the actual over the expected time at which
// missShare of the admitted requests miss their deadline.
type margin struct{ factor float64 }

func newMargin() margin { return margin{factor: marginStart} }

// load is the part of the slack that the expected wait takes up; above 1 the
// deadline would be missed.
func (m *margin) load(a *Ask) float64 {
	wait := m.factor*float64(a.Expected) - float64(a.Least)
	slack := float64(a.Budget - a.Least)
	if wait <= 0 {
		return 0
	}
	if slack <= 0 {
		return 2
	}
	return wait / slack
}

func (m *margin) finish(code result.Code) {
	switch code {
	case result.OK:
		m.factor -= marginStep * missShare / (1 - missShare)
	case result.DeadlineExceeded, result.BudgetSpent, result.DeadlineTooShort:
		m.factor += marginStep
	}
	m.factor = min(max(m.factor, marginLeast), marginMost)
}
