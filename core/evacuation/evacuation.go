// Package evacuation tracks the availability zones that the operator has evacuated: no new
// work is sent to their servers until the operator takes the evacuation back. The package has
// no clock and does no I/O.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Set holds the evacuated zones. It is not safe for concurrent use.
type Set struct {
	zones map[string]*state
	// confirmWithin is how long an evacuation that a restored store does not list stays in
	// force, so that the operator has time to write it again.
	confirmWithin time.Duration
}

// state is an evacuation in force.
type state struct {
	// unconfirmed is set while the store, restored from a copy, does not list the evacuation;
	// unconfirmedSince is when it was restored.
	unconfirmed      bool
	unconfirmedSince time.Duration
}

// New returns an empty set.
func New(confirmWithin time.Duration) *Set {
	return &Set{zones: map[string]*state{}, confirmWithin: confirmWithin}
}

// Begin records that a zone is evacuated, and reports whether it was not before.
func (s *Set) Begin(zone string) bool {
	_, known := s.zones[zone]
	s.zones[zone] = &state{}
	return !known
}

// End records that the evacuation of a zone was taken back, and reports whether it was in
// force.
func (s *Set) End(zone string) bool {
	_, known := s.zones[zone]
	delete(s.zones, zone)
	return known
}

// Listed handles a complete list of the evacuations in the store. It returns the zones whose
// evacuation began or ended.
func (s *Set) Listed(zones []string) (began, ended []string) {
	for _, zone := range slices.Sorted(maps.Keys(s.zones)) {
		if !slices.Contains(zones, zone) && s.End(zone) {
			ended = append(ended, zone)
		}
	}
	return s.beginAll(zones), ended
}

// Restored handles the list of a store that was restored from an older copy. The copy may
// lack an evacuation that is in force, which ends only if it is not written again within
// confirmWithin, and may have one that was taken back, which the operator takes back again.
// It returns the zones whose evacuation began.
func (s *Set) Restored(now time.Duration, zones []string) (began []string) {
	for zone, st := range s.zones {
		if !slices.Contains(zones, zone) {
			st.unconfirmed, st.unconfirmedSince = true, now
		}
	}
	return s.beginAll(zones)
}

func (s *Set) beginAll(zones []string) (began []string) {
	for _, zone := range zones {
		if s.Begin(zone) {
			began = append(began, zone)
		}
	}
	return began
}

// RemoveUnconfirmed ends the evacuations that the operator did not write again in time after
// the store was restored, and returns their zones.
func (s *Set) RemoveUnconfirmed(now time.Duration) []string {
	var ended []string
	for zone, st := range s.zones {
		if st.unconfirmed && now-st.unconfirmedSince >= s.confirmWithin {
			delete(s.zones, zone)
			ended = append(ended, zone)
		}
	}
	slices.Sort(ended)
	return ended
}

// Zones returns the evacuated zones, sorted.
func (s *Set) Zones() []string { return slices.Sorted(maps.Keys(s.zones)) }
