package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

const (
	// homeZone is the availability zone of the entries. Its region alone may hold the requests
	// of restrictedPath.
	homeZone       = "z"
	homeRegion     = "r"
	restrictedPath = standin.PathUnsafe
	// otherZone is in another region. It is evacuated from time to time.
	otherZone = "y"
	// maxEvacuationDelay is the time within which all entries keep to an evacuation while no
	// fault is active.
	maxEvacuationDelay = 3 * time.Second
	// meanEvacuationPause is the mean time between two evacuations under faults, and
	// meanEvacuationTime their mean duration.
	meanEvacuationPause = 2 * time.Second
	meanEvacuationTime  = time.Second
)

// zoneWithFewest returns the zone with fewer servers of a service. The caller holds the lock.
func (f *fleet) zoneWithFewest(service string) string {
	n := map[string]int{}
	for _, s := range f.activeServers {
		if s.service == service {
			n[s.zone]++
		}
	}
	if n[otherZone] < n[homeZone] {
		return otherZone
	}
	return homeZone
}

// configRecord returns the newest configuration. The caller holds the lock.
func (f *fleet) configRecord() []byte {
	if f.pools > 0 {
		return standin.PooledConfigRecord(f.configVersion, f.keys, f.pools)
	}
	if !f.restricted {
		return standin.ConfigRecord(f.configVersion, f.keys)
	}
	return standin.RouteRestrictedConfigRecord(f.configVersion, f.keys, restrictedPath, homeRegion)
}

// setEvacuated begins or ends the evacuation of otherZone.
func (f *fleet) setEvacuated(evacuated bool) {
	if evacuated {
		f.store.Put(platform.ConfigTopic, platform.EvacuationKey(otherZone), []byte("{}"))
		return
	}
	f.store.Delete(platform.ConfigTopic, platform.EvacuationKey(otherZone))
}

// evacuateRepeatedly evacuates otherZone and takes that back, at times drawn from the seed,
// until the returned function is called. It draws from a source of its own, so that a seed
// gives the same faults with and without it.
func (f *fleet) evacuateRepeatedly(seed uint64) (stop func()) {
	rng := rand.New(rand.NewPCG(seed, 3))
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for evacuated := false; ; evacuated = !evacuated {
			f.setEvacuated(evacuated)
			mean := meanEvacuationPause
			if evacuated {
				mean = meanEvacuationTime
			}
			select {
			case <-done:
				f.setEvacuated(false)
				return
			case <-time.After(time.Duration(rng.Int64N(int64(2 * mean)))):
			}
		}
	})
	return func() {
		close(done)
		running.Wait()
	}
}

// checkEvacuation evacuates otherZone under traffic without faults and checks that no request
// that is sent later than maxEvacuationDelay reaches a server there, and that all are served.
func checkEvacuation(t *testing.T, f *fleet, l *requestLog, seed uint64) {
	t.Helper()
	f.setEvacuated(true)
	time.Sleep(maxEvacuationDelay)
	before := len(l.requests)
	stop := startCallers(f, l, seed+5, eventTimeout)
	time.Sleep(time.Second)
	stop()
	f.setEvacuated(false)
	sent := map[string]bool{}
	for _, r := range l.requests[before:] {
		sent[r.id] = true
		if r.status >= http.StatusInternalServerError || r.err != nil {
			t.Errorf("%s failed during an evacuation: status %d: %s %v", r.id, r.status, r.answer, r.err)
		}
	}
	f.eachExecution(func(id, zone string) {
		if sent[id] && zone == otherZone {
			t.Errorf("%s was executed in a zone that was evacuated %v before", id, maxEvacuationDelay)
		}
	})
}

// checkResidency checks that the requests of restrictedPath were executed only in its region.
func checkResidency(t *testing.T, f *fleet, l *requestLog) {
	t.Helper()
	restricted := map[string]bool{}
	for _, r := range l.requests {
		restricted[r.id] = requestKinds[r.kind].path == restrictedPath
	}
	f.eachExecution(func(id, zone string) {
		if restricted[id] && zone != homeZone {
			t.Errorf("%s was executed outside its region, in zone %s", id, zone)
		}
	})
}

// eachExecution calls visit for each execution of a request, with the zone of the server.
func (f *fleet) eachExecution(visit func(id, zone string)) {
	for _, s := range f.allServers {
		for _, id := range s.ExecutedRequests() {
			visit(id, f.zoneByServer[s.ID])
		}
	}
}
