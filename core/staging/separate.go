package staging

import "slices"

// separateJobs marks the jobs of a call that its server interrupted: one of them may have
// crashed the server. Until a call with its pieces is answered, none of them shares a server
// with another one of them. So the next crash shows which job it was, and the others are served.
func separateJobs(c *call) {
	for _, it := range c.pieces {
		it.run.job.interruptedBy = c.server
	}
}

// isSeparate reports whether a job must not run beside another one that the same server
// interrupted: among the given pieces, or in a call that the server m has already.
func (j *job) isSeparate(m *server, pieces []pieceRef) bool {
	if j.interruptedBy == nil {
		return false
	}
	conflicts := func(it pieceRef) bool { return it.run.job != j && it.run.job.interruptedBy == j.interruptedBy }
	return slices.ContainsFunc(pieces, conflicts) ||
		slices.ContainsFunc(m.calls, func(c *call) bool { return slices.ContainsFunc(c.pieces, conflicts) })
}
