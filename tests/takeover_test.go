package tests

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/fleet"
)

// halfBurst is a chat whose initial charge is half of the circle's burst and
// whose answer has one token.
const halfBurst = `{"model":"chat-small","max_tokens":50000,"messages":["[tokens=1]"]}`

var _ = Describe("the rate of a customer whose only gateway was killed", func() {
	It("becomes available in full at another gateway while the VM stays listed", func() {
		ctx := testContext()
		f := startSmallFleet(ctx, 2, 1)
		for range 20 {
			a := chat(ctx, f.gateways[0].Addr, circleKey, halfBurst)
			Expect(a.status).To(Equal(http.StatusOK), a.body)
		}
		f.gateways[0].Kill()
		Expect(fleet.Eventually(ctx, func() error {
			a := chat(ctx, f.gateways[1].Addr, circleKey, halfBurst)
			if a.status != http.StatusOK {
				return fmt.Errorf("half of the burst: status %d: %s", a.status, a.body)
			}
			return nil
		})).To(Succeed())
	})
})
