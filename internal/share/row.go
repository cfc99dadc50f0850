package share

import (
	"net/netip"
	"slices"

	"github.com/go-json-experiment/json"

	"fireflypier.example/fireflypier/internal/failure"
)

// RowPrefix is the prefix of the store key of a share row; the customer's name
// follows.
const RowPrefix = "share/"

// TotalParts is the number of parts that a rate and its burst are divided into.
const TotalParts = 1_000_000

// Holder is one gateway incarnation in a share row.
type Holder struct {
	// Name is the gateway's name, Incarnation identifies its process.
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Address is where the process listens for peers.
	Address netip.AddrPort `json:"address"`
	// Region is the region in which the process runs.
	Region string `json:"region"`
	// Parts is how many of TotalParts the holder has.
	Parts int64 `json:"parts"`
	// Received counts the tokens moved to the holder together with parts since
	// it was added to the row.
	Received float64 `json:"received,omitzero"`
	// Lent counts the tokens that previous holders of those parts had lent.
	Lent float64 `json:"lent,omitzero"`
	// Joined is the number of this entry. A holder that is removed and added
	// again gets another number, so that it detects this even if it has
	// observed neither of the two rows.
	Joined int64 `json:"joined"`
}

// replaces reports whether h is another process with the name and address of an
// earlier one, which proves that the earlier one has ended.
func (h *Holder) replaces(earlier *Holder) bool {
	return h.Name == earlier.Name && h.Address == earlier.Address && h.Incarnation != earlier.Incarnation
}

// Row is the content of a share row: the holders of a customer's rate and their
// parts.
type Row struct {
	// Holders lists the holders; their parts add up to TotalParts at most.
	Holders []Holder `json:"holders"`
	// Suspect is the silent incarnation whose parts are about to be claimed,
	// Accuser the incarnation that claims them. Both are empty if there is none.
	Suspect string `json:"suspect,omitzero"`
	Accuser string `json:"accuser,omitzero"`
	// Joins counts the entries ever added to the row.
	Joins int64 `json:"joins"`
}

// DecodeRow decodes a share row. It fails if the holders have more than
// TotalParts together.
func DecodeRow(value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return Row{}, failure.Wrap(failure.Internal, err, "decode share row")
	}
	if r.AllocatedParts() > TotalParts {
		return Row{}, failure.New(failure.Internal, "the share row allocates %d parts, more than the total", r.AllocatedParts())
	}
	return r, nil
}

// Encode returns the row as JSON.
func (r *Row) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "encode share row")
	}
	return data, nil
}

// AllocatedParts returns the sum of the holders' parts.
func (r *Row) AllocatedParts() int64 {
	var held int64
	for i := range r.Holders {
		held += r.Holders[i].Parts
	}
	return held
}

// Holder returns the entry of an incarnation; ok is false if there is none.
func (r *Row) Holder(incarnation string) (h Holder, ok bool) {
	if i := r.index(incarnation); i >= 0 {
		return r.Holders[i], true
	}
	return Holder{}, false
}

func (r *Row) index(incarnation string) int {
	return slices.IndexFunc(r.Holders, func(h Holder) bool { return h.Incarnation == incarnation })
}

func (r *Row) clone() Row {
	c := *r
	c.Holders = slices.Clone(r.Holders)
	return c
}

// addParts adds parts and tokens to the entry of h, and adds the entry if it is
// missing.
func (r *Row) addParts(h Holder, parts int64, tokens, lent float64) {
	i := r.index(h.Incarnation)
	if i < 0 {
		h.Parts = 0
		h.Received = 0
		h.Lent = 0
		r.Joins++
		h.Joined = r.Joins
		r.Holders = append(r.Holders, h)
		i = len(r.Holders) - 1
	}
	r.Holders[i].Parts += parts
	r.Holders[i].Received += tokens
	r.Holders[i].Lent += lent
}

// remove deletes the entry of an incarnation and any suspicion of it.
func (r *Row) remove(incarnation string) {
	r.Holders = slices.DeleteFunc(r.Holders, func(h Holder) bool { return h.Incarnation == incarnation })
	if r.Suspect == incarnation {
		r.Suspect = ""
		r.Accuser = ""
	}
}
