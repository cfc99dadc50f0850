package tests

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/go-json-experiment/json"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/revision"
	"fireflypier.example/fireflypier/internal/standin/plainservice"
)

// serviceRuns returns the requests that the plain service has run.
func (f *smallFleet) serviceRuns(ctx context.Context) []plainservice.ExecutedRequest {
	a := send(ctx, http.MethodGet, f.plainService.Addr, "/standin/ran", "", "", nil)
	var body struct {
		Ran []plainservice.ExecutedRequest `json:"ran"`
	}
	Expect(json.Unmarshal([]byte(a.body), &body)).To(Succeed())
	return body.Ran
}

// pipeline sends several requests on one connection before it reads the first
// answer, and returns the status code and body of each answer.
func pipeline(addr string, requests ...string) []string {
	conn, err := net.Dial("tcp", addr)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, strings.Join(requests, ""))
	Expect(err).NotTo(HaveOccurred())
	r := bufio.NewReader(conn)
	bodies := make([]string, 0, len(requests))
	for range requests {
		response, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		bodies = append(bodies, fmt.Sprintf("%d %s", response.StatusCode, data))
	}
	return bodies
}

func rawOrder(key, note string) string {
	return fmt.Sprintf("POST /print/order HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(note), note)
}

var _ = Describe("API keys", func() {
	It("determine the customer of each request", func() {
		ctx := testContext()
		f := startSmallFleet(ctx, 1, 1)
		gateway := f.gateways[0].Addr.String()

		By("pipelining requests with the keys of two customers and an unknown key on one connection")
		bodies := pipeline(gateway, rawOrder(circleKey, "a"), rawOrder(dealerKey, "b"), rawOrder("wrong", "c"), rawOrder(circleKey, "d"))
		Expect(bodies[2]).To(HavePrefix("401 "))
		ran := f.serviceRuns(ctx)
		Expect(ran).To(HaveLen(3))
		for i, want := range []struct{ customer, body string }{{"circle", "a"}, {"dealer", "b"}, {"circle", "d"}} {
			Expect(ran[i].Header["X-Customer"]).To(Equal([]string{want.customer}))
			Expect(ran[i].Body).To(Equal(want.body))
		}

		By("ignoring an X-Customer header that the caller sends")
		a := send(ctx, http.MethodPost, f.gateways[0].Addr, "/print/order", circleKey, "e", http.Header{"X-Customer": {"dealer"}})
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(f.serviceRuns(ctx)[3].Header["X-Customer"]).To(Equal([]string{"circle"}))

		By("refusing another customer's model and a missing key")
		Expect(chat(ctx, f.gateways[0].Addr, circleKey, `{"model":"chat-large","messages":[]}`).status).To(Equal(http.StatusForbidden))
		Expect(chat(ctx, f.gateways[0].Addr, "", `{"model":"chat-large","messages":[]}`).status).To(Equal(http.StatusUnauthorized))

		By("moving a key to another customer while its caller stays connected")
		f.apply(ctx, &revision.Edit{Put: object.Set{Keys: map[string]object.Key{"circle-1": keyObject("dealer", circleKey)}}})
		Expect(fleet.Eventually(ctx, func() error {
			send(ctx, http.MethodPost, f.gateways[0].Addr, "/print/order", circleKey, "f", nil)
			ran := f.serviceRuns(ctx)
			if got := ran[len(ran)-1].Header["X-Customer"][0]; got != "dealer" {
				return fmt.Errorf("the order ran for %s", got)
			}
			return nil
		})).To(Succeed())
	})

	It("do not appear at targets or in logs, metrics and dumps", func() {
		ctx := testContext()
		f := startSmallFleet(ctx, 1, 1)
		gateway := f.gateways[0].Addr

		By("sending the key in every part of a request")
		header := http.Header{"X-Api-Key": {circleKey}, "X-Note": {"key " + circleKey}, "Cookie": {"key=" + circleKey}, "X-Request-Id": {circleKey}}
		Expect(send(ctx, http.MethodPost, gateway, "/print/order", circleKey, "band", header).status).To(Equal(http.StatusOK))
		Expect(send(ctx, http.MethodPost, gateway, "/print/order?k="+circleKey, circleKey, "band", nil).status).To(Equal(http.StatusBadRequest))
		Expect(send(ctx, http.MethodPost, gateway, "/none/"+circleKey, circleKey, "band", nil).status).To(Equal(http.StatusBadRequest))
		Expect(send(ctx, http.MethodGet, gateway, "/status/gate", circleKey, "", header).status).To(Equal(http.StatusOK))
		body := strings.Repeat("band ", 20_000) + circleKey
		Expect(send(ctx, http.MethodPost, gateway, "/print/order", circleKey, body, nil).status).NotTo(Equal(http.StatusOK))
		Expect(chat(ctx, gateway, circleKey, `{"model":"chat-small","messages":["`+circleKey+`"]}`).status).To(Equal(http.StatusBadRequest))
		sendTrailer(ctx, gateway.String())
		Expect(chat(ctx, gateway, circleKey, `{"model":"chat-small","max_tokens":2,"messages":["band"]}`).status).To(Equal(http.StatusOK))

		By("searching targets, logs, metrics, dumps and objects for the key")
		ran, err := json.Marshal(f.serviceRuns(ctx))
		Expect(err).NotTo(HaveOccurred())
		Expect(ran).To(ContainSubstring("band"))
		places := map[string]string{"plain service": string(ran)}
		for _, path := range []string{"/dump", "/metrics"} {
			places["gateway"+path] = send(ctx, http.MethodGet, f.gateways[0].Admin, path, "", "", nil).body
			places["controller"+path] = send(ctx, http.MethodGet, f.controllers[0].Admin, path, "", "", nil).body
		}
		for _, p := range []*fleet.Process{f.gateways[0].Process, f.controllers[0].Process, f.plainService.Process, f.engines[0].Process, f.engines[1].Process} {
			places[p.Name+" log"], err = p.Log()
			Expect(err).NotTo(HaveOccurred())
		}
		for place, text := range places {
			Expect(strings.Contains(text, circleKey)).To(BeFalse(), place)
		}
		objects, err := f.operator.Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred())
		data, err := json.Marshal(objects)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Contains(data, []byte(circleKey))).To(BeFalse())
	})
})

// sendTrailer sends a chunked request with the key in a trailer field.
func sendTrailer(ctx context.Context, addr string) {
	reader, writer := io.Pipe()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/print/order", reader)
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+circleKey)
	r.Trailer = http.Header{"X-Note": {circleKey}}
	go func() {
		_, err := io.WriteString(writer, "band")
		writer.CloseWithError(err)
	}()
	response, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}
