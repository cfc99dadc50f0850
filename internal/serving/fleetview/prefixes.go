package fleetview

import (
	"container/list"
	"hash/fnv"

	"fireflypier.example/fireflypier/internal/serving/exchange"
)

// ChainHashes names the beginnings of a prompt for one model and adapter: the
// n-th hash stands for the first n+1 parts.
func ChainHashes(model, adapter string, parts []exchange.PromptPart) []uint32 {
	hashes := make([]uint32, len(parts))
	h := fnv.New32a()
	write := func(s string) {
		_, _ = h.Write([]byte(s)) // a hash takes every write
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

// prefixes estimates which prompt parts an engine keeps: those that were sent
// there last, up to a number of tokens.
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

// add notes parts that an engine reads, and drops the least recent ones above
// the capacity.
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

// cached returns the tokens at the beginning of a prompt that are kept.
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
