package tests

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/settings"
)

// errorOf decodes the error object in the body of an answer.
func errorOf(a answer) (code, kind, message string, notRun bool) {
	var body struct {
		Error struct {
			Code, Type, Message string
			NotRun              bool `json:"not_run"`
		}
	}
	Expect(json.Unmarshal([]byte(a.body), &body, json.MatchCaseInsensitiveNames(true))).To(Succeed(), a.body)
	return body.Error.Code, body.Error.Type, body.Error.Message, body.Error.NotRun
}

// expectRefused checks that an answer has the status and error code, a type, a
// message and a request ID, and that not_run is true.
func expectRefused(a answer, status int, code string) {
	GinkgoHelper()
	Expect(a.status).To(Equal(status), a.body)
	got, kind, message, notRun := errorOf(a)
	Expect(got).To(Equal(code))
	Expect(kind).NotTo(BeEmpty())
	Expect(message).NotTo(BeEmpty())
	Expect(notRun).To(BeTrue())
	Expect(a.header.Get("X-Request-Id")).NotTo(BeEmpty())
}

// rawRequest writes text on a new connection and returns everything that the
// server sends. A read error counts only if the server sent nothing.
func rawRequest(n *fleet.Node, text string) string {
	conn, err := net.Dial("tcp", n.Addr.String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetDeadline(time.Now().Add(conditionTimeout))).To(Succeed())
	_, err = io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())
	data, err := io.ReadAll(conn)
	if len(data) == 0 {
		Expect(err).NotTo(HaveOccurred())
	}
	// A server that refuses a request before it has read all of it resets the
	// connection after its answer, so a read error is expected then.
	return string(data)
}

var _ = Describe("bad input", func() {
	It("gets an error that says not run, and no target runs anything", func() {
		ctx := testContext()
		f := startSmallFleet(ctx, 1, 1)
		g := f.gateways[0]
		post := func(path, body string) answer {
			return send(ctx, http.MethodPost, g.Addr, path, circleKey, body, nil)
		}
		const chatPath = "/v1/chat/completions"

		By("refusing malformed, oversized and deeply nested bodies")
		for _, body := range []string{
			``, `{`, `[]`, `null`, `{"model":3,"messages":[]}`, `{"model":"chat-small"}`,
			`{"model":"chat-small","messages":"hi"}`, `{"model":"chat-small","messages":[],"max_tokens":0}`,
			`{"model":"chat-small","messages":[],"max_tokens":"9"}`, `{"model":"chat-small","messages":[],"n":2}`,
			`{"messages":[]}`, `{"model":"a","model":"b","messages":[]}`, "{\"model\":\"\xff\",\"messages\":[]}",
		} {
			expectRefused(post(chatPath, body), http.StatusBadRequest, "bad_request")
		}
		expectRefused(post("/v1/completions", `{"model":"chat-small","prompt":7}`), http.StatusBadRequest, "bad_request")
		huge := `{"model":"chat-small","messages":["` + strings.Repeat("x", 5<<20) + `"]}`
		expectRefused(post(chatPath, huge), http.StatusRequestEntityTooLarge, "body_too_large")
		deep := strings.Repeat("[", 100_000)
		expectRefused(post(chatPath, `{"model":"chat-small","messages":`+deep), http.StatusBadRequest, "bad_request")

		By("refusing unknown models, paths, methods and priority classes")
		expectRefused(post(chatPath, `{"model":"none","messages":[]}`), http.StatusNotFound, "model_not_found")
		expectRefused(post("/nowhere", "x"), http.StatusNotFound, "route_not_found")
		expectRefused(post("/v1/nowhere", "x"), http.StatusNotFound, "route_not_found")
		expectRefused(post("/printer", "x"), http.StatusNotFound, "route_not_found")
		expectRefused(send(ctx, http.MethodGet, g.Addr, chatPath, circleKey, "", nil), http.StatusMethodNotAllowed, "method_not_allowed")
		expectRefused(send(ctx, http.MethodPost, g.Addr, chatPath, circleKey, `{"model":"chat-small","messages":[]}`,
			http.Header{"X-Priority-Class": {"first"}}), http.StatusBadRequest, "bad_request")

		By("refusing missing, malformed and unknown keys")
		for _, header := range []string{"", "Bearer", "Bearer ", "Basic abc"} {
			a := send(ctx, http.MethodGet, g.Addr, "/v1/models", "", "", http.Header{"Authorization": {header}})
			expectRefused(a, http.StatusUnauthorized, "missing_api_key")
		}
		expectRefused(send(ctx, http.MethodGet, g.Addr, "/v1/models", "wrong", "", nil), http.StatusUnauthorized, "invalid_api_key")

		By("refusing headers that are too long or malformed")
		long := rawRequest(g, "GET /v1/models HTTP/1.1\r\nHost: g\r\nX-Long: "+strings.Repeat("x", 64<<10)+"\r\n\r\n")
		Expect(long).To(HavePrefix("HTTP/1.1 431 "))
		Expect(rawRequest(g, "NONSENSE\r\n\r\n")).To(HavePrefix("HTTP/1.1 400 "))

		By("finding that no target ran a request, and still serving")
		Expect(f.serviceRuns(ctx)).To(BeEmpty())
		a := chat(ctx, g.Addr, circleKey, `{"model":"chat-small","max_tokens":1,"messages":[]}`)
		Expect(a.status).To(Equal(http.StatusOK), a.body)
	})

	It("that arrives slowly or on too many connections gets an error", func() {
		ctx := testContext()
		f := startSmallFleet(ctx, 0, 1)
		g, err := f.StartGateway(ctx, "gateway-strict", func(cfg *settings.Gateway) {
			cfg.HeaderTimeout = 200 * time.Millisecond
			cfg.BodyTimeout = 200 * time.Millisecond
			cfg.MaxConnections = 4
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Ready(ctx)).To(Succeed())

		By("answering 408 to a slow header and a slow body")
		Expect(rawRequest(g, "GET /v1/models HTTP/1.1\r\nHost: g")).To(And(HavePrefix("HTTP/1.1 408 "), ContainSubstring("request_timeout")))
		slow := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer %s\r\nContent-Length: 50\r\nConnection: close\r\n\r\n{", circleKey)
		Expect(rawRequest(g, slow)).To(And(HavePrefix("HTTP/1.1 408 "), ContainSubstring("request_timeout")))

		By("answering 503 on connections above the limit")
		held := holdConnections(ctx, g, 4)
		Expect(rawRequest(g, "GET /v1/models HTTP/1.1\r\nHost: g\r\n\r\n")).To(And(HavePrefix("HTTP/1.1 503 "), ContainSubstring(`"code":"overloaded"`), ContainSubstring(`"not_run":true`)))
		for _, conn := range held {
			Expect(conn.Close()).To(Succeed())
		}
		Expect(fleet.Eventually(ctx, func() error {
			a := send(ctx, http.MethodGet, g.Addr, "/v1/models", circleKey, "", nil)
			if a.status != http.StatusOK {
				return fmt.Errorf("status %d", a.status)
			}
			return nil
		})).To(Succeed())
	})
})

// holdConnections opens connections, has each of them serve one request and
// returns them open.
func holdConnections(ctx context.Context, n *fleet.Node, count int) []net.Conn {
	held := make([]net.Conn, 0, count)
	for range count {
		Expect(fleet.Eventually(ctx, func() error {
			conn, err := net.Dial("tcp", n.Addr.String())
			if err != nil {
				return err
			}
			_, err = io.WriteString(conn, "GET /v1/entry HTTP/1.1\r\nHost: g\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.StatusCode != http.StatusOK {
				_ = conn.Close()
				return fmt.Errorf("connection not served: %w", err)
			}
			held = append(held, conn)
			return response.Body.Close()
		})).To(Succeed())
	}
	return held
}
