package tests

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/revision"
	"fireflypier.example/fireflypier/internal/standin/modelengine"
)

const (
	speedRate        = 1000
	speedRequests    = 5000
	openStreams      = 2000
	oneTokenChat     = `{"model":"chat","max_tokens":1,"messages":[{"role":"user","content":"hello"}]}`
	oneTokenStream   = `{"model":"chat","max_tokens":1,"stream":true,"messages":[{"role":"user","content":"hello"}]}`
	oneTokenGenerate = `{"attempt_id":"a","model":"chat","version":"1","prompt":[{"role":"user","content":"hello"}],"max_tokens":1}`
)

// speedFleet is one gateway in front of one engine, each in its own process.
type speedFleet struct {
	engine  *fleet.Standin
	gateway *fleet.Node
	client  *http.Client
}

func startSpeedFleet(b *testing.B, step time.Duration) *speedFleet {
	b.Helper()
	built, err := builtPrograms()
	must(b, err)
	f := fleet.New(built, b.TempDir())
	b.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	b.Cleanup(cancel)
	_, err = f.StartPlatform(ctx, struct{}{})
	must(b, err)
	s := &speedFleet{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
	s.engine, err = f.StartEngine(ctx, "engine", modelengine.Config{
		MemoryBytes: gib, Concurrency: 4096, MaxWaiting: 4096, StepBase: step,
	})
	must(b, err)
	c, err := f.StartController(ctx, "controller", nil)
	must(b, err)
	s.gateway, err = f.StartGateway(ctx, "gateway", nil)
	must(b, err)
	_, err = f.Operator(c).Apply(ctx, &revision.Edit{ID: "speed", Put: s.objects()})
	must(b, err)
	must(b, s.gateway.Ready(ctx))
	must(b, fleet.Eventually(ctx, func() error {
		_, err := s.post(s.gateway.Addr, "/v1/chat/completions", oneTokenChat)
		return err
	}))
	return s
}

func must(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func (s *speedFleet) objects() object.Set {
	return object.Set{
		Pools: map[string]object.Pool{"engines": {Kind: object.PoolEngines}},
		Targets: map[string]object.Target{"engine": {
			Pool: "engines", Address: s.engine.Addr, DataCentre: "dc-1", VM: "vm", MemoryBytes: gib, Concurrency: 4096,
		}},
		Models:    map[string]object.Model{"chat": {Pool: "engines", Version: "1", MemoryBytes: 1}},
		Customers: map[string]object.Customer{"circle": {Rate: "large"}},
		Rates:     map[string]object.Rate{"large": {TokensPerSecond: 1e9, BurstTokens: 1e9}},
		Keys:      map[string]object.Key{"circle-1": keyObject("circle", circleKey)},
	}
}

// post sends one request and returns the time until the first line of the
// response body. Any status but 200 is an error.
func (s *speedFleet) post(addr netip.AddrPort, path, body string) (time.Duration, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+addr.String()+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+circleKey)
	start := time.Now()
	answer, err := s.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	reader := bufio.NewReader(answer.Body)
	if _, err := reader.ReadString('\n'); err != nil && err != io.EOF {
		return 0, err
	}
	first := time.Since(start)
	if _, err := io.Copy(io.Discard, reader); err != nil {
		return 0, err
	}
	if answer.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s: status %s", path, answer.Status)
	}
	return first, nil
}

// openLoop starts speedRequests requests at speedRate per second, without
// waiting for earlier ones to finish, and returns a histogram of the times to the
// first line, in nanoseconds.
func (s *speedFleet) openLoop(b *testing.B, addr netip.AddrPort, path, body string) *hdrhistogram.Histogram {
	b.Helper()
	histogram := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i := range speedRequests {
		due := start.Add(time.Duration(i) * time.Second / speedRate)
		time.Sleep(time.Until(due))
		wg.Go(func() {
			first, err := s.post(addr, path, body)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				b.Error(err)
				return
			}
			_ = histogram.RecordValue(int64(first))
		})
	}
	wg.Wait()
	return histogram
}

// BenchmarkAddedTime reports the latency that a gateway adds at 1,000 requests
// per second, compared with calling the engine directly.
func BenchmarkAddedTime(b *testing.B) {
	s := startSpeedFleet(b, 0)
	const chatPath = "/v1/chat/completions"
	for b.Loop() {
		s.openLoop(b, s.gateway.Addr, chatPath, oneTokenChat)
		direct := s.openLoop(b, s.engine.Addr, "/v1/generate", oneTokenGenerate)
		whole := s.openLoop(b, s.gateway.Addr, chatPath, oneTokenChat)
		stream := s.openLoop(b, s.gateway.Addr, chatPath, oneTokenStream)
		for _, q := range []float64{50, 99} {
			base := direct.ValueAtQuantile(q)
			b.ReportMetric(float64(base)/1e6, fmt.Sprintf("direct-p%.0f-ms", q))
			b.ReportMetric(float64(whole.ValueAtQuantile(q)-base)/1e6, fmt.Sprintf("whole-added-p%.0f-ms", q))
			b.ReportMetric(float64(stream.ValueAtQuantile(q)-base)/1e6, fmt.Sprintf("first-token-added-p%.0f-ms", q))
		}
	}
}

var residentPattern = regexp.MustCompile(`(?m)^process_resident_memory_bytes (\S+)$`)

// residentBytes returns the resident memory of the gateway.
func (s *speedFleet) residentBytes(b *testing.B) float64 {
	b.Helper()
	answer, err := s.client.Get("http://" + s.gateway.Admin.String() + "/metrics")
	must(b, err)
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	must(b, err)
	m := residentPattern.FindSubmatch(data)
	if m == nil {
		b.Fatal("the metrics contain no process_resident_memory_bytes")
	}
	n, err := strconv.ParseFloat(string(m[1]), 64)
	must(b, err)
	return n
}

// openStream starts a streaming chat and returns its body once the response
// header has arrived.
func (s *speedFleet) openStream(b *testing.B, body string) io.Closer {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.gateway.Addr.String()+"/v1/chat/completions", bytes.NewBufferString(body))
	if err != nil {
		b.Error(err)
		return io.NopCloser(nil)
	}
	r.Header.Set("Authorization", "Bearer "+circleKey)
	answer, err := s.client.Do(r)
	if err != nil {
		b.Error(err)
		return io.NopCloser(nil)
	}
	return answer.Body
}

// BenchmarkOpenStreams reports the resident memory of the gateway per open
// stream, in KiB.
func BenchmarkOpenStreams(b *testing.B) {
	s := startSpeedFleet(b, 200*time.Millisecond)
	body := `{"model":"chat","max_tokens":1000,"stream":true,"messages":[]}`
	for b.Loop() {
		before := s.residentBytes(b)
		bodies := make([]io.Closer, openStreams)
		var wg sync.WaitGroup
		for i := range bodies {
			wg.Go(func() { bodies[i] = s.openStream(b, body) })
		}
		wg.Wait()
		b.ReportMetric((s.residentBytes(b)-before)/openStreams/1024, "KiB/stream")
		for _, body := range bodies {
			_ = body.Close()
		}
	}
}
