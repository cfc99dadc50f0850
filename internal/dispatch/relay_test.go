package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/hashicorp/go-hclog"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/engineview"
	"fireflypier.example/fireflypier/internal/scheduler"
)

// engineServer starts an engine that responds to each generation request with
// what write writes, and returns its address.
func engineServer(tb testing.TB, write func(w http.ResponseWriter, req *engine.GenerateRequest)) netip.AddrPort {
	tb.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req engine.GenerateRequest
		if err := json.UnmarshalRead(r.Body, &req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		write(w, &req)
	}))
	tb.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// countingSink counts the tokens and flushes of an answer.
type countingSink struct{ tokens, flushes int }

func (s *countingSink) Token(string) error                { s.tokens++; return nil }
func (s *countingSink) Flush() error                      { s.flushes++; return nil }
func (s *countingSink) Finish(string, engine.Usage) error { return nil }

// BenchmarkRelay relays the frames of one long stream. An operation is one frame.
func BenchmarkRelay(b *testing.B) {
	addr := engineServer(b, func(w http.ResponseWriter, req *engine.GenerateRequest) {
		var frames []byte
		for i := range req.MaxTokens {
			frames = fmt.Appendf(frames, "data: {\"attempt_id\":%q,\"offset\":%d,\"text\":\" token\"}\n\n", req.AttemptID, i)
		}
		frames = fmt.Appendf(frames, "data: {\"attempt_id\":%q,\"offset\":%d,\"done\":true}\n\n", req.AttemptID, req.MaxTokens)
		_, _ = w.Write(frames)
	})
	client := engine.NewClient(engine.WithFrameTimeouts(time.Minute, time.Minute))
	d := New(client, scheduler.New(engineview.New()), hclog.NewNullLogger())
	stream, err := client.Generate(context.Background(), addr, &engine.GenerateRequest{AttemptID: "0198a1c2-attempt", MaxTokens: b.N})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	sink := &countingSink{}
	b.ReportAllocs()
	b.ResetTimer()
	if err := d.relay(stream, func() {}, &progress{}, sink); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(sink.flushes)/float64(b.N), "flushes/op")
}
