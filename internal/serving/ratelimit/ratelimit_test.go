package ratelimit_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/ratelimit"
)

func TestRateLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rate limit")
}

var (
	start     = time.Unix(1000, 0)
	tolerance = ratelimit.Tolerance{Overage: 0.1, Slack: 110_000, Window: 8 * time.Second}
	customer  = &policy.Customer{Name: "circle", Rate: 60_000, Burst: 60_000, ByTokens: true, PlainCost: 200}
)

var _ = Describe("a rate limiter", func() {
	It("admits a steady demand below the rate when only one of six VMs has demand", func() {
		l := ratelimit.New(tolerance, start)
		l.SetPeers(nil, 5, 0)
		for i := range 400 {
			now := start.Add(10*time.Second + time.Duration(i)*200*time.Millisecond)
			ok, _ := l.Take(customer, 10_000, now)
			Expect(ok).To(BeTrue(), "request %d", i)
		}
	})

	It("fills its buckets from the start of the process", func() {
		l := ratelimit.New(tolerance, start)
		l.SetPeers(nil, 5, 0)
		ok, _ := l.Take(customer, 16_000, start.Add(10*time.Second))
		Expect(ok).To(BeTrue())
	})

	It("does not deduct what a peer admitted before its first report", func() {
		l := ratelimit.New(tolerance, start)
		l.SetPeers(nil, 1, 0)
		l.RecordPeerAdmitted("peer", 1, customer.Name, 400_000)
		ok, _ := l.Take(customer, 10_000, start.Add(10*time.Second))
		Expect(ok).To(BeTrue())
	})

	It("deducts what peers admit, also after a peer restarts", func() {
		l := ratelimit.New(tolerance, start)
		l.SetPeers(nil, 1, 0)
		now := start.Add(10 * time.Second)
		ok, _ := l.Take(customer, 1, now)
		Expect(ok).To(BeTrue())
		before, _ := l.Level(customer.Name, now)
		l.RecordPeerAdmitted("peer", 1, customer.Name, 5_000)
		l.RecordPeerAdmitted("peer", 1, customer.Name, 15_000)
		l.RecordPeerAdmitted("peer", 2, customer.Name, 7_000)
		after, _ := l.Level(customer.Name, now)
		Expect(before - after).To(BeNumerically("~", 17_000, 1))
	})

	It("uses an equal share while all peers are silent", func() {
		l := ratelimit.New(tolerance, start)
		l.SetPeers(nil, 0, 5)
		admitted := 0.0
		for i := range 8000 {
			if ok, _ := l.Take(customer, 500, start.Add(time.Duration(i)*time.Millisecond)); ok {
				admitted += 500
			}
		}
		bound := (customer.Rate*8+customer.Burst)*1.1 + tolerance.Slack
		Expect(admitted).To(BeNumerically("<=", bound/6))
	})

	It("does not limit a customer without a rate", func() {
		l := ratelimit.New(tolerance, start)
		ok, _ := l.Take(&policy.Customer{Name: "free"}, 1e9, start)
		Expect(ok).To(BeTrue())
	})

	It("refunds the cost of a request that has not run", func() {
		l := ratelimit.New(tolerance, start)
		now := start.Add(10 * time.Second)
		ok, _ := l.Take(customer, 60_000, now)
		Expect(ok).To(BeTrue())
		l.Refund(customer, 60_000)
		ok, _ = l.Take(customer, 60_000, now)
		Expect(ok).To(BeTrue())
	})
})

// admission is one admitted request.
type admission struct {
	at   time.Time
	cost float64
}

// TestSumOfAllVMs guards against VMs that together admit more than the operators'
// bound in any window. VMs exchange their usage with a lag, and one VM may be cut
// off from the others halfway through.
func TestSumOfAllVMs(t *testing.T) {
	fixSeed(t, "199490331")
	RegisterTestingT(t)
	rapid.Check(t, func(rt *rapid.T) {
		const step = 20 * time.Millisecond
		vms := rapid.IntRange(2, 6).Draw(rt, "vms")
		lag := time.Duration(rapid.IntRange(1, 40).Draw(rt, "lag")) * step
		isolated := rapid.IntRange(-1, vms-1).Draw(rt, "cut")
		pressure := 0.0
		all := make([]*ratelimit.Limiter, vms)
		for i := range all {
			all[i] = ratelimit.New(tolerance, start)
			all[i].SetPeers(nil, vms-1, 0)
		}
		var admitted []admission
		requested := 0.0
		now := start
		for n := range 1200 {
			now = now.Add(step)
			if n%100 == 0 {
				pressure = rapid.SampledFrom([]float64{0, 0.5, 2, 8}).Draw(rt, "pressure")
			}
			if n%int(lag/step) == 0 {
				exchangeUsage(all, isolated, n > 600, now)
			}
			vm := rapid.IntRange(0, vms-1).Draw(rt, "vm")
			cost := rapid.Float64Range(200, 18_000).Draw(rt, "cost")
			for requested += pressure * customer.Rate * step.Seconds(); requested >= cost; requested -= cost {
				if ok, _ := all[vm].Take(customer, cost, now); ok {
					admitted = append(admitted, admission{now, cost})
				}
			}
		}
		bound := (customer.Rate*8+customer.Burst)*(1+tolerance.Overage) + tolerance.Slack
		if highest := maxCostInWindow(admitted, tolerance.Window); highest > bound {
			rt.Fatalf("%.0f tokens admitted in %v, want at most %.0f", highest, tolerance.Window, bound)
		}
	})
}

// exchangeUsage reports the usage of each VM to all others. If isIsolated is
// set, the VM with the index isolated neither sends nor receives reports.
func exchangeUsage(all []*ratelimit.Limiter, isolated int, isIsolated bool, now time.Time) {
	usage := make([]ratelimit.Usage, len(all))
	for i, l := range all {
		usage[i] = l.UsageByCustomer(now)[customer.Name]
	}
	connected := func(i, j int) bool { return !isIsolated || (i != isolated && j != isolated) }
	for i, l := range all {
		demand, live, silent := 0.0, 0, 0
		for j := range all {
			switch {
			case i == j:
			case connected(i, j):
				live++
				demand += usage[j].PerSecond
				l.RecordPeerAdmitted(string(rune('a'+j)), 1, customer.Name, usage[j].Admitted)
			default:
				silent++
			}
		}
		l.SetPeers(map[string]float64{customer.Name: demand}, live, silent)
	}
}

func maxCostInWindow(admitted []admission, window time.Duration) float64 {
	highest, sum, first := 0.0, 0.0, 0
	for _, a := range admitted {
		sum += a.cost
		for a.at.Sub(admitted[first].at) >= window {
			sum -= admitted[first].cost
			first++
		}
		highest = max(highest, sum)
	}
	return highest
}

// fixSeed sets rapid's seed, unless a flag has set it, so that runs are
// reproducible.
func fixSeed(t *testing.T, seed string) {
	t.Helper()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", seed); err != nil {
			t.Fatal(err)
		}
	}
}
