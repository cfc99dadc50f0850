package fingerprint

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestSameContent checks that all that tells requests apart matters, also where one part ends.
func TestSameContent(t *testing.T) {
	g := NewWithT(t)
	f := Of("x", []byte("c"), "GET", "h", "/a?b")
	g.Expect(Of("x", []byte("c"), "GET", "h", "/a?b")).To(Equal(f))
	for _, other := range []Fingerprint{
		Of("y", []byte("c"), "GET", "h", "/a?b"),
		Of("x", []byte("d"), "GET", "h", "/a?b"),
		Of("x", nil, "GET", "h", "/a?b"),
		Of("x", []byte("c"), "PUT", "h", "/a?b"),
		Of("x", []byte("c"), "GET", "g", "/a?b"),
		Of("x", []byte("c"), "GET", "h", "/a"),
		Of("x", nil, "GET", "h", "/a?bc"),
		Of("x", []byte("c"), "GET", "h/a", "?b"),
	} {
		g.Expect(other).NotTo(Equal(f))
	}
}

// TestCallersAreApart guards against requests of one customer that hold back another's: the
// bits that depend on the caller do not depend on the request.
func TestCallersAreApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(caller string) Fingerprint {
			return Of(caller, []byte(rapid.String().Draw(t, "body of "+caller)), rapid.String().Draw(t, "path of "+caller))
		}
		if draw("one customer")>>contentBits == draw("another customer")>>contentBits {
			t.Fatal("two customers share fingerprints")
		}
	})
}

func BenchmarkOf(b *testing.B) {
	for name, size := range map[string]int{"1KB": 1 << 10, "4MB": 4 << 20} {
		b.Run(name, func(b *testing.B) {
			body := bytes.Repeat([]byte("x"), size)
			b.SetBytes(int64(size))
			for b.Loop() {
				Of("customer", body, "POST", "h.example", "/v1/answers?page=3")
			}
		})
	}
}
