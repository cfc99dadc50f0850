package tests

import (
	"net/http"
	"strings"

	"github.com/go-json-experiment/json"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/standin/modelengine"
)

var _ = Describe("a request through the gateway", func() {
	It("serves chats, streams and plain services and refuses invalid requests", func() {
		ctx := testContext()
		f := startSmallFleet(ctx, 2, 1)
		gateway := f.gateways[0].Addr

		By("answering a chat request without streaming")
		a := chat(ctx, gateway, circleKey, `{"model":"chat-small","max_tokens":5,"messages":[{"role":"user","content":"hi"}]}`)
		Expect(a.status).To(Equal(http.StatusOK), a.body)
		var whole struct {
			Choices []struct {
				Message struct{ Content string }
			}
			Usage struct {
				CompletionTokens int `json:"completion_tokens"`
			}
		}
		Expect(json.Unmarshal([]byte(a.body), &whole, json.MatchCaseInsensitiveNames(true))).To(Succeed())
		prompt := []byte(`[{"role":"user","content":"hi"}]`)
		want := ""
		for i := range 5 {
			want += modelengine.Token(prompt, i)
		}
		Expect(whole.Choices[0].Message.Content).To(Equal(want))
		Expect(whole.Usage.CompletionTokens).To(Equal(5))

		By("streaming a chat request")
		a = chat(ctx, gateway, circleKey, `{"model":"chat-small","max_tokens":5,"stream":true,"messages":[{"role":"user","content":"hi"}]}`)
		Expect(a.status).To(Equal(http.StatusOK), a.body)
		Expect(a.header.Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(a.body).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(strings.Count(a.body, "data: ")).To(Equal(7))

		By("forwarding a request to a plain service")
		a = send(ctx, http.MethodPost, gateway, "/print/order?copies=2", circleKey, "wristbands", nil)
		Expect(a.status).To(Equal(http.StatusOK), a.body)
		Expect(a.body).To(ContainSubstring(`"echo":"wristbands"`))
		Expect(a.header.Get("X-Request-Id")).NotTo(BeEmpty())
		a = send(ctx, http.MethodPost, gateway, "/print/order", circleKey, "x", http.Header{"X-Request-Id": {"order-7"}})
		Expect(a.header.Get("X-Request-Id")).To(Equal("order-7"))
		Expect(send(ctx, http.MethodGet, gateway, "/status/gate", "", "", nil).status).To(Equal(http.StatusOK))

		By("refusing missing and invalid keys, forbidden and unknown models and malformed JSON")
		Expect(chat(ctx, gateway, "", `{}`).status).To(Equal(http.StatusUnauthorized))
		Expect(chat(ctx, gateway, "wrong", `{}`).status).To(Equal(http.StatusUnauthorized))
		Expect(chat(ctx, gateway, circleKey, `{"model":"chat-large","messages":[]}`).status).To(Equal(http.StatusForbidden))
		Expect(chat(ctx, gateway, circleKey, `{"model":"none","messages":[]}`).status).To(Equal(http.StatusNotFound))
		Expect(chat(ctx, gateway, circleKey, `{"model":`).body).To(ContainSubstring(`"not_run":true`))

		By("shutting the gateways down without an error")
		for _, g := range f.gateways {
			Expect(g.Terminate()).To(Succeed())
			Expect(g.Wait(ctx)).To(Succeed())
		}
	})
})
