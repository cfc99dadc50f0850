package limiter_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/share"
	"fireflypier.example/fireflypier/internal/share/sharepb"
	"fireflypier.example/fireflypier/internal/standin/tablestore"
)

// BenchmarkSize reports the memory for each customer, including its row in the
// fake store, and the encoded size of a pull with its reply for a row of three
// holders. The reply contains no row, as when both gateways have the same version.
func BenchmarkSize(b *testing.B) {
	const customers = 5000
	for b.Loop() {
		g := &group{store: tablestore.New(), clock: clockwork.NewRealClock()}
		l := g.add(ratesOf(customers, object.Rate{TokensPerSecond: 1e6, BurstTokens: 1e6}))
		before := heapAlloc()
		for i := range customers {
			if _, err := l.Take(b.Context(), fmt.Sprint("customer-", i), 1); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(heapAlloc()-before)/customers, "bytes/customer")
		runtime.KeepAlive(l)
	}
	row := share.Row{}
	for i := range 3 {
		h := holder(i)
		h.Incarnation = uuid.NewString()
		h.Parts, h.Received, h.Lent = share.TotalParts/3, 1234.567, 12.34
		row.Holders = append(row.Holders, h)
	}
	value, err := row.Encode()
	if err != nil {
		b.Fatal(err)
	}
	request := &sharepb.PullRequest{
		Customer: "customer-123", Tokens: 312, Demand: 1234.567, Gateway: "gateway-123", Incarnation: uuid.NewString(),
		Address: "10.11.12.13:7443", Region: "region-1", Row: value, RowVersion: 123456,
	}
	reply := &sharepb.PullReply{Tokens: 312, Available: 1234.5}
	b.ReportMetric(float64(proto.Size(request)+proto.Size(reply)), "bytes/pull")
}

func heapAlloc() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
