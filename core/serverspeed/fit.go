package serverspeed

const (
	// forgetting is the factor by which each sample reduces the weight of those before it.
	forgetting = 1 - 1/maxSamples
	// referenceTokens is the size of the larger one of the two artificial samples that stand
	// for known values. The other one has no prompt.
	referenceTokens = 10_000.0
	// anchorWeight is the weight with which the present values count again at each sample.
	// Prompts of a single size do not tell the two values apart.
	anchorWeight = 0.03
)

// fit is a weighted linear regression of the time to first event on the prompt tokens, which
// forgets old samples.
type fit struct {
	weight, tokens, tokensSquared, time, tokensTime float64
}

// add adds a sample. Its weight is relative to the square of its time, so that the relative
// errors of short and long times count the same.
func (f *fit) add(tokens, timeMS, weight float64) {
	weight /= timeMS * timeMS
	f.weight += weight
	f.tokens += weight * tokens
	f.tokensSquared += weight * tokens * tokens
	f.time += weight * timeMS
	f.tokensTime += weight * tokens * timeMS
}

// addValues adds artificial samples that stand for known values.
func (f *fit) addValues(v speed, weight float64) {
	f.add(0, v.firstEventMS, weight/2)
	f.add(referenceTokens, v.firstEventMS+referenceTokens/v.tokensPerMS, weight/2)
}

// forget reduces the weight of the samples so far.
func (f *fit) forget() {
	f.weight *= forgetting
	f.tokens *= forgetting
	f.tokensSquared *= forgetting
	f.time *= forgetting
	f.tokensTime *= forgetting
}

// values returns the values that fit the samples best, within their bounds.
func (f *fit) values() speed {
	determinant := f.weight*f.tokensSquared - f.tokens*f.tokens
	perToken := (f.weight*f.tokensTime - f.tokens*f.time) / determinant
	perToken = bound(perToken, 1/maxTokensPerMS, 1/minTokensPerMS)
	firstEventMS := (f.time - perToken*f.tokens) / f.weight
	return speed{1 / perToken, bound(firstEventMS, minFirstEventMS, maxFirstEventMS)}
}
