package tests

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"github.com/go-json-experiment/json"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/standin/modelengine"
	"fireflypier.example/fireflypier/internal/vmlist"
)

// setVMs replaces the platform's VM list and waits until every gateway shows
// just the given targets as leaving.
func (f *smallFleet) setVMs(ctx context.Context, states map[string]vmlist.State, leaving ...string) {
	vms := make([]vmlist.VM, 0, len(states))
	for name, state := range states {
		vms = append(vms, vmlist.VM{Name: name, Address: netip.MustParseAddr("127.0.0.1"), State: state})
	}
	body, err := json.Marshal(struct {
		VMs []vmlist.VM `json:"vms"`
	}{vms})
	Expect(err).NotTo(HaveOccurred())
	a := send(ctx, http.MethodPost, f.platform.Addr, "/standin/vms", "", string(body), nil)
	Expect(a.status).To(Equal(http.StatusOK), a.body)
	for _, g := range f.gateways {
		Expect(fleet.Eventually(ctx, func() error { return checkLeaving(ctx, g, leaving) })).To(Succeed())
	}
}

// checkLeaving returns an error unless a gateway's dump shows just the named
// targets as leaving.
func checkLeaving(ctx context.Context, g *fleet.Node, names []string) error {
	a := send(ctx, http.MethodGet, g.Admin, "/dump", "", "", nil)
	var dump struct {
		EngineViews []struct {
			Target  string
			Leaving bool
		} `json:"engine_views"`
	}
	if err := json.Unmarshal([]byte(a.body), &dump, json.MatchCaseInsensitiveNames(true)); err != nil {
		return err
	}
	leaving := map[string]bool{}
	for _, v := range dump.EngineViews {
		if v.Leaving {
			leaving[v.Target] = true
		}
	}
	for _, name := range names {
		if !leaving[name] {
			return errors.New(name + " is not shown as leaving")
		}
	}
	if len(leaving) != len(names) {
		return fmt.Errorf("%d targets are shown as leaving", len(leaving))
	}
	return nil
}

// checkListed returns an error unless a controller has read a list of n VMs. A
// controller treats a VM as gone only after it has read a list that contains it.
func checkListed(ctx context.Context, c *fleet.Node, n int) error {
	a := send(ctx, http.MethodGet, c.Admin, "/dump", "", "", nil)
	var dump struct {
		ListedVMs int `json:"listed_vms"`
	}
	if err := json.Unmarshal([]byte(a.body), &dump); err != nil {
		return err
	}
	if dump.ListedVMs < n {
		return fmt.Errorf("%s has %d VMs listed", c.Name, dump.ListedVMs)
	}
	return nil
}

// generationsAt returns the generations that an engine has started.
func generationsAt(ctx context.Context, e *fleet.Standin) []modelengine.Generation {
	a := send(ctx, http.MethodGet, e.Addr, "/standin/ran", "", "", nil)
	var body struct {
		Ran []modelengine.Generation `json:"ran"`
	}
	Expect(json.Unmarshal([]byte(a.body), &body)).To(Succeed())
	return body.Ran
}

// waitForBothEngines sends chats until both engines have run one.
func (f *smallFleet) waitForBothEngines(ctx context.Context) {
	Expect(fleet.Eventually(ctx, func() error {
		chat(ctx, f.gateways[0].Addr, circleKey, `{"model":"chat-small","max_tokens":1,"messages":[]}`)
		for _, e := range f.engines {
			if len(generationsAt(ctx, e)) == 0 {
				return errors.New(e.Name + " has run no chat")
			}
		}
		return nil
	})).To(Succeed())
}

// openStream starts a streaming chat, reads the first line of its body and
// returns the rest.
func openStream(ctx context.Context, addr netip.AddrPort, tokens int) io.ReadCloser {
	body := fmt.Sprintf(`{"model":"chat-small","max_tokens":%d,"stream":true,"messages":[]}`, tokens)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/v1/chat/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+circleKey)
	response, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	reader := bufio.NewReader(response.Body)
	_, err = reader.ReadString('\n')
	Expect(err).NotTo(HaveOccurred())
	return struct {
		io.Reader
		io.Closer
	}{reader, response.Body}
}

var _ = Describe("a leaving target", func() {
	live := map[string]vmlist.State{"vm-engine-0": vmlist.Live, "vm-engine-1": vmlist.Live, "vm-desk-0": vmlist.Live}

	It("gets no new requests and finishes those that it runs", func() {
		ctx := testContext()
		f := startSmallFleet(ctx, 2, 2)
		f.setVMs(ctx, live)
		for _, c := range f.controllers {
			Expect(fleet.Eventually(ctx, func() error { return checkListed(ctx, c, len(live)) })).To(Succeed())
		}
		f.waitForBothEngines(ctx)

		By("running long streams on both engines")
		warm := generationsAt(ctx, f.engines[0])
		var streams []io.ReadCloser
		for range 6 {
			streams = append(streams, openStream(ctx, f.gateways[0].Addr, 3000))
		}
		states := map[string]vmlist.State{"vm-engine-0": vmlist.Leaving, "vm-engine-1": vmlist.Live, "vm-desk-0": vmlist.Live}
		f.setVMs(ctx, states, "engine-0")
		before := generationsAt(ctx, f.engines[0])
		Expect(len(before)).To(BeNumerically(">", len(warm)))

		By("sending new requests while the VM list is unavailable")
		a := send(ctx, http.MethodPost, f.platform.Addr, "/standin/fault", "", `{"list_outage":true}`, nil)
		Expect(a.status).To(Equal(http.StatusOK))
		for i := range 20 {
			a := chat(ctx, f.gateways[i%2].Addr, circleKey, `{"model":"chat-small","max_tokens":2,"messages":[]}`)
			Expect(a.status).To(Equal(http.StatusOK), a.body)
		}
		Expect(generationsAt(ctx, f.engines[0])).To(HaveLen(len(before)))

		By("finishing the streams that ran")
		for _, s := range streams {
			data, err := io.ReadAll(s)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Close()).To(Succeed())
			Expect(string(data)).To(HaveSuffix("data: [DONE]\n\n"))
			Expect(strings.Count(string(data), `"content":`)).To(Equal(2999))
		}
		for _, ran := range generationsAt(ctx, f.engines[0]) {
			Expect(ran.Finished).To(BeTrue())
		}

		By("refusing a request as not run when the only plain service is gone")
		a = send(ctx, http.MethodPost, f.platform.Addr, "/standin/fault", "", `{}`, nil)
		Expect(a.status).To(Equal(http.StatusOK))
		delete(states, "vm-desk-0")
		f.setVMs(ctx, states, "engine-0", "desk-0")
		a = send(ctx, http.MethodPost, f.gateways[0].Addr, "/print/order", circleKey, "bands", nil)
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.body).To(ContainSubstring(`"not_run":true`))
		a = send(ctx, http.MethodGet, f.plainService.Addr, "/standin/ran", "", "", nil)
		Expect(a.body).To(Equal(`{"ran":[]}`))
	})
})
