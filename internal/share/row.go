package share

import (
	"net/netip"
	"slices"

	"github.com/go-json-experiment/json"

	"fireflypier.example/fireflypier/internal/failure"
)

// RowPrefix begins the key of every share row; the customer's name follows.
const RowPrefix = "share/"

// TotalParts is the number of parts that a rate and its burst are divided into.
const TotalParts = 1_000_000

// Holder is one gateway incarnation in a share row.
type Holder struct {
	// Name and Incarnation name the gateway's process.
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Address is where the process answers peers.
	Address netip.AddrPort `json:"address"`
	// Region is where the process is.
	Region string `json:"region"`
	// Parts is the holder's share out of Whole.
	Parts int64 `json:"parts"`
	// Received counts the tokens that came with shares since the holder is
	// in the row.
	Received float64 `json:"received,omitzero"`
	// Lent counts the tokens that givers of those shares had lent.
	Lent float64 `json:"lent,omitzero"`
	// Joined is the number of this entry: a holder that was taken out and
	// added again has another, even when it saw neither.
	Joined int64 `json:"joined"`
}

// replaces reports whether h is a later process of the same name on the same
// address, which proves that the earlier one has ended.
func (h *Holder) replaces(earlier *Holder) bool {
	return h.Name == earlier.Name && h.Address == earlier.Address && h.Incarnation != earlier.Incarnation
}

// Row is the content of a share row: who holds which part of the rate.
type Row struct {
	// Holders lists the holders; their parts add up to Whole at most.
	Holders []Holder `json:"holders"`
	// Suspect is the incarnation whose share is about to be taken back,
	// Accuser the one that does so; both may be empty.
	Suspect string `json:"suspect,omitzero"`
	Accuser string `json:"accuser,omitzero"`
	// Joins counts the entries ever added.
	Joins int64 `json:"joins"`
}

// DecodeRow reads the content of a share row.
func DecodeRow(value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return Row{}, failure.Wrap(failure.Internal, err, "decode share row")
	}
	if r.AllocatedParts() > TotalParts {
		return Row{}, failure.New(failure.Internal, "the share row gives out %d parts", r.AllocatedParts())
	}
	return r, nil
}

// Encode returns the content of the row.
func (r *Row) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "encode share row")
	}
	return data, nil
}

// AllocatedParts returns the parts that are given out.
func (r *Row) AllocatedParts() int64 {
	var held int64
	for i := range r.Holders {
		held += r.Holders[i].Parts
	}
	return held
}

// Holder returns the entry of an incarnation.
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

// addParts gives parts and tokens to h, which joins the row when it is new.
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

// remove takes an incarnation out of the row.
func (r *Row) remove(incarnation string) {
	r.Holders = slices.DeleteFunc(r.Holders, func(h Holder) bool { return h.Incarnation == incarnation })
	if r.Suspect == incarnation {
		r.Suspect = ""
		r.Accuser = ""
	}
}
