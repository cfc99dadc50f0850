// Package prefix computes the chained block hashes that identify the prefixes of
// a prompt in the cache events of engines.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the size of a prompt block in bytes.
const BlockBytes = 256

// Hashes holds one hash for each whole block of a prompt. Each hash covers the
// model and the prompt up to the end of its block, so that equal hashes at an
// index mean equal prefixes.
type Hashes []uint64

// HashPrompt returns the hashes of a prompt for a model. An incomplete last block
// is not hashed.
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
