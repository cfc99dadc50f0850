package tests

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/settings"
	"fireflypier.example/fireflypier/pkg/caller"
)

// load sends chats, streams and print orders from several goroutines until it is
// stopped or a request fails, and keeps the first error.
type load struct {
	caller     *caller.Caller
	stop       context.CancelFunc
	wg         conc.WaitGroup
	sent       atomic.Int64
	orders     atomic.Int64
	firstError atomic.Pointer[string]
}

func startLoad(ctx context.Context, seeds []netip.AddrPort) *load {
	running, stop := context.WithCancel(ctx)
	l := &load{caller: caller.New(seeds, caller.WithKey(circleKey)), stop: stop}
	for range 4 {
		l.wg.Go(func() { l.repeat(running, ctx, l.chat) })
		l.wg.Go(func() { l.repeat(running, ctx, l.stream) })
		l.wg.Go(func() { l.repeat(running, ctx, l.order) })
	}
	return l
}

// repeat sends requests until running ends or a request fails. The end of running
// does not cancel a request in progress.
func (l *load) repeat(running, ctx context.Context, request func(context.Context) error) {
	for running.Err() == nil && l.firstError.Load() == nil {
		l.sent.Add(1)
		if err := request(ctx); err != nil {
			text := err.Error()
			l.firstError.CompareAndSwap(nil, &text)
		}
	}
}

func (l *load) finish() {
	l.stop()
	l.wg.Wait()
	if firstError := l.firstError.Load(); firstError != nil {
		Fail(*firstError)
	}
}

func (l *load) post(ctx context.Context, path, body string) (string, error) {
	answer, err := l.caller.Do(ctx, http.MethodPost, path, nil, []byte(body))
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return "", err
	}
	if answer.StatusCode != http.StatusOK {
		return "", fmt.Errorf("%s: status %s: %s", path, answer.Status, data)
	}
	return string(data), nil
}

func (l *load) chat(ctx context.Context) error {
	data, err := l.post(ctx, "/v1/chat/completions", `{"model":"chat-small","max_tokens":20,"messages":["chat"]}`)
	if err == nil && !strings.Contains(data, `"completion_tokens":20`) {
		return fmt.Errorf("the answer does not have 20 tokens: %s", data)
	}
	return err
}

func (l *load) stream(ctx context.Context) error {
	data, err := l.post(ctx, "/v1/chat/completions", `{"model":"chat-small","max_tokens":400,"stream":true,"messages":["stream"]}`)
	if err == nil && (strings.Count(data, `"content":`) != 400 || !strings.HasSuffix(data, "data: [DONE]\n\n")) {
		return fmt.Errorf("incomplete stream: %d tokens", strings.Count(data, `"content":`))
	}
	return err
}

func (l *load) order(ctx context.Context) error {
	_, err := l.post(ctx, "/print/order", fmt.Sprintf("order %d", l.orders.Add(1)))
	return err
}

var _ = Describe("graceful shutdown", func() {
	It("fails no request while all gateways are replaced one after another", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*conditionTimeout)
		DeferCleanup(cancel)
		f := startSmallFleet(ctx, 3, 1)
		seeds := []netip.AddrPort{f.gateways[0].Addr, f.gateways[1].Addr, f.gateways[2].Addr}
		l := startLoad(ctx, seeds)
		for i, old := range f.gateways {
			g, err := f.StartGateway(ctx, fmt.Sprintf("gateway-new-%d", i), func(cfg *settings.Gateway) { cfg.EntryTTL = time.Second })
			Expect(err).NotTo(HaveOccurred())
			Expect(g.Ready(ctx)).To(Succeed())
			Expect(old.Terminate()).To(Succeed())
			Expect(old.Wait(ctx)).To(Succeed())
		}
		l.finish()
		Expect(l.sent.Load()).To(BeNumerically(">", 100))

		By("finding that each order ran once")
		times := map[string]int{}
		for _, ran := range f.serviceRuns(ctx) {
			times[ran.Body]++
		}
		Expect(times).To(HaveLen(int(l.orders.Load())))
		for order, n := range times {
			Expect(n).To(Equal(1), order)
		}
	})
})
