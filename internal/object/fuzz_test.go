package object_test

import (
	"testing"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/object"
)

// FuzzObjectFile reads object files. Whatever they hold, reading and checking
// ends with a set or with a mistake, and a set that is read is written and
// read again with the same problems.
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
			t.Fatalf("a set that was read is not written: %v", err)
		}
		var again object.Set
		if err := document.Unmarshal(written, &again); err != nil {
			t.Fatalf("a set that was written is not read: %v", err)
		}
		if after := again.Check(); len(after) != len(problems) {
			t.Fatalf("%d problems became %d", len(problems), len(after))
		}
	})
}
