package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"

	"fireflypier.example/fireflypier/pkg/caller"
)

// A Caller requests the list of gateways and sends its request to the first one.
func ExampleCaller_Do() {
	var address string
	gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/entry" {
			_, _ = fmt.Fprintf(w, `{"addresses":[%q],"ttl_seconds":5}`, address)
			return
		}
		_, _ = fmt.Fprintf(w, "%s %s", r.Method, r.URL.Path)
	}))
	defer gateway.Close()
	address = strings.TrimPrefix(gateway.URL, "http://")

	c := caller.New([]netip.AddrPort{netip.MustParseAddrPort(address)}, caller.WithKey("key"))
	resp, err := c.Do(context.Background(), http.MethodPost, "/print/order", nil, []byte("bands"))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(string(data))
	// Output: POST /print/order
}
