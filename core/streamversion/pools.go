package streamversion

import "time"

// Pools tracks the versions that the servers of each pool run. It is not safe for
// concurrent use.
type Pools struct {
	pools map[string]*poolVersions
}

// poolVersions are the versions that usable servers of a pool run, and those that none runs
// any more, with the time since when.
type poolVersions struct {
	current map[string]bool
	ended   map[string]time.Duration
}

// NewPools returns a Pools that knows no pool.
func NewPools() *Pools { return &Pools{pools: map[string]*poolVersions{}} }

// Observe records the versions of the usable servers of a pool.
func (p *Pools) Observe(now time.Duration, pool string, versions []string) {
	v := p.pools[pool]
	if v == nil {
		v = &poolVersions{ended: map[string]time.Duration{}}
		p.pools[pool] = v
	}
	current := make(map[string]bool, 1)
	for _, version := range versions {
		current[version] = true
		delete(v.ended, version)
	}
	for version := range v.current {
		if !current[version] {
			v.ended[version] = now
		}
	}
	v.current = current
	for version, since := range v.ended {
		if now-since > MaxAge {
			delete(v.ended, version)
		}
	}
}

// Only returns the version that began all streams of a pool that may still be resumed, and
// false if there may be several. A process that started a moment ago knows only those that
// it has seen.
func (p *Pools) Only(now time.Duration, pool string) (string, bool) {
	v := p.pools[pool]
	if v == nil {
		return "", false
	}
	var only string
	count := 0
	for version := range v.current {
		only = version
		count++
	}
	for version, since := range v.ended {
		if now-since <= MaxAge {
			only = version
			count++
		}
	}
	return only, count == 1
}
