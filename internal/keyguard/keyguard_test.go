package keyguard_test

import (
	"bytes"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/keyguard"
)

const key = "ffp-secret"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
	m.Run()
}

func protected(body io.Reader) (*http.Request, error) {
	r := httptest.NewRequest(http.MethodPost, "/print", body)
	return r, keyguard.New("Bearer " + key).Protect(r)
}

func TestBodyWithoutKeyIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		data := rapid.SliceOf(rapid.SampledFrom([]byte("fp-secrt"))).
			Filter(func(b []byte) bool { return !bytes.Contains(b, []byte(key)) }).
			Draw(t, "data")
		r, err := protected(iotest.OneByteReader(bytes.NewReader(data)))
		g.Expect(err).NotTo(HaveOccurred())
		got, err := io.ReadAll(r.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(bytes.Equal(got, data)).To(BeTrue())
	})
}

func TestBodyWithKeyFailsBeforeKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		before := rapid.SliceOfN(rapid.SampledFrom([]byte("fp-secrt ")), 0, 40_000).Draw(t, "before")
		size := rapid.IntRange(1, 50).Draw(t, "size")
		data := append(append(before, key...), "after"...)
		r, err := protected(bytes.NewReader(data))
		g.Expect(err).NotTo(HaveOccurred())
		got, err := io.ReadAll(chunked(r.Body, size))
		g.Expect(failure.Is(err, failure.BadRequest)).To(BeTrue())
		g.Expect(bytes.Contains(got, []byte(key))).To(BeFalse())
	})
}

// chunked returns a reader of at most size bytes per call.
func chunked(r io.Reader, size int) io.Reader { return &chunkedReader{r, size} }

type chunkedReader struct {
	r    io.Reader
	size int
}

func (c *chunkedReader) Read(p []byte) (int, error) { return c.r.Read(p[:min(c.size, len(p))]) }

func TestHeadersAndURLs(t *testing.T) {
	g := NewWithT(t)
	r := httptest.NewRequest(http.MethodPost, "/print", nil)
	r.Header.Set("X-Note", "my key is "+key)
	r.Header.Set("X-Kept", "note")
	g.Expect(keyguard.New("Bearer " + key).Protect(r)).To(Succeed())
	g.Expect(r.Header).To(Equal(http.Header{"X-Kept": {"note"}}))

	for _, address := range []string{"/print?k=" + key, "/print/" + key, "/print?k=ffp%2Dsecret", "/ffp%2Dsecret"} {
		r := httptest.NewRequest(http.MethodPost, address, nil)
		err := keyguard.New("Bearer " + key).Protect(r)
		g.Expect(failure.Is(err, failure.BadRequest)).To(BeTrue(), address)
		g.Expect(err.Error()).NotTo(ContainSubstring(key))
	}
}
