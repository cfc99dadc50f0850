package gatewaydirectory_test

import (
	"flag"
	"fmt"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/gatewaydirectory"
	"fireflypier.example/fireflypier/internal/member"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "11"); err != nil {
		panic(err)
	}
	m.Run()
}

// gateways returns n gateways, spread evenly over data centres in two regions.
func gateways(n, dataCentres int) []member.Member {
	list := make([]member.Member, 0, n)
	for i := range n {
		dc := i % dataCentres
		list = append(list, member.Member{
			Name: fmt.Sprintf("gateway-%d", i), Role: member.Gateway, State: member.Live,
			DataCentre: fmt.Sprintf("dc-%d", dc), Region: fmt.Sprintf("region-%d", dc%2),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		})
	}
	return list
}

func customers(n int) func() []gatewaydirectory.Customer {
	return func() []gatewaydirectory.Customer {
		list := make([]gatewaydirectory.Customer, 0, n)
		for i := range n {
			list = append(list, gatewaydirectory.Customer{Name: fmt.Sprintf("customer-%d", i), TokensPerSecond: float64(1000 / (i + 1))})
		}
		return list
	}
}

func TestAddresses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		members := gateways(rapid.IntRange(1, 60).Draw(t, "gateways"), rapid.IntRange(1, 6).Draw(t, "data centres"))
		byAddress := map[netip.AddrPort]member.Member{}
		for _, m := range members {
			byAddress[m.Address] = m
		}
		d := gatewaydirectory.New()
		d.Update(members, 1, customers(rapid.IntRange(1, 20).Draw(t, "customers")))
		caller := rapid.SampledFrom(members).Draw(t, "caller")
		addresses := d.Addresses("customer-0", caller.DataCentre)
		g.Expect(addresses).To(HaveLen(len(members)))
		first := byAddress[addresses[0]]
		g.Expect(first.DataCentre).To(Equal(caller.DataCentre))
		g.Expect(d.Homes("customer-0", caller.DataCentre)).To(ContainElement(first.Name))
		foreign := false
		for _, a := range addresses {
			if byAddress[a].Region != caller.Region {
				foreign = true
				continue
			}
			g.Expect(foreign).To(BeFalse(), "a gateway of another region comes before one of the caller's region")
		}
	})
}

// The load of a gateway stays near the mean, and the loss of one gateway moves few
// homes of the others.
func TestHomesLimitLoadAndAreStable(t *testing.T) {
	g := NewWithT(t)
	const dataCentre = "dc-0"
	members := gateways(320, 6)
	all := customers(500)
	d := gatewaydirectory.New()
	d.Update(members, 1, all)
	before := map[string][]string{}
	load := map[string]float64{}
	total := 0.0
	for _, c := range all() {
		homes := d.Homes(c.Name, dataCentre)
		g.Expect(homes).NotTo(BeEmpty())
		before[c.Name] = homes
		total += c.TokensPerSecond
		for _, h := range homes {
			load[h] += c.TokensPerSecond / float64(len(homes))
		}
	}
	inDataCentre := 0
	for _, m := range members {
		if m.DataCentre == dataCentre {
			inDataCentre++
		}
	}
	for name, l := range load {
		g.Expect(l).To(BeNumerically("<=", 1.26*total/float64(inDataCentre)), name)
	}

	lost := members[6]
	g.Expect(lost.DataCentre).To(Equal(dataCentre))
	d.Update(append(append([]member.Member{}, members[:6]...), members[7:]...), 1, all)
	moved := 0
	for name, homes := range before {
		after := d.Homes(name, dataCentre)
		for _, h := range homes {
			if h == lost.Name {
				continue
			}
			if !contains(after, h) {
				moved++
			}
		}
	}
	g.Expect(moved).To(BeNumerically("<", len(before)/4), "homes that moved although their gateway is still live")
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func TestEqualGatewaysRotate(t *testing.T) {
	g := NewWithT(t)
	d := gatewaydirectory.New()
	d.Update(gateways(4, 1), 1, customers(1))
	first := map[netip.AddrPort]int{}
	for range 40 {
		first[d.Addresses("", "dc-0")[0]]++
	}
	g.Expect(first).To(HaveLen(4))
}
