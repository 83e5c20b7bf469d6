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

const (
	kvBytes         = 256 << 10
	maxCacheEvents  = 4096
	cacheEventsRead = 256
	gapResolution   = 10000
)

// prefixCache holds the least recently used prefixes and the events about them.
type prefixCache struct {
	limit  int
	order  []string // least recently used first
	next   int
	events []cacheEvent
}

type cacheEvent struct {
	Seq     int    `json:"seq"`
	Prefix  string `json:"prefix"`
	Present bool   `json:"present"`
	visible time.Time
}

type cacheEventsAnswer struct {
	Events []cacheEvent `json:"events"`
	Next   int          `json:"next"`
}

func newPrefixCache(limit int) prefixCache { return prefixCache{limit: limit, next: 1} }

// touch puts a prefix in front and tells whether it was cached before.
func (c *prefixCache) touch(prefix string, now time.Time, f standin.Faults) bool {
	if prefix == "" || prefix == "0" || prefix == "null" {
		return false
	}
	if i := slices.Index(c.order, prefix); i >= 0 {
		c.order = append(slices.Delete(c.order, i, i+1), prefix)
		return true
	}
	c.order = append(c.order, prefix)
	c.publish(prefix, true, now, f)
	if len(c.order) > c.limit {
		c.publish(c.order[0], false, now, f)
		c.order = slices.Delete(c.order, 0, 1)
	}
	return false
}

func (c *prefixCache) has(prefix string) bool { return slices.Contains(c.order, prefix) }

func (c *prefixCache) publish(prefix string, present bool, now time.Time, f standin.Faults) {
	seq := c.next
	c.next++
	h := fnv.New32a()
	_, _ = h.Write([]byte(strconv.Itoa(seq)))
	if float64(h.Sum32()%gapResolution) < f.CacheEventGap*gapResolution {
		return
	}
	visible := now.Add(time.Duration(f.CacheEventLagMS) * time.Millisecond)
	c.events = append(c.events, cacheEvent{Seq: seq, Prefix: prefix, Present: present, visible: visible})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Delete(c.events, 0, len(c.events)-maxCacheEvents)
	}
}

func (c *prefixCache) read(from int, now time.Time) cacheEventsAnswer {
	a := cacheEventsAnswer{Events: []cacheEvent{}, Next: max(from, 1)}
	for _, ev := range c.events {
		if ev.Seq < from {
			continue
		}
		if ev.visible.After(now) || len(a.Events) == cacheEventsRead {
			break
		}
		a.Events = append(a.Events, ev)
		a.Next = ev.Seq + 1
	}
	return a
}

func (e *engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	if !e.available(w, r) {
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	a := e.cache.read(from, time.Now())
	e.mu.Unlock()
	standin.WriteJSON(w, a)
}

func (e *engine) exportKV(w http.ResponseWriter, r *http.Request) {
	if !e.available(w, r) {
		return
	}
	prefix := r.PathValue("prefix")
	e.mu.Lock()
	present := e.cache.has(prefix)
	e.mu.Unlock()
	if !present {
		http.Error(w, "not cached", http.StatusNotFound)
		return
	}
	_, _ = io.WriteString(w, strings.Repeat(prefix+" ", kvBytes/(len(prefix)+1)))
}

func (e *engine) importKV(w http.ResponseWriter, r *http.Request) {
	if !e.available(w, r) {
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
