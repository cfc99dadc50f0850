package object_test

import (
	"testing"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/object"
)

// FuzzObjectFile decodes and checks arbitrary object files. Decoding returns a set
// or an error, and a decoded set has as many problems after encoding and decoding
// as before.
func FuzzObjectFile(f *testing.F) {
	f.Add([]byte(`{"models": {"m": {"pool": "p", "version": "1", "memory_bytes": 1}}, // comment
		"pools": {"p": {"kind": "engines"}}, "targets": {"t": {"pool": "p", "address": "10.0.0.1:80",
		"data_centre": "d", "vm": "v", "memory_bytes": 2, "concurrency": 1}}}`))
	f.Add([]byte(`{"keys": {"k": {"customer": "c", "sha256": "00"}}, "customers": {"c": {"rate": "r"}}}`))
	f.Add([]byte(`{"routes": {"r": {"path_prefix": "/x", "pool": "p", "timeout": "1.5s"}}}`))
	f.Add([]byte(`{"rates": {"r": {"tokens_per_second": -1e999, "burst_tokens": 0}}, "rates": {}}`))
	f.Add([]byte(`{"adapters": {"a": {"model": "a", "version": "", "memory_bytes": -1}},}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var set object.Set
		if err := document.Decode("fuzz", data, &set); err != nil {
			return
		}
		problems := set.Check()
		written, err := document.Marshal(set)
		if err != nil {
			t.Fatalf("encode a decoded set: %v", err)
		}
		var again object.Set
		if err := document.Unmarshal(written, &again); err != nil {
			t.Fatalf("decode an encoded set: %v", err)
		}
		if after := again.Check(); len(after) != len(problems) {
			t.Fatalf("%d problems before encoding and decoding, %d after", len(problems), len(after))
		}
	})
}
