// Package fingerprint recognizes a request that comes again under another ID.
package fingerprint

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// contentBits is the number of bits that depend on the request; those above depend on the
// caller alone.
const contentBits = 40

// Fingerprint is the same for requests with the same parts and body from the same caller. Zero
// stands for no request.
type Fingerprint uint64

// Of returns the fingerprint of a request with a body, and with parts that say what is asked
// for: method, host, path and query. caller is the name of the customer, empty for requests
// without one. No customer can make up a request with the fingerprint of another customer's,
// save by chance for one pair of customers in 16 million.
func Of(caller string, body []byte, parts ...string) Fingerprint {
	d := xxhash.New()
	for _, part := range parts {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = d.Write(size[:]) // a Digest never fails
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(body)
	f := Fingerprint(xxhash.Sum64String(caller)<<contentBits | d.Sum64()>>(64-contentBits))
	return max(f, 1)
}

// String returns the fingerprint for logs, in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }
