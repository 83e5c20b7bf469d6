// Package residency holds the regions in which a request may be served and its data kept.
package residency

import (
	"slices"
	"strings"
)

// Policy is the set of regions that may hold the data of a request: its body, its prompt,
// the results of its stages and its response. The zero Policy permits no region, so that
// code that does not set a policy serves nothing instead of serving everywhere. A Policy is
// immutable.
type Policy struct {
	unrestricted bool
	// regions are sorted and have no duplicates.
	regions []string
}

// Unrestricted returns the policy that permits every region.
func Unrestricted() Policy { return Policy{unrestricted: true} }

// Only returns the policy that permits the given regions; none if there are none.
func Only(regions ...string) Policy {
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	return Policy{regions: slices.Compact(sorted)}
}

// FromConfig returns the policy of a configuration object that lists its allowed regions. An
// empty list means that the object sets no restriction.
func FromConfig(regions []string) Policy {
	if len(regions) == 0 {
		return Unrestricted()
	}
	return Only(regions...)
}

// And returns the policy that permits the regions which both policies permit.
func (p Policy) And(other Policy) Policy {
	switch {
	case p.unrestricted:
		return other
	case other.unrestricted:
		return p
	}
	return Policy{regions: slices.DeleteFunc(slices.Clone(p.regions), func(r string) bool { return !other.Allows(r) })}
}

// Allows reports whether a region may hold the data. An unknown region, "", is allowed only
// without a restriction.
func (p Policy) Allows(region string) bool {
	return p.unrestricted || region != "" && slices.Contains(p.regions, region)
}

// Restricted reports whether some region is not permitted.
func (p Policy) Restricted() bool { return !p.unrestricted }

// Regions returns the permitted regions, sorted; nil if all are.
func (p Policy) Regions() []string { return slices.Clone(p.regions) }

// Equal reports whether two policies permit the same regions.
func (p Policy) Equal(other Policy) bool {
	return p.unrestricted == other.unrestricted && slices.Equal(p.regions, other.regions)
}

// String returns the permitted regions separated by commas, or "any", or "none".
func (p Policy) String() string {
	switch {
	case p.unrestricted:
		return "any"
	case len(p.regions) == 0:
		return "none"
	}
	return strings.Join(p.regions, ",")
}
