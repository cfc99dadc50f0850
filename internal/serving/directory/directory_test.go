package directory_test

import (
	"net/netip"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/serving/directory"
)

func TestDirectory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "directory")
}

func vms(n int) []netip.AddrPort {
	var all []netip.AddrPort
	for i := range n {
		all = append(all, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8221))
	}
	return all
}

var _ = Describe("the directory", func() {
	It("returns all VMs of a small site", func() {
		site := vms(64)
		Expect(directory.New(site[3]).Addresses(site)).To(ConsistOf(site))
	})

	It("returns every VM of a large site about equally often", func() {
		site := vms(300)
		occurrences := map[netip.AddrPort]int{}
		for _, self := range site {
			chosen := directory.New(self).Addresses(site)
			Expect(chosen).To(HaveLen(64))
			for _, a := range chosen {
				occurrences[a]++
			}
		}
		for _, a := range site {
			Expect(occurrences[a]).To(BeNumerically("~", 64, 32))
		}
	})

	It("returns the same VMs, but for one, when a VM leaves", func() {
		site := vms(90)
		d := directory.New(site[0])
		before := d.Addresses(site)
		after := d.Addresses(site[1:])
		same := 0
		for _, a := range before {
			for _, b := range after {
				if a == b {
					same++
				}
			}
		}
		Expect(same).To(BeNumerically(">=", 63))
	})
})
