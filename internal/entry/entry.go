// Package entry tells callers which gateways to use.
package entry

import (
	"math"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/go-json-experiment/json"

	"fireflypier.example/fireflypier/internal/member"
)

// Entry answers GET /v1/entry.
type Entry struct {
	gateways   func() []member.Member
	dataCentre string
	ttl        time.Duration
}

// New returns an entry over the live gateways. Callers keep an answer for
// ttl; gateways of the given data centre come first.
func New(gateways func() []member.Member, dataCentre string, ttl time.Duration) *Entry {
	return &Entry{gateways: gateways, dataCentre: dataCentre, ttl: ttl}
}

// ServeEntry answers with the addresses to use, best first.
func (e *Entry) ServeEntry(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, struct {
		Addresses  []netip.AddrPort `json:"addresses"`
		TTLSeconds int              `json:"ttl_seconds"`
	}{e.Addresses(), int(math.Ceil(e.ttl.Seconds()))})
}

// Addresses returns the addresses to use, best first.
func (e *Entry) Addresses() []netip.AddrPort {
	members := e.gateways()
	slices.SortStableFunc(members, func(a, b member.Member) int {
		return e.distance(&a) - e.distance(&b)
	})
	addresses := make([]netip.AddrPort, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

func (e *Entry) distance(m *member.Member) int {
	if m.DataCentre == e.dataCentre {
		return 0
	}
	return 1
}
