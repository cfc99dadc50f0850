package document_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/document"
)

type settingsFile struct {
	Name    string        `json:"name"`
	Timeout time.Duration `json:"timeout,omitzero"`
	Sizes   []int         `json:"sizes,omitzero"`
}

func TestDecodeReportsPosition(t *testing.T) {
	cases := []struct {
		text         string
		line, column int
		message      string
	}{
		{"{\n  // comment\n  \"nme\": 1\n}", 3, 3, "unknown"},
		{"{\n  \"name\": \"a\",\n  \"name\": \"b\"\n}", 3, 3, "duplicate"},
		{"{\"name\": 7}", 1, 10, "string"},
		{"{\n\"timeout\": \"5 parsecs\"}", 2, 12, "duration"},
		{"{\n\"timeout\": 5}", 2, 12, "duration"},
		{"{\"sizes\": [1,\n2,\nfalse]}", 3, 1, "int"},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%q", c.text), func(t *testing.T) {
			g := NewWithT(t)
			err := document.Decode("file.jsonc", []byte(c.text), &settingsFile{})
			var documentError *document.Error
			g.Expect(errors.As(err, &documentError)).To(BeTrue(), "%v", err)
			g.Expect(documentError.File).To(Equal("file.jsonc"))
			g.Expect(documentError.Line).To(Equal(c.line), documentError.Error())
			g.Expect(documentError.Column).To(BeNumerically("~", c.column, 1), documentError.Error())
			g.Expect(documentError.Error()).To(ContainSubstring(c.message))
		})
	}
}

func TestDecodeReportsMalformedText(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"", "{", "{\"name\" 1}", "/* open"} {
		err := document.Decode("file.jsonc", []byte(text), &settingsFile{})
		g.Expect(err).To(HaveOccurred(), text)
		g.Expect(err.Error()).To(HavePrefix("file.jsonc:"), text)
	}
}

func TestDurationsAreEncodedAsStrings(t *testing.T) {
	g := NewWithT(t)
	want := settingsFile{Name: "a", Timeout: 1500 * time.Millisecond}
	data, err := document.Marshal(want)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal(`{"name":"a","timeout":"1.5s"}`))
	var got settingsFile
	g.Expect(document.Unmarshal(data, &got)).To(Succeed())
	g.Expect(got).To(Equal(want))
	g.Expect(document.Decode("message", data, &got)).To(Succeed())
	g.Expect(got).To(Equal(want))
}
