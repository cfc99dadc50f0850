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
	It("admits a steady demand below the rate at one of six VMs", func() {
		a := ratelimit.New(tolerance, start)
		a.SetPeers(nil, 5, 0)
		for i := range 400 {
			now := start.Add(10*time.Second + time.Duration(i)*200*time.Millisecond)
			ok, _ := a.Take(customer, 10_000, now)
			Expect(ok).To(BeTrue(), "request %d", i)
		}
	})

	It("fills its buckets from the start of the process", func() {
		a := ratelimit.New(tolerance, start)
		a.SetPeers(nil, 5, 0)
		ok, _ := a.Take(customer, 16_000, start.Add(10*time.Second))
		Expect(ok).To(BeTrue())
	})

	It("takes nothing off for what a peer admitted before it was heard first", func() {
		a := ratelimit.New(tolerance, start)
		a.SetPeers(nil, 1, 0)
		a.RecordPeerAdmitted("peer", 1, customer.Name, 400_000)
		ok, _ := a.Take(customer, 10_000, start.Add(10*time.Second))
		Expect(ok).To(BeTrue())
	})

	It("takes off what peers admit, also after a restart of theirs", func() {
		a := ratelimit.New(tolerance, start)
		a.SetPeers(nil, 1, 0)
		now := start.Add(10 * time.Second)
		ok, _ := a.Take(customer, 1, now)
		Expect(ok).To(BeTrue())
		before, _ := a.Level(customer.Name, now)
		a.RecordPeerAdmitted("peer", 1, customer.Name, 5_000)
		a.RecordPeerAdmitted("peer", 1, customer.Name, 15_000)
		a.RecordPeerAdmitted("peer", 2, customer.Name, 7_000)
		after, _ := a.Level(customer.Name, now)
		Expect(before - after).To(BeNumerically("~", 17_000, 1))
	})

	It("uses an equal part while it hears nobody", func() {
		a := ratelimit.New(tolerance, start)
		a.SetPeers(nil, 0, 5)
		admitted := 0.0
		for i := range 8000 {
			if ok, _ := a.Take(customer, 500, start.Add(time.Duration(i)*time.Millisecond)); ok {
				admitted += 500
			}
		}
		bound := (customer.Rate*8+customer.Burst)*1.1 + tolerance.Slack
		Expect(admitted).To(BeNumerically("<=", bound/6))
	})

	It("does not limit a customer without a rate", func() {
		a := ratelimit.New(tolerance, start)
		ok, _ := a.Take(&policy.Customer{Name: "free"}, 1e9, start)
		Expect(ok).To(BeTrue())
	})

	It("returns the cost of what has not run", func() {
		a := ratelimit.New(tolerance, start)
		now := start.Add(10 * time.Second)
		ok, _ := a.Take(customer, 60_000, now)
		Expect(ok).To(BeTrue())
		a.Refund(customer, 60_000)
		ok, _ = a.Take(customer, 60_000, now)
		Expect(ok).To(BeTrue())
	})
})

// admission is one admitted request.
type admission struct {
	at   time.Time
	cost float64
}

// TestSumOfAllVMs lets VMs hear each other with lags, freezes and cuts, and
// checks the operators' bound over every window of all VMs together.
func TestSumOfAllVMs(t *testing.T) {
	fixSeed(t, "199490331")
	RegisterTestingT(t)
	rapid.Check(t, func(rt *rapid.T) {
		const step = 20 * time.Millisecond
		vms := rapid.IntRange(2, 6).Draw(rt, "vms")
		lag := time.Duration(rapid.IntRange(1, 40).Draw(rt, "lag")) * step
		cut := rapid.IntRange(-1, vms-1).Draw(rt, "cut")
		pressure := 0.0
		all := make([]*ratelimit.Limiter, vms)
		for i := range all {
			all[i] = ratelimit.New(tolerance, start)
			all[i].SetPeers(nil, vms-1, 0)
		}
		var admitted []admission
		asked := 0.0
		now := start
		for n := range 1200 {
			now = now.Add(step)
			if n%100 == 0 {
				pressure = rapid.SampledFrom([]float64{0, 0.5, 2, 8}).Draw(rt, "pressure")
			}
			if n%int(lag/step) == 0 {
				exchange(all, cut, n > 600, now)
			}
			vm := rapid.IntRange(0, vms-1).Draw(rt, "vm")
			cost := rapid.Float64Range(200, 18_000).Draw(rt, "cost")
			for asked += pressure * customer.Rate * step.Seconds(); asked >= cost; asked -= cost {
				if ok, _ := all[vm].Take(customer, cost, now); ok {
					admitted = append(admitted, admission{now, cost})
				}
			}
		}
		bound := (customer.Rate*8+customer.Burst)*(1+tolerance.Overage) + tolerance.Slack
		if most := mostInWindow(admitted, tolerance.Window); most > bound {
			rt.Fatalf("%.0f tokens were admitted in %v, the bound is %.0f", most, tolerance.Window, bound)
		}
	})
}

// exchange lets all VMs hear each other, but a VM that is cut off.
func exchange(all []*ratelimit.Limiter, cut int, isCut bool, now time.Time) {
	uses := make([]ratelimit.Usage, len(all))
	for i, a := range all {
		uses[i] = a.UsageByCustomer(now)[customer.Name]
	}
	hears := func(i, j int) bool { return !isCut || (i != cut && j != cut) }
	for i, a := range all {
		demand, live, silent := 0.0, 0, 0
		for j := range all {
			switch {
			case i == j:
			case hears(i, j):
				live++
				demand += uses[j].PerSecond
				a.RecordPeerAdmitted(string(rune('a'+j)), 1, customer.Name, uses[j].Admitted)
			default:
				silent++
			}
		}
		a.SetPeers(map[string]float64{customer.Name: demand}, live, silent)
	}
}

func mostInWindow(admitted []admission, window time.Duration) float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, a := range admitted {
		sum += a.cost
		for a.at.Sub(admitted[first].at) >= window {
			sum -= admitted[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

// fixSeed makes random checks repeat.
func fixSeed(t *testing.T, seed string) {
	t.Helper()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", seed); err != nil {
			t.Fatal(err)
		}
	}
}
