package tests

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/faultproxy"
	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/settings"
	"fireflypier.example/fireflypier/internal/standin/modelengine"
)

// streamFleet is a small fleet with one gateway and a fault proxy in front of
// each engine.
type streamFleet struct {
	*smallFleet
	proxies []*faultproxy.Proxy
}

// generatePath limits proxy faults to connections that carry generations.
const generatePath = "/v1/generate"

const (
	unreadTokens = 50_000
	smallBuffer  = 4 << 10
	// requestIDLength is the length of a request ID that makes every event long, so
	// that buffers fill quickly.
	requestIDLength = 128
)

func startStreamFleet(ctx context.Context, requestTimeout time.Duration) *streamFleet {
	f := &streamFleet{}
	shortTimeouts := func(_ int, cfg *settings.Gateway) {
		cfg.RequestTimeout = requestTimeout
		cfg.Requests.FrameTimeout = 500 * time.Millisecond
		cfg.Requests.FirstFrameTimeout = 2 * time.Second
	}
	f.smallFleet = startSmallFleet(ctx, 1, 1, withGatewaySettings(shortTimeouts), withObjects(f.useProxies))
	return f
}

func (f *streamFleet) useProxies(s *object.Set) {
	for _, name := range []string{"engine-0", "engine-1"} {
		target := s.Targets[name]
		p := startProxy(target.Address)
		f.proxies = append(f.proxies, p)
		target.Address = p.Addr()
		s.Targets[name] = target
	}
}

func (f *streamFleet) setProxyFaults(fault faultproxy.Fault) {
	for _, p := range f.proxies {
		p.SetFault(fault)
	}
}

// expectCompleteAnswers sends a chat of n tokens without and with streaming and
// expects the complete text both times.
func (f *streamFleet) expectCompleteAnswers(ctx context.Context, name string, n int) {
	GinkgoHelper()
	messages, want := prompt(name, n)
	a := chat(ctx, f.gateways[0].Addr, circleKey, chatBody(messages, false))
	Expect(answerText(a)).To(Equal(want))
	s := readStream(chat(ctx, f.gateways[0].Addr, circleKey, chatBody(messages, true)).body)
	Expect(s).To(Equal(streamed{text: want, done: true}))
}

// openStream starts a streaming chat and returns once the response header has
// arrived.
func (f *streamFleet) openStream(ctx context.Context, messages string) *http.Response {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+f.gateways[0].Addr.String()+"/v1/chat/completions", strings.NewReader(chatBody(messages, true)))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+circleKey)
	response, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	return response
}

// runningEngine returns the index of the engine whose last generation has not
// finished, and fails the test if there is none.
func (f *streamFleet) runningEngine(ctx context.Context) int {
	for i, e := range f.engines {
		ran := fetch[struct {
			Ran []modelengine.Generation `json:"ran"`
		}](ctx, e.Addr, "/standin/ran").Ran
		if len(ran) > 0 && !ran[len(ran)-1].Finished {
			return i
		}
	}
	Fail("no engine has an unfinished generation")
	return 0
}

var _ = Describe("complete answers", func() {
	It("drops repeated frames and frames of other attempts and counts them", func() {
		ctx := testContext()
		f := startStreamFleet(ctx, conditionTimeout)
		f.setEngineFaults(ctx, modelengine.Fault{CrossAnswers: true, RepeatFrames: true})
		f.expectCompleteAnswers(ctx, "crossed", 50)
		Expect(sumMetric(ctx, f.gateways[0], "fireflypier_frames_dropped_total", "other_attempt")).To(BeNumerically(">=", 100))
		Expect(sumMetric(ctx, f.gateways[0], "fireflypier_frames_dropped_total", "already_delivered")).To(BeNumerically(">=", 100))
	})

	It("resumes a stream that is cut at any byte offset", func() {
		ctx := testContext()
		f := startStreamFleet(ctx, conditionTimeout)
		messages, want := prompt("cut", 12)
		body := chatBody(messages, true)
		for offset := int64(1); offset < 1500; offset += 29 {
			cut := faultproxy.Fault{CutAnswersAfter: offset, MaxCuts: 1, RequestContains: generatePath}
			f.setProxyFaults(cut)
			a := chat(ctx, f.gateways[0].Addr, circleKey, body)
			Expect(readStream(a.body)).To(Equal(streamed{text: want, done: true}), "cut after %d bytes", offset)
		}
		Expect(sumMetric(ctx, f.gateways[0], "fireflypier_streams_resumed_total", "")).To(BeNumerically(">", 0))
		f.setProxyFaults(faultproxy.Fault{})

		By("cutting every stream after 7 tokens, repeatedly")
		f.setEngineFaults(ctx, modelengine.Fault{CutAfterTokens: 7})
		f.expectCompleteAnswers(ctx, "cut often", 60)
	})

	It("continues on another engine when the engine is killed", func() {
		ctx := testContext()
		f := startStreamFleet(ctx, conditionTimeout)
		messages, want := prompt("killed", 600)
		response := f.openStream(ctx, messages)
		defer func() { _ = response.Body.Close() }()
		f.engines[f.runningEngine(ctx)].Kill()
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(readStream(string(data))).To(Equal(streamed{text: want, done: true}))
	})

	It("continues on another engine when the connection is frozen, and cancels the old attempt", func() {
		ctx := testContext()
		f := startStreamFleet(ctx, conditionTimeout)
		messages, want := prompt("frozen", 3000)
		response := f.openStream(ctx, messages)
		defer func() { _ = response.Body.Close() }()
		at := f.runningEngine(ctx)
		f.proxies[at].SetFault(faultproxy.Fault{Freeze: true, RequestContains: generatePath})
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(readStream(string(data))).To(Equal(streamed{text: want, done: true}))
		Expect(sumMetric(ctx, f.gateways[0], "fireflypier_streams_stalled_total", "")).To(Equal(1.0))
		ran := fetch[struct {
			Ran []modelengine.Generation `json:"ran"`
		}](ctx, f.engines[at].Addr, "/standin/ran").Ran
		Expect(ran[len(ran)-1].Finished).To(BeFalse())
		Expect(ran[len(ran)-1].Tokens).To(BeNumerically("<", 3000))
	})

	It("ends a stream that cannot continue with an error event", func() {
		ctx := testContext()
		f := startStreamFleet(ctx, 6*time.Second)
		messages, want := prompt("ended", 4000)
		response := f.openStream(ctx, messages)
		defer func() { _ = response.Body.Close() }()
		for _, e := range f.engines {
			e.Kill()
		}
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		s := readStream(string(data))
		Expect(s.done).To(BeFalse())
		Expect(s.err).To(Equal("target_failed"))
		Expect(s.notRun).To(BeFalse())
		Expect(want).To(HavePrefix(s.text))

		By("answering a chat without streaming with an error")
		a := chat(ctx, f.gateways[0].Addr, circleKey, chatBody(messages, false))
		Expect(refusalOf(a)).To(Equal(refusal{Code: "no_replica", NotRun: true}))
	})

	It("stops the generation when the caller disconnects", func() {
		ctx := testContext()
		f := startStreamFleet(ctx, conditionTimeout)
		messages, _ := prompt("left", 4900)
		response := f.openStream(ctx, messages)
		Expect(response.Body.Close()).To(Succeed())
		f.waitUntilIdle(ctx)
		Expect(unfinished(f.generations(ctx))).To(HaveLen(1))
	})
})

var _ = Describe("a caller that does not read", func() {
	It("slows the engine down and is disconnected after the write timeout", func() {
		ctx := testContext()
		f := startSmallFleet(ctx, 1, 1, withGatewaySettings(func(_ int, cfg *settings.Gateway) {
			cfg.Requests.WriteTimeout = time.Second
			cfg.RequestTimeout = 2 * conditionTimeout
		}))
		conn, err := net.Dial("tcp", f.gateways[0].Addr.String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.(*net.TCPConn).SetReadBuffer(smallBuffer)).To(Succeed())
		before := len(f.generations(ctx))
		messages, _ := prompt("unread", unreadTokens)
		body := strings.Replace(chatBody(messages, true), "5000", strconv.Itoa(unreadTokens+1), 1)
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
			circleKey, strings.Repeat("i", requestIDLength), len(body), body)
		Expect(err).NotTo(HaveOccurred())
		Expect(fleet.Eventually(ctx, func() error {
			ran := f.generations(ctx)
			if len(ran) <= before || sumMetric(ctx, f.gateways[0], "fireflypier_attempts_total", "canceled") == 0 {
				return errors.New("no attempt was canceled")
			}
			return nil
		})).To(Succeed())
		cut := unfinished(f.generations(ctx))
		Expect(cut).To(HaveLen(1))
		Expect(cut[0].Tokens).To(BeNumerically("<", unreadTokens))
	})
})

// unfinished returns the generations that did not finish; it reuses ran.
func unfinished(ran []modelengine.Generation) []modelengine.Generation {
	return slices.DeleteFunc(ran, func(r modelengine.Generation) bool { return r.Finished })
}

// waitUntilIdle waits until no engine runs a generation.
func (f *streamFleet) waitUntilIdle(ctx context.Context) {
	GinkgoHelper()
	Expect(fleet.Eventually(ctx, func() error {
		for _, e := range f.engines {
			report := fetch[struct {
				Running int `json:"running"`
			}](ctx, e.Addr, "/v1/report?after=0")
			if report.Running > 0 {
				return fmt.Errorf("%s runs %d generations", e.Name, report.Running)
			}
		}
		return nil
	})).To(Succeed())
}
