package admission

import "github.com/magnoliawheel/magnoliawheel/core/result"

const (
	// targetMissRate is the fraction of admitted requests that may miss their deadline.
	targetMissRate = 0.02
	// marginStep is the increase of the factor after a missed deadline.
	marginStep = 0.04
	// The factor starts at initialMargin and stays between minMargin and maxMargin.
	minMargin     = 1.0
	initialMargin = 1.2
	maxMargin     = 2.5
)

// margin is the safety factor on expected times. It tracks the quantile of the actual
// over the expected time that targetMissRate of the admitted requests exceed.
type margin struct{ factor float64 }

func newMargin() margin { return margin{factor: initialMargin} }

// load returns the expected wait as a fraction of the time that the deadline leaves
// for waiting. Above 1 the request would miss its deadline.
func (m *margin) load(req *Request) float64 {
	wait := m.factor*float64(req.ExpectedTime) - float64(req.UnloadedTime)
	slack := float64(req.Budget - req.UnloadedTime)
	if wait <= 0 {
		return 0
	}
	if slack <= 0 {
		return 2
	}
	return wait / slack
}

// update adjusts the factor after an admitted request ended. The steps up and down
// balance when targetMissRate of the requests miss their deadline.
func (m *margin) update(code result.Code) {
	switch code {
	case result.OK:
		m.factor -= marginStep * targetMissRate / (1 - targetMissRate)
	case result.DeadlineExceeded, result.BudgetSpent, result.DeadlineTooShort:
		m.factor += marginStep
	}
	m.factor = min(max(m.factor, minMargin), maxMargin)
}
