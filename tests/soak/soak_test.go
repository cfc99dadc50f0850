// Package soak runs node processes against stand-ins of the platform while
// faults come in series and overlap, and checks what callers and targets see.
//
//	go test ./tests/soak                                   the seeds of CI
//	SOAK_SEEDS=1-50 SOAK_SECONDS=20 go test -timeout 2h ./tests/soak
package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/faultproxy"
	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/serving/fakestore"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

const (
	nodes   = 4
	callers = 6
	// settled is the time after the last fault from which everything must
	// work: the operators' bound for recovery.
	recoveryTime = 12 * time.Second
	// atEase is the part of requests that must be served then.
	minServedRatio = 0.95
	// checksPerNode is a multiple of the kinds of requests and of the models.
	checksPerNode = 18
)

// ciSeeds are played by default; a seed that ever failed stays here with a line
// on its cause.
var ciSeeds = []uint64{
	3, // a killed node did not come back, once; not traced, see docs/PROOFS.md
}

// schedule returns the seeds and the length of the faults of each.
func schedule() (seeds []uint64, length time.Duration) {
	seeds, length = ciSeeds, 8*time.Second
	if s, err := strconv.Atoi(os.Getenv("SOAK_SECONDS")); err == nil {
		length = time.Duration(s) * time.Second
	}
	first, last, ok := strings.Cut(os.Getenv("SOAK_SEEDS"), "-")
	from, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		return seeds, length
	}
	to := from
	if ok {
		to, err = strconv.ParseUint(last, 10, 64)
		Expect(err).NotTo(HaveOccurred())
	}
	seeds = nil
	for s := from; s <= to; s++ {
		seeds = append(seeds, s)
	}
	return seeds, length
}

var programs fleet.Programs

var _ = BeforeSuite(func() {
	var err error
	programs, err = fleet.Build(context.Background(), GinkgoT().TempDir())
	Expect(err).NotTo(HaveOccurred())
})

var _ = Describe("a site under faults", func() {
	seeds, length := schedule()
	for i, seed := range seeds {
		It(fmt.Sprintf("keeps its promises with seed %d", seed), func() {
			dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
			Expect(err).NotTo(HaveOccurred())
			s := newTestSite(dir, programs.Fireflypier, rand.New(rand.NewPCG(seed, 1)), byte(40+i%100), nodes)
			DeferCleanup(func() {
				s.close()
				if !CurrentSpecReport().Failed() {
					Expect(os.RemoveAll(dir)).To(Succeed())
				}
			})
			s.waitReady()
			ctx, stop := context.WithCancel(context.Background())
			var wg conc.WaitGroup
			for c := range callers {
				wg.Go(func() { s.runCaller(ctx, c, rand.New(rand.NewPCG(seed, uint64(2+c)))) })
			}
			s.injectFaults(length)
			time.Sleep(recoveryTime)
			served, sent := s.checkRecovered()
			stop()
			wg.Wait()
			s.mu.Lock()
			defer s.mu.Unlock()
			Expect(s.violations).To(BeEmpty(), "logs are kept in "+dir)
			Expect(float64(served)).To(BeNumerically(">=", minServedRatio*float64(sent)), "logs are kept in "+dir)
		})
	}
})

func (s *testSite) waitReady() {
	for _, n := range s.nodes {
		Eventually(func() error { return s.ready(n) }, "20s", "100ms").Should(Succeed())
	}
}

func (s *testSite) ready(n *node) error {
	res, err := http.Get("http://" + n.addr(18224).String() + "/readiness")
	if err != nil {
		return err
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %d", n.name, res.StatusCode)
	}
	return nil
}

// answer is what a caller got.
type answer struct {
	status   int
	body     string
	sealed   bool
	complete bool
}

var kinds = []string{"look", "buy", "draft"}

// ask sends one request to a node.
func (s *testSite) sendRequest(ctx context.Context, client *http.Client, n *node, kind, id, key, model string) answer {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front().String()+"/"+kind+"/1", bytes.NewReader([]byte("question")))
	if err != nil {
		return answer{}
	}
	r.GetBody = nil
	r.Host = "h.example"
	r.Header.Set("Fireflypier-Request-Id", id)
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("Fireflypier-Deadline-Ms", "4000")
	if kind == "draft" {
		r.Header.Set("Fireflypier-Model", model)
		r.Header.Set("Fireflypier-Token-Usage", "100,40")
	}
	res, err := client.Do(r)
	if err != nil {
		return answer{}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return answer{res.StatusCode, string(body), res.Header.Get("Fireflypier-Server-Seal") != "", err == nil}
}

// call sends requests over kept connections until ctx ends, and checks each
// answer.
func (s *testSite) runCaller(ctx context.Context, caller int, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("c%d-%d", caller, i)
		kind := kinds[r.IntN(len(kinds))]
		n := s.nodes[r.IntN(len(s.nodes))]
		a := s.sendRequest(context.WithoutCancel(ctx), client, n, kind, id, s.randomKey(r), fmt.Sprintf("m%d", 1+r.IntN(3)))
		s.checkAnswer(id, kind, a)
		time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
	}
}

func (s *testSite) randomKey(r *rand.Rand) string { return []string{"key-1", "key-2"}[r.IntN(2)] }

// expected returns the whole answer to a request.
func expected(id, kind string) string {
	if kind != "draft" {
		return "answer " + id
	}
	var b strings.Builder
	for i := 1; i <= eventsPerAnswer; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, id)
	}
	return b.String()
}

// judge checks one answer against what the targets saw.
func (s *testSite) checkAnswer(id, kind string, a answer) {
	runs := s.runCount(id)
	switch {
	case kind != "look" && runs > 1:
		s.reportViolation("request %s (%s) ran %d times", id, kind, runs)
	case a.status == http.StatusOK && a.complete && (a.body != expected(id, kind) || !a.sealed):
		s.reportViolation("request %s (%s) got %q, signed %t", id, kind, a.body, a.sealed)
	case (a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable) && runs > 0 && kind != "look":
		s.reportViolation("request %s (%s) was answered %d and has run", id, kind, a.status)
	case a.status == http.StatusNotFound || a.status == http.StatusForbidden:
		s.reportViolation("request %s (%s) was answered %d", id, kind, a.status)
	}
}

// check asks every node for everything once more, and for a withdrawn key.
func (s *testSite) checkRecovered() (served, sent int) {
	s.publish(1000, "key-last")
	time.Sleep(2 * time.Second)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ctx := context.Background()
	for _, n := range s.nodes {
		for i := range checksPerNode {
			id := fmt.Sprintf("last-%s-%d", n.name, i)
			kind := kinds[i%len(kinds)]
			a := s.sendRequest(ctx, client, n, kind, id, "key-last", fmt.Sprintf("m%d", 1+i%3))
			s.checkAnswer(id, kind, a)
			sent++
			if a.status == http.StatusOK && a.complete {
				served++
			} else {
				s.logEvent("%s: %s answered %d, whole %t: %s", id, kind, a.status, a.complete, a.body)
			}
		}
		id := "withdrawn-" + n.name
		if a := s.sendRequest(ctx, client, n, "look", id, "key-1", ""); a.status != http.StatusUnauthorized || s.runCount(id) > 0 {
			s.reportViolation("%s answers %d to a key that was withdrawn two seconds ago", n.name, a.status)
		}
	}
	return served, sent
}

// faults brings about random faults, which overlap, for a while, and ends them
// all.
func (s *testSite) injectFaults(length time.Duration) {
	var wg conc.WaitGroup
	version := 1
	for began := time.Now(); time.Since(began) < length; {
		n := s.nodes[s.rand.IntN(len(s.nodes))]
		duration := time.Duration(300+s.rand.IntN(2500)) * time.Millisecond
		kind := s.rand.IntN(12)
		s.logEvent("fault %d at %s for %s", kind, n.name, duration)
		if kind == 11 {
			version++
			// Both keys stay good, so that no refusal is due.
			s.publish(version, `key-1","key-2`)
		} else {
			wg.Go(func() { s.injectFault(kind, n, duration) })
		}
		time.Sleep(time.Duration(100+s.rand.IntN(900)) * time.Millisecond)
	}
	wg.Wait()
}

func (s *testSite) injectFault(kind int, n *node, duration time.Duration) {
	proxied := func(p *faultproxy.Proxy, f faultproxy.Fault) {
		p.SetFault(f)
		time.Sleep(duration)
		p.SetFault(faultproxy.Fault{})
		p.CutAll()
	}
	switch kind {
	case 0, 1:
		n.currentProcess().Kill()
	case 2:
		n.terminate()
	case 3:
		s.freeze(n, duration)
	case 4:
		_ = n.currentProcess().Hangup()
	case 5:
		proxied(n.proxy, faultproxy.Fault{Freeze: true})
	case 6:
		proxied(n.proxy, faultproxy.Fault{Refuse: true})
	case 7:
		proxied(n.proxy, faultproxy.Fault{DropAnswers: true})
	case 8:
		s.rows.Fail(fakestore.Failure(1 + int(duration)%3))
		time.Sleep(duration)
		s.rows.Fail(fakestore.None)
		s.rows.Compact()
	case 9:
		s.stopTarget(map[bool]string{true: "plain", false: "engines"}[int(duration)%2 == 0])
		time.Sleep(3 * time.Second)
	case 10:
		if t := s.anyTarget(); t != nil {
			proxied(t.proxy, []faultproxy.Fault{{Delay: 100 * time.Millisecond}, {Freeze: true}, {DropAnswers: true}, {CutAnswersAfter: 90}}[int(duration)%4])
		}
	}
}

func (s *testSite) anyTarget() *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		return t
	}
	return nil
}
