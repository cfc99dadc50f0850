package collector

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/feed"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/standin/modelengine"
)

// instantWeights is a weight store whose loads take no time.
type instantWeights struct{}

// Load implements modelengine.WeightStore.
func (instantWeights) Load(context.Context, object.Kind, string, int64) error { return nil }

// BenchmarkCollect measures one round of reports from engines that have each loaded
// two models and eight adapters, and the encoded size of a view.
func BenchmarkCollect(b *testing.B) {
	for _, n := range []int{9, 64} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			targets := map[string]object.Target{}
			for i := range n {
				targets[fmt.Sprintf("engine-%d", i)] = object.Target{Address: startEngine(b)}
			}
			publisher := feed.NewPublisher()
			c := New(engine.NewClient(), publisher, func() map[string]object.Target { return targets }, time.Second, clockwork.NewRealClock(), hclog.NewNullLogger())
			b.ReportAllocs()
			for b.Loop() {
				c.collectAll(context.Background())
			}
			collected := c.Reports()["engine-0"]
			b.ReportMetric(float64(proto.Size(viewOf("engine-0", collected.Report, collected.At))), "view-bytes")
		})
	}
}

func startEngine(b *testing.B) netip.AddrPort {
	e := modelengine.New(modelengine.Config{MemoryBytes: 100}, clockwork.NewRealClock(), instantWeights{})
	for i := range 10 {
		kind := object.KindAdapter
		if i < 2 {
			kind = object.KindModel
		}
		e.Order(&engine.Order{OrderID: fmt.Sprintf("%036d", i), Action: engine.Load, Kind: kind, Name: fmt.Sprintf("weights-%d", i), Version: "1", MemoryBytes: 1})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return netip.MustParseAddrPort(listener.Addr().String())
}
