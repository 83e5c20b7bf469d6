package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// prefix is the beginning of a prompt up to the end of one of its parts.
type prefix struct {
	// path names the parts in order; key is its hash.
	path string
	key  uint64
	// part is the ID of the last part.
	part string
	// tokens counts only the last part.
	tokens int
}

// prefixesOf returns the prefixes of a prompt, the shortest first.
func prefixesOf(parts []PromptPart) []prefix {
	prefixes := make([]prefix, len(parts))
	path := ""
	for i, p := range parts {
		path += "/" + p.ID
		prefixes[i] = prefix{path, xxhash.Sum64String(path), p.ID, p.Tokens}
	}
	return prefixes
}

// prefixIndex maps prefixes to the servers of a pool that have them cached, so that a choice
// looks up each prefix once and not once for each server.
type prefixIndex map[uint64][]*server

func (x prefixIndex) add(key uint64, s *server) { x[key] = append(x[key], s) }

func (x prefixIndex) remove(key uint64, s *server) {
	holders := x[key]
	i := slices.Index(holders, s)
	if i < 0 {
		return
	}
	last := len(holders) - 1
	holders[i], holders[last] = holders[last], nil
	if last == 0 {
		delete(x, key)
		return
	}
	x[key] = holders[:last]
}

// prefixCache models the prompt cache of a server. The least recently used prefixes are
// evicted first; a prefix is evicted after the longer ones that begin with it.
type prefixCache struct {
	owner *server
	index prefixIndex
	// positions maps the keys of the prefixes to their positions in entries. free are the
	// positions that hold none.
	positions map[uint64]int32
	entries   []cachedPrefix
	free      []int32
	// oldest and newest are the ends of the list by use; noEntry if it is empty.
	oldest, newest int32
	tokens         int
}

// cachedPrefix is an entry of the list of cached prefixes, the least recently used first.
type cachedPrefix struct {
	key                  uint64
	tokens, older, newer int32
}

// noEntry is the position of no entry.
const noEntry = int32(-1)

// newPrefixCache returns an empty cache of a server, whose prefixes are also listed in the index.
func newPrefixCache(owner *server, index prefixIndex) *prefixCache {
	return &prefixCache{owner: owner, index: index, positions: map[uint64]int32{}, oldest: noEntry, newest: noEntry}
}

func (c *prefixCache) has(key uint64) bool {
	_, ok := c.positions[key]
	return ok
}

func (c *prefixCache) len() int { return len(c.positions) }

const (
	// maxCachedPrefixes bounds the prefixes of one server, and maxPoolCachedPrefixes those of all
	// servers of a pool, which take about 100 bytes each. Prompts may consist of parts of any
	// size.
	maxCachedPrefixes     = 8192
	maxPoolCachedPrefixes = 300_000
)

// add records the prefixes of a prompt as cached, and evicts prefixes until at most
// maxTokens and maxPrefixes are cached. A maxTokens of 0 means no limit.
func (c *prefixCache) add(prefixes []prefix, maxTokens, maxPrefixes int) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		p := prefixes[i]
		if position, ok := c.positions[p.key]; ok {
			c.unlink(position)
			c.linkNewest(position)
			continue
		}
		c.insert(p)
	}
	for maxTokens > 0 && c.tokens > maxTokens || c.len() > maxPrefixes {
		c.evictOldest()
	}
}

// insert adds a prefix as the most recently used one.
func (c *prefixCache) insert(p prefix) {
	position := int32(len(c.entries))
	if n := len(c.free); n > 0 {
		position, c.free = c.free[n-1], c.free[:n-1]
	} else {
		c.entries = append(c.entries, cachedPrefix{})
	}
	c.entries[position] = cachedPrefix{key: p.key, tokens: int32(p.tokens)}
	c.linkNewest(position)
	c.positions[p.key] = position
	c.tokens += p.tokens
	c.index.add(p.key, c.owner)
}

// linkNewest adds an entry at the end of the list.
func (c *prefixCache) linkNewest(position int32) {
	c.entries[position].older, c.entries[position].newer = c.newest, noEntry
	if c.newest == noEntry {
		c.oldest = position
	} else {
		c.entries[c.newest].newer = position
	}
	c.newest = position
}

// unlink takes an entry out of the list.
func (c *prefixCache) unlink(position int32) {
	e := &c.entries[position]
	if e.older == noEntry {
		c.oldest = e.newer
	} else {
		c.entries[e.older].newer = e.newer
	}
	if e.newer == noEntry {
		c.newest = e.older
	} else {
		c.entries[e.newer].older = e.older
	}
}

func (c *prefixCache) evictOldest() {
	position := c.oldest
	e := c.entries[position]
	c.unlink(position)
	delete(c.positions, e.key)
	c.free = append(c.free, position)
	c.tokens -= int(e.tokens)
	c.index.remove(e.key, c.owner)
}

func (c *prefixCache) clear() {
	for key := range c.positions {
		c.index.remove(key, c.owner)
	}
	clear(c.positions)
	c.entries, c.free = c.entries[:0], c.free[:0]
	c.oldest, c.newest = noEntry, noEntry
	c.tokens = 0
}
