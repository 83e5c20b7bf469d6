//go:build review

// Command 1 shows entries that ask nobody for a key any more once the operator has taken the last
// customer out of the configuration.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/magnoliawheel/magnoliawheel/review/fleet"
)

// probes is the number of requests of each kind that each entry gets.
const probes = 10

func main() { fleet.Run(play) }

func play(f *fleet.Fleet) string {
	f.PutConfig(fleet.Config{Version: 3, Tenants: []fleet.Tenant{{Name: "qasr", Keys: []string{"key-1"}}}})
	for i, zone := range []string{"amman-a", "aqaba-a", "irbid-a"} {
		f.StartServer(fleet.ServerOptions{ID: fmt.Sprint("i-submittals-", i), Service: "submittals", Version: "v1", Zone: zone, Slots: 6, Work: 40 * time.Millisecond})
	}
	var entries []*fleet.Entry
	for _, name := range []string{"front-amman-a-1", "front-aqaba-a-1", "front-irbid-a-1"} {
		entries = append(entries, f.StartEntry(name, fleet.EntryOptions{FirstStart: true}))
	}
	time.Sleep(2 * time.Second)

	// run sends requests with a key to all entries and returns how many of them servers have run.
	run := func(phase, key string) (ran int) {
		for _, e := range entries {
			for i := range probes {
				id := fmt.Sprintf("%s-%s-%s-%02d", phase, e.Name, key, i)
				a := f.Send(e, fleet.Request{ID: id, Path: fleet.UnsafePath, Key: key, Timeout: 5 * time.Second})
				if a.Status == http.StatusOK && strings.Contains(a.Body, "body of "+id) {
					ran++
				}
			}
		}
		return ran
	}
	all := len(entries) * probes
	if ran := run("before", "key-1"); ran != all {
		return fmt.Sprintf("only %d of %d requests with a valid key ran", ran, all)
	}
	if ran := run("before", "key-never"); ran != 0 {
		return fmt.Sprintf("ROUTE: %d requests ran whose key no configuration ever held", ran)
	}

	// The disruption is a configuration that takes the only customer away. Without it, the
	// customer stays and only its key is taken away.
	next := fleet.Config{Version: 4}
	if !f.Trouble {
		next.Tenants = []fleet.Tenant{{Name: "qasr"}}
	}
	acknowledged := f.PutConfig(next)
	time.Sleep(time.Until(acknowledged.Add(fleet.RevokeBound + 200*time.Millisecond)))
	revoked, unknown := run("after", "key-1"), run("after", "key-never")
	f.Note("of %d requests with the key that was taken away, %d have run; of %d with a key that no configuration ever held, %d have run", all, revoked, all, unknown)
	if revoked+unknown > 0 {
		return fmt.Sprintf("CONFIG, ROUTE: %d of %d requests ran that were sent later than revoke_ms after their key was taken away, and %d of %d whose key no configuration ever held", revoked, all, unknown, all)
	}
	return ""
}
