package failure_test

import (
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
)

func TestEveryKindHasADocumentedAnswer(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/API.md")
	g.Expect(err).NotTo(HaveOccurred())
	codes := map[string]bool{}
	for _, kind := range failure.Kinds() {
		a := kind.Answer()
		g.Expect(a.Status).To(BeNumerically(">=", 400), a.Code)
		g.Expect(codes).NotTo(HaveKey(a.Code))
		codes[a.Code] = true
		row := fmt.Sprintf("| `%s` | %d | `%s` | %t |", a.Code, a.Status, a.Type, a.NotRun)
		g.Expect(string(page)).To(ContainSubstring(row))
	}
}

func TestFromReturnsTheKindOfAWrappedError(t *testing.T) {
	g := NewWithT(t)
	err := errors.Wrap(failure.New(failure.Conflict, "row 1"), "swap head")
	g.Expect(failure.From(err).Kind).To(Equal(failure.Conflict))
	g.Expect(failure.Is(err, failure.Conflict)).To(BeTrue())
	g.Expect(failure.From(errors.New("other")).Kind).To(Equal(failure.Internal))
	g.Expect(failure.From(errors.New("other")).Answer().NotRun).To(BeFalse())
}
