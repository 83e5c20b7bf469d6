package engine

import (
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

// Sizes of the exported KV cache and of the cache event log. CacheEventLossRatio is
// applied in steps of 1/lossResolution.
const (
	kvExportBytes    = 256 << 10
	maxCacheEvents   = 4096
	maxEventsPerRead = 256
	lossResolution   = 10000
)

// prefixCache is an LRU cache of prompt prefixes. It also holds the events about added
// and evicted prefixes.
type prefixCache struct {
	maxPrefixes int
	prefixes    []string // least recently used first
	nextSeq     int
	events      []cacheEvent
}

// cacheEvent reports that a prefix was added or evicted. Clients can read it from
// visibleAt on.
type cacheEvent struct {
	Seq       int    `json:"seq"`
	Prefix    string `json:"prefix"`
	Present   bool   `json:"present"`
	visibleAt time.Time
}

type cacheEventsResponse struct {
	Events  []cacheEvent `json:"events"`
	NextSeq int          `json:"next"`
}

func newPrefixCache(maxPrefixes int) prefixCache {
	return prefixCache{maxPrefixes: maxPrefixes, nextSeq: 1}
}

// touch marks a prefix as the most recently used one, adds it if necessary, and reports
// whether it was cached before. It ignores an empty prefix, "0" and "null".
func (c *prefixCache) touch(prefix string, now time.Time, f standin.Faults) bool {
	if prefix == "" || prefix == "0" || prefix == "null" {
		return false
	}
	if i := slices.Index(c.prefixes, prefix); i >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, i, i+1), prefix)
		return true
	}
	c.prefixes = append(c.prefixes, prefix)
	c.publish(prefix, true, now, f)
	if len(c.prefixes) > c.maxPrefixes {
		c.publish(c.prefixes[0], false, now, f)
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
	return false
}

func (c *prefixCache) contains(prefix string) bool { return slices.Contains(c.prefixes, prefix) }

// publish adds an event unless CacheEventLossRatio drops it. Which events are dropped
// depends on a hash of the sequence number, not on chance.
func (c *prefixCache) publish(prefix string, present bool, now time.Time, f standin.Faults) {
	seq := c.nextSeq
	c.nextSeq++
	h := fnv.New32a()
	_, _ = h.Write([]byte(strconv.Itoa(seq)))
	if float64(h.Sum32()%lossResolution) < f.CacheEventLossRatio*lossResolution {
		return
	}
	visibleAt := now.Add(time.Duration(f.CacheEventLagMS) * time.Millisecond)
	c.events = append(c.events, cacheEvent{Seq: seq, Prefix: prefix, Present: present, visibleAt: visibleAt})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Delete(c.events, 0, len(c.events)-maxCacheEvents)
	}
}

// eventsFrom returns the visible events from a sequence number on.
func (c *prefixCache) eventsFrom(fromSeq int, now time.Time) cacheEventsResponse {
	response := cacheEventsResponse{Events: []cacheEvent{}, NextSeq: max(fromSeq, 1)}
	for _, ev := range c.events {
		if ev.Seq < fromSeq {
			continue
		}
		if ev.visibleAt.After(now) || len(response.Events) == maxEventsPerRead {
			break
		}
		response.Events = append(response.Events, ev)
		response.NextSeq = ev.Seq + 1
	}
	return response
}

// handleCacheEvents returns the cache events from a sequence number on.
func (e *engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	if !e.checkAvailable(w, r) {
		return
	}
	fromSeq, _ := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	response := e.cache.eventsFrom(fromSeq, time.Now())
	e.mu.Unlock()
	standin.WriteJSON(w, response)
}

// handleExportKV returns dummy KV cache data for a cached prefix.
func (e *engine) handleExportKV(w http.ResponseWriter, r *http.Request) {
	if !e.checkAvailable(w, r) {
		return
	}
	prefix := r.PathValue("prefix")
	e.mu.Lock()
	present := e.cache.contains(prefix)
	e.mu.Unlock()
	if !present {
		http.Error(w, "not cached", http.StatusNotFound)
		return
	}
	_, _ = io.WriteString(w, strings.Repeat(prefix+" ", kvExportBytes/(len(prefix)+1)))
}

// handleImportKV discards the uploaded KV cache data and marks the prefix as cached.
func (e *engine) handleImportKV(w http.ResponseWriter, r *http.Request) {
	if !e.checkAvailable(w, r) {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.mu.Lock()
	e.cache.touch(r.PathValue("prefix"), time.Now(), e.switches.Get())
	e.mu.Unlock()
	standin.WriteJSON(w, struct{}{})
}
