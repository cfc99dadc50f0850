package object

import (
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"fireflypier.example/fireflypier/internal/document"
)

// MarshalJSONTo writes the route with its timeout as a string such as "1.5s",
// whatever the options of the encoder.
func (r Route) MarshalJSONTo(enc *jsontext.Encoder) error {
	type plain Route
	return json.MarshalEncode(enc, plain(r), document.Durations())
}

// UnmarshalJSONFrom reads what MarshalJSONTo wrote.
func (r *Route) UnmarshalJSONFrom(dec *jsontext.Decoder) error {
	type plain Route
	return json.UnmarshalDecode(dec, (*plain)(r), document.Durations())
}
