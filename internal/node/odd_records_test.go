package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// nestingDepth is the number of levels of a value that is nested more deeply than a JSON
// decoder allows.
const nestingDepth = 100_000

// oddServerRecords returns records that another writer may leave among those of the servers.
// Each of them names a server that exists at the address, but none may be used.
func oddServerRecords(service, address string) map[string]string {
	sound := string(standin.ServerRecord(service, address, false))
	with := func(field string) string { return "{" + field + "," + sound[1:] }
	replace := func(old, replacement string) string { return strings.Replace(sound, old, replacement, 1) }
	port := address[strings.LastIndex(address, ":"):]
	return map[string]string{
		"deep":            with(`"extra":` + strings.Repeat("[", nestingDepth) + strings.Repeat("]", nestingDepth)),
		"large number":    replace(`"seq":1`, `"seq":1e400`),
		"large slots":     replace(`"slots":8`, `"slots":9223372036854775807`),
		"negative slots":  replace(`"slots":8`, `"slots":-5`),
		"no slots":        replace(`"slots":8`, `"slots":0`),
		"largest seq":     replace(`"seq":1`, `"seq":9223372036854775807`),
		"negative seq":    replace(`"seq":1`, `"seq":-1`),
		"least start":     replace(`"born":1`, `"born":-9223372036854775808`),
		"latest start":    replace(`"born":1`, `"born":9223372036854775807`),
		"cold forever":    with(`"cold_remaining_ms":1e300`),
		"port too large":  replace(port, ":70000"),
		"negative port":   replace(port, ":-1"),
		"port 0":          replace(port, ":0"),
		"named port":      replace(port, ":http"),
		"host with space": replace("127.0.0.1", "evil name"),
		"no host":         replace("127.0.0.1", ""),
		"long zone":       replace(`"zone":"z"`, `"zone":"`+strings.Repeat("z", 1000)+`"`),
		"key \xff\xfe":    sound,
		"key \xf0":        sound,
		"key \xf1":        sound,
		"key \xf2":        sound,
		"key \xf3":        sound,
		"key\r\nX-Odd: 1": sound,
		"":                sound,
		"text":            "\x00\xff",
		"list":            "[]",
	}
}

// callPlain sends requests for plain servers to the entries in turn, and checks that all of
// them are answered.
func callPlain(t *testing.T, prefix string, n int, entries ...*runningEntry) {
	t.Helper()
	for i := range n {
		got := entries[i%len(entries)].do(keyedCall(standin.PathUnsafe, fmt.Sprint(prefix, i), "key-1"))
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
}

// replaceServer starts a plain server, has the one before leave, and waits until both entries
// send their requests to the new one, which shows that they follow the records.
func (f *fleet) replaceServer(before, id string, entries ...*runningEntry) {
	added := f.startServer("plain", id, 0)
	f.putServerRecord("plain", before, f.servers[before].Address(), true)
	for _, e := range entries {
		sent := 0
		eventually(f.t, "the entry uses the new server", func() bool {
			sent++
			served := len(added.ExecutedRequests())
			callPlain(f.t, fmt.Sprint(id, "-", e.opts.Settings.Node, "-", sent, "-"), 1, e)
			return len(added.ExecutedRequests()) > served
		})
	}
}

// TestOddServerRecordsAreIgnored guards against a record of another writer that ends the entries
// that read it, keeps them from following the records that come after it, cuts their sessions, or
// adds a server that does not exist to those that get requests.
func TestOddServerRecordsAreIgnored(t *testing.T) {
	f := newFleet(t)
	f.startServer("plain", "plain1", 0)
	odd := standin.NewServer("odd", 0)
	t.Cleanup(odd.Close)
	oddCalls := &atomic.Int64{}
	odd.SetHandler(func(http.ResponseWriter, *http.Request) bool {
		oddCalls.Add(1)
		return false
	})
	f.putConfig()
	e1 := f.startEntry("e1", 0).waitReady().waitRegistered()
	e2 := f.startEntry("e2", 0).waitReady().waitRegistered()
	records := oddServerRecords("plain", odd.Address())
	for key, value := range records {
		f.store.Put(platform.ServersTopic, key, []byte(value))
		callPlain(t, fmt.Sprint("beside ", len(value), " "), 2, e1, e2)
	}
	f.replaceServer("plain1", "plain2", e1, e2)
	e3 := f.startEntry("e3", 0).waitReady().waitRegistered()
	f.replaceServer("plain2", "plain3", e1, e2, e3)
	for _, e := range []*runningEntry{e1, e2, e3} {
		usable := e.servers.Usable("plain")
		assert.Assert(t, len(usable) == 1 && usable[0].ID == "plain3", "%v", usable)
	}
	assert.Equal(t, oddCalls.Load(), int64(0), "requests to servers of odd records")
}

// TestRecordWithOddKeyKeepsSessions guards against a record whose key is no valid text: the entry
// that reads it passes it on to the others, and their sessions end because it cannot be encoded.
func TestRecordWithOddKeyKeepsSessions(t *testing.T) {
	for topic, odd := range map[string]struct {
		key   string
		value []byte
	}{
		platform.ServersTopic: {"odd \xff\xfe", standin.ServerRecord("plain", "127.0.0.1:1", false)},
		platform.ConfigTopic:  {platform.EvacuationKey("odd \xff\xfe"), []byte(`{}`)},
	} {
		t.Run(topic, func(t *testing.T) {
			f := newFleet(t)
			var ended atomic.Int64
			f.onLog = func(line string) {
				if strings.Contains(line, "Session with an entry ended.") {
					ended.Add(1)
				}
			}
			f.startServer("plain", "plain1", 0)
			f.putConfig()
			e1 := f.startEntry("e1", 0).waitReady().waitRegistered()
			e2 := f.startEntry("e2", 0).waitReady().waitRegistered()
			eventually(t, "the entries have a session", func() bool { return e2.links.PlanningPeer() != nil })
			f.store.Put(topic, odd.key, odd.value)
			f.replaceServer("plain1", "plain2", e1, e2)
			assert.Equal(t, ended.Load(), int64(0), "sessions that ended")
		})
	}
}

// TestOddConfigurationsAreIgnored guards against a configuration with odd values that comes into
// force, or whose version keeps out those that follow it.
func TestOddConfigurationsAreIgnored(t *testing.T) {
	f := newFleet(t)
	f.startServer("plain", "plain1", 0)
	f.putConfig()
	e1 := f.startEntry("e1", 0).waitReady().waitRegistered()
	sound := func(version int) string { return string(standin.ConfigRecord(version, f.apiKeys)) }
	for i, odd := range []string{
		strings.Replace(sound(2), `"version":2`, `"version":18446744073709551615`, 1),
		strings.Replace(sound(100), `"timeout_ms":20000`, `"timeout_ms":1e300`, 1),
		strings.Replace(sound(100), `"version":100`, `"version":100,"new":`+strings.Repeat("[", nestingDepth)+strings.Repeat("]", nestingDepth), 1),
		`{"version":1e300}`, `[]`, "\x00\xff",
	} {
		f.store.Put(platform.ConfigTopic, platform.ConfigKey, []byte(odd))
		callPlain(t, fmt.Sprint("odd", i, "-"), 2, e1)
		f.putConfig()
		eventually(t, "the next version is in force", func() bool { return e1.config.Table().Version == uint64(f.configVersion) })
		callPlain(t, fmt.Sprint("sound", i, "-"), 2, e1)
	}
}

// oddOwnRecords are records that another writer may leave in the topics of the entries.
func oddOwnRecords(topic string) map[string]string {
	deep := strings.Repeat("[", nestingDepth) + strings.Repeat("]", nestingDepth)
	records := map[string]string{
		"bytes": "\x00\xff", "list": "[]", "null": "null", "deep": deep, "number": "1e400", "key \xff": "{}",
	}
	switch topic {
	case platform.EntriesTopic:
		for i := range 20 {
			records[fmt.Sprint("era", i)] = fmt.Sprintf(`{"address":"127.0.0.1:%d","start":1,"era":-%d}`, 70000+i, 1+i)
		}
	case platform.VersionsTopic:
		records["model"] = `{"versions":["` + strings.Repeat("v", 1000) + `"],"era":9223372036854775807}`
	case platform.StreamsTopic:
		records["007"] = `{"sequence":9223372036854775807,"streams":[{"stream":"s","version":"v","remaining_ms":9223372036854775807}]}`
	case platform.QuarantineTopic:
		records["until"] = `{"parts":["p"],"crashes":3,"until_ms":9223372036854775807}`
	case platform.ResultsTopic:
		records["e1"] = `{"e1#1":[{"server":"a\nb","address":"127.0.0.1:70000","handles":["h"]}]}`
	}
	return records
}

// TestOddRecordsOfEntriesAreIgnored guards against records in the topics of the entries that end
// them, or that count as entries: those before the others are connected to first, which delays
// the session with the one that places requests, and each one gets a part of what all share.
func TestOddRecordsOfEntriesAreIgnored(t *testing.T) {
	f := newFleet(t)
	var before, records atomic.Int64
	f.onLog = func(line string) {
		var view struct {
			Message string `json:"msg"`
			Before  int64  `json:"before"`
			Records int64  `json:"records"`
		}
		if json.Unmarshal([]byte(line), &view) == nil && view.Message == "Entry records read." {
			before.Store(view.Before)
			records.Store(view.Records)
		}
	}
	f.startServer("plain", "plain1", 0)
	f.putConfig()
	for _, topic := range []string{
		platform.EntriesTopic, platform.VersionsTopic, platform.StreamsTopic, platform.QuarantineTopic, platform.ResultsTopic, platform.ErasTopic,
	} {
		for key, value := range oddOwnRecords(topic) {
			f.store.Put(topic, key, []byte(value))
		}
	}
	e1 := f.startEntry("e1", 0).waitReady().waitRegistered()
	e2 := f.startEntry("e2", 0).waitReady().waitRegistered()
	assert.Equal(t, before.Load(), int64(1), "entries before the second one")
	assert.Equal(t, records.Load(), int64(2), "registered entries")
	eventually(t, "the first entry places the requests of the second", func() bool { return e2.links.PlanningPeer() != nil })
	assert.Assert(t, e1.links.PlanningPeer() == nil)
	callPlain(t, "sound", 4, e1, e2)
}
