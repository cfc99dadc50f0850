package share_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestShare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "share")
}

// useSeed sets rapid's seed, so that every run checks the same schedules.
func useSeed(seed, checks string) error {
	if err := flag.Set("rapid.seed", seed); err != nil {
		return err
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		return err
	}
	return flag.Set("rapid.checks", checks)
}
