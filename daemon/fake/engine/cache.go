package engine

import (
	"container/list"
	"hash/fnv"
	"sync"
)

// BlockTokens is the size of a block of the prefix cache, in tokens.
const BlockTokens = 64

// blockHashes returns the hashes of a prompt's complete blocks. Each hash covers
// the prompt up to the end of its block.
func blockHashes(prompt string) []uint64 {
	const size = BlockTokens * bytesPerToken
	var hashes []uint64
	h := fnv.New64a()
	for len(prompt) >= size {
		h.Write([]byte(prompt[:size]))
		hashes = append(hashes, h.Sum64())
		prompt = prompt[size:]
	}
	return hashes
}

// prefixCache holds up to limit blocks and evicts the least recently used.
type prefixCache struct {
	limit   int        // in blocks
	recency *list.List // of block hashes, most recently used first
	byHash  map[uint64]*list.Element
	changed func(hash uint64, stored bool)
}

func newPrefixCache(tokens int, changed func(uint64, bool)) *prefixCache {
	return &prefixCache{
		limit:   tokens / BlockTokens,
		recency: list.New(),
		byHash:  make(map[uint64]*list.Element),
		changed: changed,
	}
}

// match returns how many leading blocks are cached, and marks them as used.
func (c *prefixCache) match(blocks []uint64) int {
	n := 0
	for _, b := range blocks {
		held, ok := c.byHash[b]
		if !ok {
			break
		}
		c.recency.MoveToFront(held)
		n++
	}
	return n
}

// store adds blocks, last block first, so that a prefix is evicted after the blocks
// that follow it.
func (c *prefixCache) store(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if held, ok := c.byHash[b]; ok {
			c.recency.MoveToFront(held)
			continue
		}
		c.byHash[b] = c.recency.PushFront(b)
		c.changed(b, true)
	}
	for c.recency.Len() > c.limit {
		hash := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.byHash, hash)
		c.changed(hash, false)
	}
}

func (c *prefixCache) clear() {
	for hash := range c.byHash {
		c.changed(hash, false)
	}
	c.recency.Init()
	c.byHash = make(map[uint64]*list.Element)
}

// Directory knows the actual contents of the prefix caches of several engines. It
// is used for measurements only.
type Directory struct {
	mu     sync.Mutex
	copies map[uint64]int // engines that cache a block, by its hash
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{copies: make(map[uint64]int)}
}

func (d *Directory) update(hash uint64, stored bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stored {
		d.copies[hash]++
		return
	}
	d.copies[hash]--
	if d.copies[hash] <= 0 {
		delete(d.copies, hash)
	}
}

// longestPrefix returns how many leading blocks are each cached by at least one engine.
func (d *Directory) longestPrefix(blocks []uint64) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, b := range blocks {
		if d.copies[b] == 0 {
			return i
		}
	}
	return len(blocks)
}
