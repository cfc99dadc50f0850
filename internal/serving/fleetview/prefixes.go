package fleetview

import (
	"container/list"
	"hash/fnv"

	"fireflypier.example/fireflypier/internal/serving/exchange"
)

// ChainHashes returns the hashes of all prefixes of a prompt for one model and
// adapter: hash n, from 0, identifies the first n+1 parts.
func ChainHashes(model, adapter string, parts []exchange.PromptPart) []uint32 {
	hashes := make([]uint32, len(parts))
	h := fnv.New32a()
	write := func(s string) {
		_, _ = h.Write([]byte(s)) // hash.Hash never returns an error
		_, _ = h.Write([]byte{0})
	}
	write(model)
	write(adapter)
	for i, p := range parts {
		write(p.ID)
		hashes[i] = h.Sum32()
	}
	return hashes
}

// prefixes estimates the content of an engine's prompt cache as an LRU cache of
// the parts sent there, bounded in tokens.
type prefixes struct {
	byHash map[uint32]*list.Element
	recent *list.List // of *prefixPart, the latest first
	tokens int
}

type prefixPart struct {
	hash   uint32
	tokens int
}

func newPrefixes() *prefixes {
	return &prefixes{byHash: make(map[uint32]*list.Element), recent: list.New()}
}

// add records the parts of a prompt that was sent to the engine, and evicts the
// least recently used parts above the capacity in tokens.
func (p *prefixes) add(hashes []uint32, tokens []int, capacity int) {
	for i := len(hashes) - 1; i >= 0; i-- {
		if e, ok := p.byHash[hashes[i]]; ok {
			p.recent.MoveToFront(e)
			continue
		}
		p.byHash[hashes[i]] = p.recent.PushFront(&prefixPart{hashes[i], tokens[i]})
		p.tokens += tokens[i]
	}
	for p.tokens > capacity && p.recent.Len() > 0 {
		oldest := p.recent.Back()
		part, ok := p.recent.Remove(oldest).(*prefixPart)
		if !ok {
			return
		}
		delete(p.byHash, part.hash)
		p.tokens -= part.tokens
	}
}

// cached returns the length in tokens of the longest cached prefix of a prompt.
func (p *prefixes) cached(hashes []uint32, tokens []int) int {
	total := 0
	for i, h := range hashes {
		if _, ok := p.byHash[h]; !ok {
			break
		}
		total += tokens[i]
	}
	return total
}
