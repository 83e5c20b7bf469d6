package node

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// services are those of standin.ConfigRecord, with the number of events of their responses.
var services = map[string]int{"a": 0, "b": 0, "plain": 0, "model": 1}

// newFleetOfRegions returns a fleet with one server of each service in each of two regions, r1
// and r2, whose zones are z1 and z2. Server IDs are the service and the number.
func newFleetOfRegions(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.regions = map[string]string{"z": "r1", "z1": "r1", "z2": "r2"}
	for service, events := range services {
		for _, n := range []string{"1", "2"} {
			s := f.startServer(service, service+n, events)
			f.store.Put(platform.ServersTopic, service+n, standin.ServerRecordIn("z"+n, service, s.Address(), 0))
		}
	}
	return f
}

// putRestrictedConfig writes the next version of the configuration, with restrictions.
func (f *fleet) putRestrictedConfig(routeRegions, customerRegions []string) {
	f.configVersion++
	f.store.Put(platform.ConfigTopic, platform.ConfigKey, standin.RestrictedConfigRecord(f.configVersion, f.apiKeys, routeRegions, customerRegions))
}

// workOf returns the number of requests and pieces that the servers with the given number at
// the end of their IDs got.
func (f *fleet) workOf(number string) int {
	n := 0
	for id, s := range f.servers {
		if strings.HasSuffix(id, number) {
			n += len(s.ExecutedRequests()) + len(s.CompletedPieces())
		}
	}
	return n
}

// callsOfAllKinds are one request of each kind.
func callsOfAllKinds(id string) []clientCall {
	return []clientCall{
		keyedCall(standin.PathSafe, "safe-"+id, "key-1"), keyedCall(standin.PathUnsafe, "unsafe-"+id, "key-1"),
		keyedCall(standin.PathResumable, "resumable-"+id, "key-1"), stagedCall("stream-" + id),
	}
}

// TestRequestsStayInTheirRegions guards against a way by which a request, or the pieces of its
// stages, reach a server outside the regions of its route or customer: plain calls, streams and
// stage calls, directly and through the entry that places requests.
func TestRequestsStayInTheirRegions(t *testing.T) {
	tests := []struct {
		name                          string
		routeRegions, customerRegions []string
		outside                       string
	}{
		{"route", []string{"r2"}, nil, "1"},
		{"customer", nil, []string{"r2"}, "1"},
		{"both", []string{"r2", "r3"}, []string{"r1", "r2"}, "1"},
		{"the entry's region", []string{"r1"}, nil, "2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleetOfRegions(t)
			f.putRestrictedConfig(tt.routeRegions, tt.customerRegions)
			entries := []*runningEntry{f.startEntry("e1", 0).waitReady().waitRegistered(), f.startEntry("e2", 0).waitReady().waitRegistered()}
			for i := range 10 {
				for _, c := range callsOfAllKinds(fmt.Sprint(i)) {
					got := entries[i%2].do(c)
					assert.Equal(t, got.status, http.StatusOK, got.body)
				}
			}
			assert.Equal(t, f.workOf(tt.outside), 0)
		})
	}
}

// TestRequestWithoutServerInItsRegionsIsRefusedAtOnce guards against a request that is served
// elsewhere, or that waits, when no server is in its regions or no region is allowed.
func TestRequestWithoutServerInItsRegionsIsRefusedAtOnce(t *testing.T) {
	for name, regions := range map[string][2][]string{"no server": {{"r3"}, nil}, "no common region": {{"r1"}, {"r2"}}} {
		t.Run(name, func(t *testing.T) {
			f := newFleetOfRegions(t)
			f.putRestrictedConfig(regions[0], regions[1])
			e := f.startEntry("e1", 0).waitReady().waitRegistered()
			for _, c := range callsOfAllKinds("x") {
				start := time.Now()
				got := e.do(c)
				assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
				assert.Assert(t, strings.Contains(got.body, "2021"), got.body)
				assert.Assert(t, got.header.Get("Retry-After") != "" && time.Since(start) < time.Second)
			}
			assert.Equal(t, f.workOf("1")+f.workOf("2"), 0)
		})
	}
}

// TestRegionsThatMoveHoldForWaitingRequests guards against a request that waits for its stages
// while the configuration moves its regions, and then runs where it may no longer.
func TestRegionsThatMoveHoldForWaitingRequests(t *testing.T) {
	f := newFleetOfRegions(t)
	placedAgain := make(chan struct{}, 1)
	f.onLog = func(line string) {
		if strings.Contains(line, "Placement is retried") {
			placedAgain <- struct{}{}
		}
	}
	release := make(chan struct{})
	began := make(chan struct{}, 8)
	f.servers["a1"].SetHandler(func(http.ResponseWriter, *http.Request) bool {
		began <- struct{}{}
		<-release
		return false
	})
	f.putRestrictedConfig([]string{"r1"}, nil)
	e := f.startEntry("e1", 0).waitReady().waitRegistered()
	replies := make(chan reply, 1)
	go func() { replies <- e.do(stagedCall("moved")) }()
	<-began
	f.putRestrictedConfig([]string{"r2"}, nil)
	// The configuration is known a moment before the requests that wait are placed again.
	<-placedAgain
	assert.Equal(t, e.config.Table().Version, uint64(2))
	close(release)
	got := <-replies
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Assert(t, slices.Contains(f.servers["model2"].ExecutedRequests(), "moved"))
	assert.Equal(t, len(f.servers["b1"].CompletedPieces())+len(f.servers["model1"].ExecutedRequests()), 0)
}

// TestEvacuatedZoneGetsNothing guards against work for a zone that the operator evacuates:
// also of an entry that starts then, after the store came back from an older copy, and while
// the entry that reads the store has stopped. Work returns when the evacuation ends.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	f := newFleetOfRegions(t)
	f.putConfig()
	entries := []*runningEntry{f.startEntry("e1", 0).waitReady().waitRegistered(), f.startEntry("e2", 0).waitReady().waitRegistered()}
	beforeEvacuation := f.store.Copy()
	f.store.Put(platform.ConfigTopic, platform.EvacuationKey("z1"), []byte("{}"))
	eventually(t, "all entries know the evacuation", func() bool {
		return entries[0].servers.Evacuated("z1") && entries[1].servers.Evacuated("z1")
	})
	round := 0
	send := func(entries ...*runningEntry) {
		for range 6 {
			round++
			for _, c := range callsOfAllKinds(fmt.Sprint(round)) {
				got := entries[round%len(entries)].do(c)
				assert.Equal(t, got.status, http.StatusOK, got.body)
			}
		}
	}
	send(entries...)
	entries = append(entries, f.startEntry("e3", 0).waitReady().waitRegistered())
	send(entries...)
	f.store.Restore(beforeEvacuation)
	send(entries...)
	f.store.Put(platform.ConfigTopic, platform.EvacuationKey("z1"), []byte("{}"))
	entries[0].stop()
	<-entries[0].done
	send(entries[1:]...)
	assert.Equal(t, f.workOf("1"), 0)

	f.store.Delete(platform.ConfigTopic, platform.EvacuationKey("z1"))
	eventually(t, "the zone gets work again", func() bool {
		send(entries[1:]...)
		return f.workOf("1") > 0
	})
}

// TestColdServersGetTheirRate guards against a server that is overloaded while it is cold, by
// several entries that send it requests as fast as they can, and by one that takes over from the
// entry that placed them.
func TestColdServersGetTheirRate(t *testing.T) {
	const perSecond = 4.0
	f := newFleet(t)
	f.coldBound = platform.ColdBound{Overage: 1.5, Slack: 3}
	arrived := map[string]chan time.Time{}
	for _, service := range []string{"model", "plain"} {
		cold := f.startServer(service, service+"1", services[service])
		f.startServer(service, service+"2", services[service])
		f.store.Put(platform.ServersTopic, service+"1", standin.ServerRecordIn("z", service, cold.Address(), time.Minute))
		times := make(chan time.Time, 10_000)
		arrived[service] = times
		cold.SetHandler(func(http.ResponseWriter, *http.Request) bool {
			times <- time.Now()
			return false
		})
	}
	f.configVersion++
	f.store.Put(platform.ConfigTopic, platform.ConfigKey, standin.ColdConfigRecord(f.configVersion, f.apiKeys, perSecond, time.Second))
	entries := []*runningEntry{f.startEntry("e1", 0).waitReady().waitRegistered(), f.startEntry("e2", 0).waitReady().waitRegistered(), f.startEntry("e3", 0).waitReady().waitRegistered()}
	sent := 0
	send := func(d time.Duration, entries ...*runningEntry) {
		for end := time.Now().Add(d); time.Now().Before(end); sent++ {
			path := []string{standin.PathResumable, standin.PathSafe}[sent%2]
			got := entries[sent%len(entries)].do(keyedCall(path, fmt.Sprint("r", sent), "key-1"))
			assert.Equal(t, got.status, http.StatusOK, got.body)
		}
	}
	send(4*time.Second, entries...)
	entries[0].stop()
	<-entries[0].done
	send(3*time.Second, entries[1:]...)
	for service, times := range arrived {
		close(times)
		var all []time.Time
		for at := range times {
			all = append(all, at)
		}
		most := 0
		for i, from := range all {
			n := 0
			for _, at := range all[i:] {
				if at.Sub(from) <= time.Second {
					n++
				}
			}
			most = max(most, n)
		}
		assert.Assert(t, most <= 9, "%s: %d requests in a second", service, most)
		assert.Assert(t, len(all) > 0, "%s: the cold server is not used", service)
	}
}
