package callerapi

import (
	"math"
	"net/http"
	"net/netip"

	"github.com/go-json-experiment/json"
)

// Gateways selects the gateways that callers should use.
type Gateways interface {
	// Addresses returns the addresses for callers of a customer in a data
	// centre, best first; both may be empty.
	Addresses(customer, dataCentre string) []netip.AddrPort
}

// serveEntry answers GET /v1/entry. A caller may name its data centre in the
// query, and gets its customer's home gateways first when it presents a key.
func (api *API) serveEntry(w http.ResponseWriter, r *http.Request) {
	customer := ""
	if header := r.Header.Get(headerAuthorization); header != "" {
		ticket, err := api.parts.Admission.Admit(header)
		if err != nil {
			WriteError(w, err)
			return
		}
		customer = ticket.Customer
	}
	addresses := api.parts.Gateways.Addresses(customer, r.URL.Query().Get("data_centre"))
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, struct {
		Addresses  []netip.AddrPort `json:"addresses"`
		TTLSeconds int              `json:"ttl_seconds"`
	}{addresses, int(math.Ceil(api.limits.EntryTTL.Seconds()))})
}
