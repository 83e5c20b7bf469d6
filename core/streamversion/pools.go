package streamversion

import (
	"maps"
	"slices"
	"time"
)

// maxWithhold is how long the servers of a new version begin no streams because the store
// does not hold the version. A longer outage of the store must not keep servers idle.
const maxWithhold = time.Second

// StoredVersions is the record of a pool in the store: the versions that began all streams
// of the pool which may still be resumed. Era is that of the store when it was written; a
// record of an earlier era may lack versions.
type StoredVersions struct {
	Pool     string
	Versions []string
	Era      int64
}

// Pools tracks which versions may have begun the streams of each pool that can still be
// resumed. A process knows them from the store, or once it has observed the pool for MaxAge.
// It is not safe for concurrent use.
type Pools struct {
	pools map[string]*poolVersions
	// complete is set if the process has observed all pools since the first stream.
	complete bool
}

// poolVersions is the state of one pool.
type poolVersions struct {
	// current maps the versions that usable servers run to the time since when. ended maps
	// those that none runs any more to the time since when. An ended version that the store
	// still holds is kept, so that it does not count as seen anew when the store is read.
	current, ended map[string]time.Duration
	// observedSince is when the pool was observed first, valid if observed is set.
	observedSince time.Duration
	observed      bool
	// known is set if current and ended hold all versions of before observedSince as well.
	known bool
	// stored is what the store holds in its current era; nil if it holds nothing.
	stored map[string]bool
}

// NewPools returns a Pools that knows no pool.
func NewPools() *Pools { return &Pools{pools: map[string]*poolVersions{}} }

// pool returns the state of a pool, which it adds if it is new.
func (p *Pools) pool(name string) *poolVersions {
	v := p.pools[name]
	if v == nil {
		v = &poolVersions{current: map[string]time.Duration{}, ended: map[string]time.Duration{}, known: p.complete}
		p.pools[name] = v
	}
	return v
}

// Observe records the versions of the usable servers of a pool.
func (p *Pools) Observe(now time.Duration, pool string, versions []string) {
	v := p.pool(pool)
	if !v.observed {
		v.observed, v.observedSince = true, now
	}
	current := make(map[string]time.Duration, 1)
	for _, version := range versions {
		since, ok := v.current[version]
		if !ok {
			since = now
		}
		current[version] = since
		delete(v.ended, version)
	}
	for version := range v.current {
		if _, ok := current[version]; !ok {
			v.ended[version] = now
		}
	}
	v.current = current
	v.prune(now)
}

// Seen records versions of servers of a pool that may have begun streams, although they need not
// be usable now: a server may have come and left between two calls of Observe.
func (p *Pools) Seen(now time.Duration, pool string, versions []string) {
	v := p.pool(pool)
	for _, version := range versions {
		if _, isCurrent := v.current[version]; !isCurrent {
			v.ended[version] = now
		}
	}
	v.prune(now)
}

// prune discards the versions of streams that are no longer resumed.
func (v *poolVersions) prune(now time.Duration) {
	maps.DeleteFunc(v.ended, func(version string, since time.Duration) bool {
		return now-since > MaxAge && !v.stored[version]
	})
}

// ObservedFromStart records that no stream began before this process observes the pools,
// because the whole system starts for the first time.
func (p *Pools) ObservedFromStart() {
	p.complete = true
	for _, v := range p.pools {
		v.known = true
	}
}

// Interrupt records that servers may have come and gone unnoticed, because records of the
// store expired before they were read.
func (p *Pools) Interrupt(now time.Duration) {
	p.complete = false
	for _, v := range p.pools {
		v.known, v.observedSince, v.stored = false, now, nil
	}
}

// Learn applies all records that the store holds in the given era. Versions that the process
// has not seen itself count as ended now, since nothing else tells when they ended.
func (p *Pools) Learn(now time.Duration, records []StoredVersions, era int64) {
	for _, v := range p.pools {
		v.stored = nil
	}
	for _, r := range records {
		v := p.pool(r.Pool)
		if r.Era == era {
			v.known = true
			v.setStored(r.Versions)
		}
		for _, version := range r.Versions {
			v.addEnded(now, version)
		}
	}
}

// addEnded adds a version that ended now unless the process has seen it.
func (v *poolVersions) addEnded(now time.Duration, version string) {
	_, isCurrent := v.current[version]
	_, hasEnded := v.ended[version]
	if !isCurrent && !hasEnded {
		v.ended[version] = now
	}
}

// knows reports whether resumable returns all versions.
func (v *poolVersions) knows(now time.Duration) bool {
	return v.known || v.observed && now-v.observedSince > MaxAge
}

// resumable returns the versions whose streams may still be resumed, as far as the process
// knows, in order.
func (v *poolVersions) resumable(now time.Duration) []string {
	versions := slices.Collect(maps.Keys(v.current))
	for version, since := range v.ended {
		if now-since <= MaxAge {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

// countResumable returns the number of versions that resumable returns.
func (v *poolVersions) countResumable(now time.Duration) int {
	n := len(v.current)
	for _, since := range v.ended {
		if now-since <= MaxAge {
			n++
		}
	}
	return n
}

// Only returns the version that began all streams of a pool that may still be resumed, and
// false if there may be several, or if the process does not know all of them.
func (p *Pools) Only(now time.Duration, pool string) (string, bool) {
	v := p.pools[pool]
	if v == nil || !v.knows(now) {
		return "", false
	}
	versions := v.resumable(now)
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// Resumable returns the versions whose streams may still be resumed, in order, and whether
// these are all.
func (p *Pools) Resumable(now time.Duration, pool string) (versions []string, all bool) {
	v := p.pools[pool]
	if v == nil {
		return nil, false
	}
	return v.resumable(now), v.knows(now)
}

// Several reports whether streams of several versions may be resumed in a pool.
func (p *Pools) Several(now time.Duration, pool string) bool {
	v := p.pools[pool]
	return v != nil && v.countResumable(now) > 1
}

// AnySeveral reports whether Several holds for any pool that was observed.
func (p *Pools) AnySeveral(now time.Duration) bool {
	for pool, v := range p.pools {
		if v.observed && p.Several(now, pool) {
			return true
		}
	}
	return false
}

// Withheld reports whether servers of a version must not begin streams yet: a process that
// starts later would not know the version, because the store does not hold it.
func (p *Pools) Withheld(now time.Duration, pool, version string) bool {
	v := p.pools[pool]
	if v == nil || v.stored == nil || v.stored[version] {
		return false
	}
	since, ok := v.current[version]
	return ok && now-since < maxWithhold
}

// Due returns the records that the store should hold instead of its own, in the given era.
// There are none of pools whose versions the process does not know. The caller writes each on
// the condition that the store has not changed since the last Learn, and calls Stored.
func (p *Pools) Due(now time.Duration, era int64) []StoredVersions {
	var due []StoredVersions
	for _, name := range slices.Sorted(maps.Keys(p.pools)) {
		v := p.pools[name]
		if !v.observed || !v.knows(now) {
			continue
		}
		if versions := v.resumable(now); len(versions) > 0 && !v.holds(versions) {
			due = append(due, StoredVersions{Pool: name, Versions: versions, Era: era})
		}
	}
	return due
}

// holds reports whether the store holds exactly these versions.
func (v *poolVersions) holds(versions []string) bool {
	if v.stored == nil || len(versions) != len(v.stored) {
		return false
	}
	return !slices.ContainsFunc(versions, func(version string) bool { return !v.stored[version] })
}

// Stored records that the store holds a record that Due returned.
func (p *Pools) Stored(r StoredVersions) { p.pool(r.Pool).setStored(r.Versions) }

// setStored records the versions that the store holds.
func (v *poolVersions) setStored(versions []string) {
	v.stored = make(map[string]bool, len(versions))
	for _, version := range versions {
		v.stored[version] = true
	}
}
