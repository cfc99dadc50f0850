package tests

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/faultproxy"
	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/standin/modelengine"
	"fireflypier.example/fireflypier/internal/standin/plainservice"
)

// setFault replaces all faults of a stand-in.
func setFault(ctx context.Context, s *fleet.Standin, fault any) {
	data, err := json.Marshal(fault, document.Durations())
	Expect(err).NotTo(HaveOccurred())
	a := send(ctx, http.MethodPost, s.Addr, "/standin/fault", "", string(data), nil)
	Expect(a.status).To(Equal(http.StatusOK), a.body)
}

// fetch reads a JSON document from a path of a stand-in.
func fetch[T any](ctx context.Context, addr netip.AddrPort, path string) T {
	var v T
	a := send(ctx, http.MethodGet, addr, path, "", "", nil)
	Expect(a.status).To(Equal(http.StatusOK), a.body)
	Expect(json.Unmarshal([]byte(a.body), &v)).To(Succeed())
	return v
}

// serviceRunsAt returns the requests to a path that the plain service has run.
func (f *smallFleet) serviceRunsAt(ctx context.Context, path string) []plainservice.ExecutedRequest {
	all := fetch[struct {
		Ran []plainservice.ExecutedRequest `json:"ran"`
	}](ctx, f.plainService.Addr, "/standin/ran").Ran
	var ran []plainservice.ExecutedRequest
	for _, r := range all {
		if r.Path == path {
			ran = append(ran, r)
		}
	}
	return ran
}

// generations returns the generations that the engines have started, except for
// engines whose process has ended.
func (f *smallFleet) generations(ctx context.Context) []modelengine.Generation {
	var ran []modelengine.Generation
	for _, e := range f.engines {
		select {
		case <-e.Done():
			continue
		default:
		}
		ran = append(ran, fetch[struct {
			Ran []modelengine.Generation `json:"ran"`
		}](ctx, e.Addr, "/standin/ran").Ran...)
	}
	return ran
}

// setEngineFaults replaces the faults of every engine.
func (f *smallFleet) setEngineFaults(ctx context.Context, fault modelengine.Fault) {
	for _, e := range f.engines {
		setFault(ctx, e, fault)
	}
}

// startProxy returns a fault proxy that is closed at the end of the test.
func startProxy(server netip.AddrPort) *faultproxy.Proxy {
	p, err := faultproxy.Start(server)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.Close)
	return p
}

// closedAddress returns the address of a proxy that has been closed, so that
// nothing listens there.
func closedAddress(server netip.AddrPort) netip.AddrPort {
	p, err := faultproxy.Start(server)
	Expect(err).NotTo(HaveOccurred())
	p.Close()
	return p.Addr()
}

// sumMetric returns the sum of a gateway's samples whose metric name starts with
// name and whose line contains label.
func sumMetric(ctx context.Context, g *fleet.Node, name, label string) float64 {
	a := send(ctx, http.MethodGet, g.Admin, "/metrics", "", "", nil)
	Expect(a.status).To(Equal(http.StatusOK), a.body)
	sum := 0.0
	for line := range strings.SplitSeq(a.body, "\n") {
		if !strings.HasPrefix(line, name) || !strings.Contains(line, label) {
			continue
		}
		fields := strings.Fields(line)
		v, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		Expect(err).NotTo(HaveOccurred())
		sum += v
	}
	return sum
}

// prompt returns the messages of a chat whose answer has n tokens, and the text
// of that answer. The name makes the prompt different from others.
func prompt(name string, n int) (messages, answer string) {
	messages = fmt.Sprintf(`[{"role":"user","content":"%s [tokens=%d]"}]`, name, n)
	var text strings.Builder
	for i := range n {
		text.WriteString(modelengine.Token([]byte(messages), i))
	}
	return messages, text.String()
}

func chatBody(messages string, stream bool) string {
	return fmt.Sprintf(`{"model":"chat-small","max_tokens":5000,"stream":%t,"messages":%s}`, stream, messages)
}

// streamed is the content of a streaming answer: its text, whether it ended with
// [DONE], and the error event, if any.
type streamed struct {
	text   string
	done   bool
	err    string
	notRun bool
}

// readStream reads the events of a streaming answer.
func readStream(body string) streamed {
	var s streamed
	for event := range strings.SplitSeq(body, "\n\n") {
		data, ok := strings.CutPrefix(event, "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			s.done = true
			continue
		}
		s.read(data)
	}
	return s
}

func (s *streamed) read(data string) {
	var event struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error struct {
			Code   string `json:"code"`
			NotRun bool   `json:"not_run"`
		} `json:"error"`
	}
	Expect(json.Unmarshal([]byte(data), &event)).To(Succeed(), data)
	if event.Error.Code != "" {
		s.err = event.Error.Code
		s.notRun = event.Error.NotRun
	}
	for _, c := range event.Choices {
		s.text += c.Delta.Content
	}
}

// answerText returns the text of an answer to a chat without streaming.
func answerText(a answer) string {
	GinkgoHelper()
	Expect(a.status).To(Equal(http.StatusOK), a.body)
	var whole struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	Expect(json.Unmarshal([]byte(a.body), &whole)).To(Succeed())
	return whole.Choices[0].Message.Content
}

// refusal holds the tested fields of the error in an answer.
type refusal struct {
	Code   string `json:"code"`
	NotRun bool   `json:"not_run"`
}

// refusalOf returns the error of an answer, whose status must be 400 or above.
func refusalOf(a answer) refusal {
	GinkgoHelper()
	Expect(a.status).To(BeNumerically(">=", http.StatusBadRequest), a.body)
	var body struct {
		Error refusal `json:"error"`
	}
	Expect(json.Unmarshal(bytes.TrimSpace([]byte(a.body)), &body)).To(Succeed(), a.body)
	return body.Error
}
