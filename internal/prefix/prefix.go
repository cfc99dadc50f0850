// Package prefix computes the chained block hashes by which engines name the
// parts of a prompt in their cache events.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the size of a prompt block.
const BlockBytes = 256

// Hashes holds one chained hash for each whole block of a prompt; equal
// hashes at an index mean equal prompts up to the end of that block.
type Hashes []uint64

// HashPrompt returns the hashes of the prompt's whole blocks under a model.
func HashPrompt(model string, prompt []byte) Hashes {
	hashes := make(Hashes, 0, len(prompt)/BlockBytes)
	previous := xxhash.Sum64String(model)
	var seed [8]byte
	digest := xxhash.New()
	for len(prompt) >= BlockBytes {
		binary.LittleEndian.PutUint64(seed[:], previous)
		digest.Reset()
		_, _ = digest.Write(seed[:])
		_, _ = digest.Write(prompt[:BlockBytes])
		previous = digest.Sum64()
		hashes = append(hashes, previous)
		prompt = prompt[BlockBytes:]
	}
	return hashes
}
