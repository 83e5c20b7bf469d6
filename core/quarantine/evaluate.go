package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// scheduleEvaluation makes Evaluate search for patterns, but not too often.
func (t *Table) scheduleEvaluation(now time.Duration) {
	attempts := 0
	for _, c := range t.crashes {
		attempts += len(c.answering) + len(c.waiting)
	}
	at := max(now, t.evaluatedAt+time.Duration(attempts)*evaluationTimePerAttempt)
	if !t.evaluationDue || at < t.nextEvaluation {
		t.evaluationDue, t.nextEvaluation = true, at
	}
}

// NextEvaluation returns the time from which Evaluate has something to do, and false if there
// is none.
func (t *Table) NextEvaluation() (time.Duration, bool) { return t.nextEvaluation, t.evaluationDue }

// Evaluate searches the evidence for patterns if that is due.
func (t *Table) Evaluate(now time.Duration) {
	if !t.evaluationDue || now < t.nextEvaluation {
		return
	}
	t.evaluationDue, t.evaluatedAt = false, now
	for t.addPartPattern(now) || t.addIdentityPattern(now) {
		// Each pattern may leave other crashes unexplained.
	}
	for _, c := range t.crashes {
		if !c.settled(now) {
			t.scheduleEvaluation(c.settlesAt())
		}
	}
}

// addIdentityPattern holds back one request that explains several crashes which no pattern
// explains. Crashes count at once, since the request may come again at once, and the pattern
// settles with them. It reports whether there was one.
func (t *Table) addIdentityPattern(now time.Duration) bool {
	crashes := t.unexplained(t.crashes, now, nil)
	best, fewestOthers := "", 0
	most := minRequestCrashes - 1
	for identity := range identitiesOf(crashes) {
		if t.sound.has(identity) {
			continue
		}
		count, others := crashesOf(crashes, identity)
		if cmp.Or(cmp.Compare(count, most), cmp.Compare(fewestOthers, others), cmp.Compare(best, identity)) > 0 {
			best, most, fewestOthers = identity, count, others
		}
	}
	if most < minRequestCrashes {
		return false
	}
	t.addPattern(now, []string{best}, crashes)
	return true
}

// identitiesOf returns the identities of the requests that the crashes interrupted.
func identitiesOf(crashes []*crash) map[string]bool {
	all := map[string]bool{}
	for _, c := range crashes {
		maps.Copy(all, c.identities)
	}
	return all
}

// crashesOf returns the number of crashes that interrupted a request, and that of the
// requests which they interrupted in all. The fewer these are, the more likely one of them
// is the cause.
func crashesOf(crashes []*crash, identity string) (count, others int) {
	for _, c := range crashes {
		if c.identities[identity] {
			count++
			others += len(c.identities)
		}
	}
	return count, others
}

// addPartPattern holds back the parts that crashes have in common which no pattern of parts
// explains. It reports whether there were any.
func (t *Table) addPartPattern(now time.Duration) bool {
	settled := slices.DeleteFunc(slices.Clone(t.crashes), func(c *crash) bool { return len(c.suspects(now)) == 0 })
	crashes := t.unexplained(settled, now, func(p *Pattern) bool { return !p.isRequest() })
	common := t.mostSpecific(crashes, now)
	if common == nil {
		return false
	}
	t.addPattern(now, common, crashes)
	return true
}

// unexplained returns those of the crashes that none of the selected patterns explains. selects
// may be nil.
func (t *Table) unexplained(crashes []*crash, now time.Duration, selects func(*Pattern) bool) []*crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c *crash) bool {
		return slices.ContainsFunc(t.patterns, func(p *Pattern) bool { return (selects == nil || selects(p)) && c.explainedBy(p, now) })
	})
}

// mostSpecific returns the largest set of parts that enough of the crashes have in common,
// or nil.
func (t *Table) mostSpecific(crashes []*crash, now time.Duration) []string {
	var best []string
	bestCount := 0
	for part, count := range t.partCounts(crashes, now) {
		if count.crashes < t.requiredCrashes(part) || count.requests < minPartRequests {
			continue
		}
		common := t.commonWith(part, crashes, now)
		if cmp.Or(cmp.Compare(len(common), len(best)), cmp.Compare(count.crashes, bestCount), slices.Compare(best, common)) > 0 {
			best, bestCount = common, count.crashes
		}
	}
	return best
}

// partCount is the number of crashes that a part may have caused, and of the different
// requests with the part that they interrupted.
type partCount struct {
	crashes, requests int
}

// partCounts returns the counts of the parts that are not known to be sound. Requests of
// unknown identity count as different ones.
func (t *Table) partCounts(crashes []*crash, now time.Duration) map[string]partCount {
	counts := map[string]partCount{}
	seenRequests := map[[2]string]bool{}
	for _, c := range crashes {
		seenParts := map[string]bool{}
		for _, elements := range c.suspects(now) {
			identity, known := identityOf(elements)
			for _, part := range elements {
				if isIdentity(part) || t.sound.has(part) {
					continue
				}
				count := counts[part]
				if !seenParts[part] {
					seenParts[part] = true
					count.crashes++
				}
				if request := [2]string{part, identity}; !known || !seenRequests[request] {
					seenRequests[request] = true
					count.requests++
				}
				counts[part] = count
			}
		}
	}
	return counts
}

// requiredCrashes returns the number of crashes from which a part is blamed.
func (t *Table) requiredCrashes(part string) int {
	if slices.ContainsFunc(t.patterns, func(p *Pattern) bool { return slices.Contains(p.Elements, part) }) {
		return minRepeatCrashes
	}
	return minPartCrashes
}

// commonWith returns the parts that the attempts with the given part have in common. Of
// several such attempts of one crash, the one that has the most in common with the others
// counts.
func (t *Table) commonWith(part string, crashes []*crash, now time.Duration) []string {
	var common []string
	for _, c := range crashes {
		var closest []string
		for _, elements := range c.suspects(now) {
			if !slices.Contains(elements, part) {
				continue
			}
			shared := t.unsoundParts(elements)
			if common != nil {
				shared = intersection(common, elements)
			}
			if len(shared) > len(closest) {
				closest = shared
			}
		}
		if closest != nil {
			common = closest
		}
	}
	return common
}

// unsoundParts returns the parts among elements that are not known to be sound, sorted.
func (t *Table) unsoundParts(elements []string) []string {
	unsound := slices.DeleteFunc(slices.Clone(elements), func(e string) bool { return isIdentity(e) || t.sound.has(e) })
	slices.Sort(unsound)
	return slices.Compact(unsound)
}

func intersection(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(p string) bool { return !slices.Contains(b, p) })
}
