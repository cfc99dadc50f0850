package callerapi

import (
	"math"
	"net/http"
	"net/netip"

	"github.com/go-json-experiment/json"
)

// Gateways selects the gateways that callers should use.
type Gateways interface {
	// Addresses returns the gateway addresses for callers of a customer in a
	// data centre, in order of preference. An empty customer or data centre
	// means that it is unknown.
	Addresses(customer, dataCentre string) []netip.AddrPort
}

// serveEntry serves GET /v1/entry. The query parameter data_centre and the API
// key are optional. With a key, the home gateways of the customer come first.
func (api *API) serveEntry(w http.ResponseWriter, r *http.Request) {
	customer := ""
	if header := r.Header.Get(headerAuthorization); header != "" {
		ticket, err := api.config.Authenticator.Authenticate(header)
		if err != nil {
			WriteError(w, err)
			return
		}
		customer = ticket.Customer
	}
	addresses := api.config.Gateways.Addresses(customer, r.URL.Query().Get("data_centre"))
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, struct {
		Addresses  []netip.AddrPort `json:"addresses"`
		TTLSeconds int              `json:"ttl_seconds"`
	}{addresses, int(math.Ceil(api.limits.EntryTTL.Seconds()))})
}
