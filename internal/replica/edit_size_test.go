package replica_test

import (
	"testing"
	"time"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/revision"
)

// BenchmarkEditSize measures the cost of one edit to a replica with a full-size
// configuration: the encoded size of the edit, that of a whole snapshot for
// comparison, and the time to replay the edit.
func BenchmarkEditSize(b *testing.B) {
	base, err := revision.Empty().Merge(&revision.Edit{ID: "base", Put: fullSet()}, time.Now())
	if err != nil {
		b.Fatal(err)
	}
	e := &revision.Edit{ID: "5f1f4f0e-6c39-4c3e-9a57-0d6d1b1f5a10", BasedOn: base.Revision, Author: "operator"}
	e.Put.Adapters = map[string]object.Adapter{"adapter-0001": {Model: "model-000", Version: "2", MemoryBytes: 1 << 26}}
	next, err := base.Merge(e, time.Now())
	if err != nil {
		b.Fatal(err)
	}
	r := &revision.Record{Revision: next.Revision, Digest: next.Digest(), Time: next.Time, Edit: *e}
	size := func(v any) float64 {
		data, err := document.Marshal(v)
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(data))
	}
	for b.Loop() {
		if _, err := base.Replay(r); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(size(r), "edit-B")
	b.ReportMetric(size(next), "snapshot-B")
}
