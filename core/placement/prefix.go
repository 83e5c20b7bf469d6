package placement

import (
	"container/list"

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

// prefixCache models the prompt cache of a server. The least recently used prefixes are
// evicted first; a prefix is evicted after the longer ones that begin with it.
type prefixCache struct {
	elements map[uint64]*list.Element
	// byUse holds the values of type cachedPrefix, the least recently used first.
	byUse  *list.List
	tokens int
}

type cachedPrefix struct {
	key    uint64
	tokens int
}

func newPrefixCache() *prefixCache {
	return &prefixCache{elements: map[uint64]*list.Element{}, byUse: list.New()}
}

func (c *prefixCache) has(key uint64) bool {
	_, ok := c.elements[key]
	return ok
}

// add records the prefixes of a prompt as cached, and evicts prefixes until at most
// maxTokens are cached. A maxTokens of 0 means no limit.
func (c *prefixCache) add(prefixes []prefix, maxTokens int) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		p := prefixes[i]
		if e := c.elements[p.key]; e != nil {
			c.byUse.MoveToBack(e)
			continue
		}
		c.elements[p.key] = c.byUse.PushBack(cachedPrefix{p.key, p.tokens})
		c.tokens += p.tokens
	}
	for maxTokens > 0 && c.tokens > maxTokens {
		c.evictOldest()
	}
}

func (c *prefixCache) evictOldest() {
	p := c.byUse.Remove(c.byUse.Front()).(cachedPrefix)
	delete(c.elements, p.key)
	c.tokens -= p.tokens
}

func (c *prefixCache) clear() {
	clear(c.elements)
	c.byUse.Init()
	c.tokens = 0
}
