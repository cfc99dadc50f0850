package claim

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func init() {
	// A fixed seed makes every run use the same schedules.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "150")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claim")
}
