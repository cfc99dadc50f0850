package quarantine_test

import (
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/fingerprint"
	"fireflypier.example/fireflypier/internal/serving/quarantine"
	"fireflypier.example/fireflypier/internal/serving/target"
)

func newQuarantine(probes bool) *quarantine.Quarantine {
	return quarantine.New(func() bool { return probes }, hclog.NewNullLogger())
}

// requests counts those that prompt has returned.
var requests atomic.Uint64

// prompt returns a request that no other one equals, with the given parts and one of its own.
func prompt(ids ...string) *exchange.Request {
	r := &exchange.Request{Fingerprint: fingerprint.Fingerprint(requests.Add(1))}
	for _, id := range append(ids, "own") {
		r.Prefix = append(r.Prefix, exchange.PromptPart{ID: id, Tokens: 100})
	}
	return r
}

// tell tells a VM all that another one knows.
func tell(to, from *quarantine.Quarantine, now time.Time) {
	for seen := int64(0); ; {
		some, upto := from.NewsAfter(seen, now)
		if len(some) == 0 {
			return
		}
		to.Merge(some, now)
		seen = upto
	}
}

func engine(i int) *target.Target { return &target.Target{ID: fmt.Sprint("e", i), Born: 1} }

func blocked(q *quarantine.Quarantine, r *exchange.Request, now time.Time) bool {
	_, _, is := q.Blocked(r, now)
	return is
}

// TestDeadlyPartIsQuarantined guards against requests of one kind that crash one engine
// after the other (BUDGET), and against refusals of sound ones that share other parts (LOST).
func TestDeadlyPartIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	q := newQuarantine(false)
	now := time.Unix(1000, 0)
	for i := range 3 {
		g.Expect(blocked(q, prompt("shared", "deadly"), now)).To(BeFalse())
		q.RecordCrash(prompt("shared", "deadly"), engine(i), now)
		q.RecordCrash(prompt("shared", "other"), engine(i), now) // in progress at the same engine
		now = now.Add(500 * time.Millisecond)
		q.RecordAnswer(prompt("shared"), now)
		now = now.Add(100 * time.Millisecond)
		q.RecordAnswer(prompt("shared", "other"), now)
	}
	g.Expect(blocked(q, prompt("new", "deadly"), now)).To(BeTrue(), "whatever else the prompt holds")
	g.Expect(blocked(q, prompt("shared"), now)).To(BeFalse())
	g.Expect(blocked(q, prompt("shared", "other"), now)).To(BeFalse())
	now = now.Add(90 * time.Second)
	g.Expect(blocked(q, prompt("deadly"), now)).To(BeTrue(), "this VM may not probe")
}

// TestFormerAnswersClearAPart guards against blaming a part for the crashes of another one
// because it is seldom asked for (LOST). Answers count that another VM has seen.
func TestFormerAnswersClearAPart(t *testing.T) {
	g := NewWithT(t)
	q, peer := newQuarantine(false), newQuarantine(true)
	now := time.Unix(1000, 0)
	peer.RecordAnswer(prompt("shared", "other"), now)
	now = now.Add(20 * time.Second)
	for i := range 3 {
		q.RecordCrash(prompt("shared", "deadly"), engine(i), now)
		now = now.Add(400 * time.Millisecond)
	}
	tell(peer, q, now)
	tell(q, peer, now)
	for _, q := range []*quarantine.Quarantine{q, peer} {
		g.Expect(blocked(q, prompt("shared", "other"), now)).To(BeFalse())
		g.Expect(blocked(q, prompt("new", "deadly"), now)).To(BeTrue())
		g.Expect(blocked(q, prompt("shared", "deadly"), now)).To(BeTrue())
		g.Expect(blocked(q, prompt("new", "deadly"), now.Add(10*time.Second))).To(BeTrue(), "a probe would tell nothing new")
	}
}

// TestFormerAnswersDoNotClearForever guards against engines that go on crashing on a part
// that was sound before, while each of its requests has another part that is new (BUDGET).
func TestFormerAnswersDoNotClearForever(t *testing.T) {
	g := NewWithT(t)
	q := newQuarantine(false)
	now := time.Unix(1000, 0)
	q.RecordAnswer(prompt("deadly"), now)
	now = now.Add(20 * time.Second)
	for i := range 3 {
		g.Expect(blocked(q, prompt("deadly", fmt.Sprint("new", i)), now)).To(BeFalse())
		q.RecordCrash(prompt("deadly", fmt.Sprint("new", i)), engine(i), now)
		now = now.Add(400 * time.Millisecond)
	}
	g.Expect(blocked(q, prompt("deadly", "new"), now)).To(BeTrue())
}

// TestProbeTellsPartsApart guards against a part that nobody had asked for before, that
// crashed engines only together with a deadly one, and that is then refused for a minute
// (LOST). One request with only one of the two tells which is to blame.
func TestProbeTellsPartsApart(t *testing.T) {
	for _, guilty := range []string{"first", "second"} {
		g := NewWithT(t)
		leader, other := newQuarantine(true), newQuarantine(false)
		now := time.Unix(1000, 0)
		for i := range 3 {
			leader.RecordCrash(prompt("first", "second"), engine(i), now)
			now = now.Add(400 * time.Millisecond)
		}
		now = now.Add(2 * time.Second)
		tell(other, leader, now)
		g.Expect(blocked(other, prompt("first", "x"), now)).To(BeTrue(), "only one VM probes")
		g.Expect(blocked(leader, prompt("first", "second"), now)).To(BeTrue(), "tells nothing")
		g.Expect(blocked(leader, prompt("first", "x"), now)).To(BeFalse(), "the probe")
		g.Expect(blocked(leader, prompt("first", "x"), now)).To(BeTrue(), "one at a time")
		if guilty == "first" {
			leader.RecordCrash(prompt("first", "x"), engine(3), now)
			now = now.Add(1500 * time.Millisecond)
			g.Expect(blocked(leader, prompt("first", "y"), now)).To(BeFalse(), "the second probe")
			leader.RecordCrash(prompt("first", "y"), engine(4), now)
		} else {
			leader.RecordAnswer(prompt("first", "x"), now)
		}
		now = now.Add(10 * time.Second)
		tell(other, leader, now)
		for _, q := range []*quarantine.Quarantine{leader, other} {
			g.Expect(blocked(q, prompt(guilty, "z"), now)).To(BeTrue())
			g.Expect(blocked(q, prompt(map[string]string{"first": "second", "second": "first"}[guilty], "z"), now)).To(BeFalse())
		}
	}
}

// TestLostEnginesQuarantineNothing guards against refusals after engines that are lost at
// the same time (LOST).
func TestLostEnginesQuarantineNothing(t *testing.T) {
	g := NewWithT(t)
	q := newQuarantine(false)
	now := time.Unix(1000, 0)
	for i := range 8 {
		q.RecordCrash(prompt("rare"), engine(i), now.Add(time.Duration(i)*20*time.Millisecond))
	}
	g.Expect(blocked(q, prompt("rare"), now.Add(time.Second))).To(BeFalse())
}

// TestCrashesThatComeTogether guards against engines that go on crashing on a part because
// they crash at the same time (BUDGET).
func TestCrashesThatComeTogether(t *testing.T) {
	g := NewWithT(t)
	q, peer := newQuarantine(false), newQuarantine(false)
	now := time.Unix(1000, 0)
	for i := range 6 {
		q.RecordCrash(prompt("first", "deadly"), engine(i), now)
		now = now.Add(20 * time.Millisecond)
	}
	now = now.Add(2 * time.Second)
	tell(peer, q, now)
	g.Expect(blocked(q, prompt("deadly"), now)).To(BeTrue())
	g.Expect(blocked(peer, prompt("deadly"), now)).To(BeTrue())
}

// TestLostEnginesSpareAnsweredParts guards against refusals after engines that are lost at
// the same time, of parts that engines have answered or had begun to answer (LOST).
func TestLostEnginesSpareAnsweredParts(t *testing.T) {
	for _, known := range []string{"answered before", "begun at a lost engine", "begun, as another VM knows"} {
		g := NewWithT(t)
		q, peer := newQuarantine(false), newQuarantine(false)
		now := time.Unix(1000, 0)
		if known == "answered before" {
			q.RecordAnswer(prompt("rare"), now)
		}
		now = now.Add(20 * time.Second)
		for i := range 8 {
			now = now.Add(20 * time.Millisecond)
			q.RecordCrash(prompt("rare"), engine(i), now)
		}
		switch known {
		case "begun at a lost engine":
			q.RecordLateCrash(prompt("rare"), engine(3), now)
		case "begun, as another VM knows":
			peer.RecordLateCrash(prompt("rare"), engine(3), now)
			tell(q, peer, now)
		}
		for range 10 {
			now = now.Add(time.Second)
			g.Expect(blocked(q, prompt("rare"), now)).To(BeFalse(), known)
		}
	}
}

// TestFewSeparateCrashesAreProbedEarly checks that a part whose crashes came together is
// tried again soon, and not again once that has crashed further engines.
func TestFewSeparateCrashesAreProbedEarly(t *testing.T) {
	g := NewWithT(t)
	crash := func() (*quarantine.Quarantine, time.Time) {
		q, now := newQuarantine(true), time.Unix(1000, 0)
		for i := range 6 {
			q.RecordCrash(prompt("p"), engine(i), now)
		}
		return q, now.Add(2 * time.Second)
	}
	q, now := crash()
	g.Expect(blocked(q, prompt("p"), now)).To(BeFalse(), "the probe")
	g.Expect(blocked(q, prompt("p"), now)).To(BeTrue(), "one at a time")
	q.RecordAnswer(prompt("p"), now)
	g.Expect(blocked(q, prompt("p"), now)).To(BeFalse())

	q, now = crash()
	probes := 0
	for i := range 50 {
		if !blocked(q, prompt("p"), now) {
			probes++
			q.RecordCrash(prompt("p"), engine(10+i), now)
		}
		now = now.Add(time.Second)
	}
	g.Expect(probes).To(Equal(2))
}

// TestManyCrashesAtOnce guards against a part that crashes engines so often that its
// crashes push each other out (BUDGET on the full-size day).
func TestManyCrashesAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var vms []*quarantine.Quarantine
	for range 5 {
		vms = append(vms, newQuarantine(false))
	}
	for i := range 160 {
		now = now.Add(30 * time.Millisecond)
		vms[i%5].RecordCrash(prompt("deadly"), engine(i), now)
		for _, q := range vms {
			tell(q, vms[i%5], now)
		}
		if i > 60 {
			for _, q := range vms {
				g.Expect(blocked(q, prompt("deadly"), now)).To(BeTrue(), "after crash %d", i)
			}
		}
	}
}

// TestProbeEndsQuarantine checks that a part is tried again, by one request at a time.
func TestProbeEndsQuarantine(t *testing.T) {
	g := NewWithT(t)
	q := newQuarantine(true)
	now := time.Unix(1000, 0)
	for i := range 3 {
		now = now.Add(time.Second)
		q.RecordCrash(prompt("p"), engine(i), now)
	}
	g.Expect(blocked(q, prompt("p"), now.Add(30*time.Second))).To(BeTrue())
	now = now.Add(time.Minute)
	g.Expect(blocked(q, prompt("p"), now)).To(BeFalse(), "the probe")
	g.Expect(blocked(q, prompt("p"), now.Add(time.Second))).To(BeTrue(), "one at a time")
	q.RecordAnswer(prompt("p"), now.Add(2*time.Second))
	g.Expect(blocked(q, prompt("p"), now.Add(3*time.Second))).To(BeFalse())
}

// TestVMsShareSuspects draws which VM sees which crash and answer. After each has heard of
// the others, the deadly part is blocked everywhere and no other one is.
func TestVMsShareSuspects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(2, 6).Draw(t, "VMs")
		var all []*quarantine.Quarantine
		for range vms {
			all = append(all, newQuarantine(false))
		}
		now := time.Unix(1000, 0)
		exchangeNews := func() {
			for range 2 {
				now = now.Add(100 * time.Millisecond)
				for _, a := range all {
					for _, b := range all {
						tell(b, a, now)
					}
				}
			}
		}
		vm := func(what string) *quarantine.Quarantine {
			return all[rapid.IntRange(0, vms-1).Draw(t, what)]
		}
		for i := range 5 {
			vm("crash seen by").RecordCrash(prompt("shared", "deadly"), engine(i), now)
			now = now.Add(time.Duration(rapid.IntRange(260, 3000).Draw(t, "ms to the answer")) * time.Millisecond)
			vm("answer seen by").RecordAnswer(prompt("shared"), now)
			if rapid.Bool().Draw(t, "exchange") {
				exchangeNews()
			}
		}
		now = now.Add(100 * time.Millisecond)
		exchangeNews()
		for i, q := range all {
			if !blocked(q, prompt("deadly"), now) {
				t.Fatalf("VM %d sends requests with the deadly part", i)
			}
			if blocked(q, prompt("shared"), now) {
				t.Fatalf("VM %d refuses sound requests", i)
			}
		}
	})
}

// again returns the same request as it comes another time.
func again(r *exchange.Request) *exchange.Request {
	c := *r
	return &c
}

// tellAll has all VMs hear of each other.
func tellAll(vms []*quarantine.Quarantine, now time.Time) {
	for _, from := range vms {
		for _, to := range vms {
			tell(to, from, now)
		}
	}
}

// TestDeadlyRequestIsQuarantined guards against a request that crashes one engine after the
// other, each at the VM that it comes to (BUDGET), and against refusals of others that were in
// progress at the same engines (LOST).
func TestDeadlyRequestIsQuarantined(t *testing.T) {
	for _, parts := range [][]string{nil, {"shared"}} {
		g := NewWithT(t)
		vms := []*quarantine.Quarantine{newQuarantine(false), newQuarantine(false), newQuarantine(false)}
		now := time.Unix(1000, 0)
		deadly, sound := prompt(parts...), prompt(parts...)
		if parts == nil {
			deadly.Prefix, sound.Prefix = nil, nil
		}
		for i := range 3 {
			vm := vms[i]
			g.Expect(blocked(vm, again(deadly), now)).To(BeFalse())
			vm.RecordCrash(again(deadly), engine(i), now)
			vm.RecordCrash(again(sound), engine(i), now)
			now = now.Add(400 * time.Millisecond)
			vms[(i+1)%3].RecordAnswer(again(sound), now)
			tellAll(vms, now)
		}
		late := newQuarantine(false) // has just started
		tell(late, vms[0], now)
		for _, vm := range append(vms, late) {
			g.Expect(blocked(vm, again(deadly), now)).To(BeTrue())
			g.Expect(blocked(vm, again(sound), now)).To(BeFalse())
			g.Expect(blocked(vm, prompt(parts...), now)).To(BeFalse())
		}
		now = now.Add(9 * time.Minute)
		g.Expect(blocked(vms[0], again(deadly), now)).To(BeTrue())
		now = now.Add(9 * time.Minute)
		g.Expect(blocked(vms[0], again(deadly), now)).To(BeTrue(), "for as long as it comes")
		g.Expect(blocked(vms[0], again(deadly), now.Add(11*time.Minute))).To(BeFalse(), "it is forgotten then")
	}
}

// TestProbesAreCounted guards against probes without end (BUDGET): a deadly request comes every
// second for two hours at VMs that take turns as the one that may probe, and that start anew.
func TestProbesAreCounted(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	leader := 0
	vms := make([]*quarantine.Quarantine, 3)
	start := func(i int) {
		vms[i] = quarantine.New(func() bool { return leader == i }, hclog.NewNullLogger())
	}
	for i := range vms {
		start(i)
	}
	deadly := prompt("part")
	sends := 0
	for i := range 7200 {
		now = now.Add(time.Second)
		if vm := vms[i%3]; !blocked(vm, again(deadly), now) {
			sends++
			vm.RecordCrash(again(deadly), engine(i), now)
		}
		tellAll(vms, now)
		switch {
		case i%97 == 0:
			leader = (leader + 1) % 3
		case i%1000 == 0:
			start(i / 1000 % 3)
			tellAll(vms, now)
		}
	}
	g.Expect(sends).To(BeNumerically("<=", 3+3))
	g.Expect(sends).To(BeNumerically(">", 3), "it was probed")
}

// TestAnsweredProbeFreesARequest checks that a request that was blamed wrongly is served again.
func TestAnsweredProbeFreesARequest(t *testing.T) {
	g := NewWithT(t)
	leader, other := newQuarantine(true), newQuarantine(false)
	now := time.Unix(1000, 0)
	r := prompt()
	for i := range 3 {
		other.RecordCrash(again(r), engine(i), now)
		now = now.Add(time.Second)
	}
	tell(leader, other, now)
	g.Expect(blocked(leader, again(r), now)).To(BeTrue())
	now = now.Add(time.Minute)
	g.Expect(blocked(leader, again(r), now)).To(BeFalse(), "the probe")
	leader.RecordFailure(again(r), now) // 404, say
	tell(other, leader, now)
	g.Expect(blocked(other, again(r), now)).To(BeFalse())
}

// TestLostEnginesSpareSoundRequests guards against refusals of requests that are alike and come
// often, while engines are lost for another reason, several at a time, again and again (LOST).
func TestLostEnginesSpareSoundRequests(t *testing.T) {
	g := NewWithT(t)
	vms := []*quarantine.Quarantine{newQuarantine(false), newQuarantine(false)}
	now := time.Unix(1000, 0)
	r := &exchange.Request{Fingerprint: 7}
	for round := range 20 {
		vms[round%2].RecordAnswer(again(r), now)
		now = now.Add(3 * time.Second)
		for i := range 5 {
			vms[i%2].RecordCrash(again(r), engine(10*round+i), now)
			now = now.Add(40 * time.Millisecond)
		}
		tellAll(vms, now)
		for range 10 {
			for _, vm := range vms {
				g.Expect(blocked(vm, again(r), now)).To(BeFalse(), "round %d", round)
			}
			now = now.Add(300 * time.Millisecond)
		}
	}
}

// TestNewRequestsPushNothingOut guards against a caller whose ever new requests are in progress
// while engines crash, so that those on which they crash are forgotten (BUDGET).
func TestNewRequestsPushNothingOut(t *testing.T) {
	g := NewWithT(t)
	vms := []*quarantine.Quarantine{newQuarantine(false), newQuarantine(false)}
	now := time.Unix(1000, 0)
	deadly := prompt()
	seen := make([]int64, 2)
	for i := range 3 {
		vms[i%2].RecordCrash(again(deadly), engine(i), now)
		for range 1500 {
			vms[i%2].RecordCrash(prompt(), engine(i), now)
		}
		for range 30 {
			now = now.Add(200 * time.Millisecond)
			for v, from := range vms {
				some, upto := from.NewsAfter(seen[v], now)
				vms[1-v].Merge(some, now)
				seen[v] = upto
			}
		}
	}
	for _, vm := range vms {
		g.Expect(blocked(vm, again(deadly), now)).To(BeTrue())
	}
}

// BenchmarkCrash has an engine crash under 64 requests of three parts each, and reports the
// bytes that the VM then sends to each peer, and the memory of a full list.
func BenchmarkCrash(b *testing.B) {
	now := time.Unix(1000, 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	q := newQuarantine(false)
	for i := range 40 {
		for range 64 {
			q.RecordCrash(prompt("a", "b"), engine(i), now)
		}
		now = now.Add(time.Second)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes, digests := 0, 0
	crash := 40
	for b.Loop() {
		_, seen := q.NewsAfter(1<<62, now)
		for range 64 {
			q.RecordCrash(prompt("a", "b"), engine(crash), now)
		}
		crash++
		for {
			some, upto := q.NewsAfter(seen, now)
			for _, s := range some {
				bytes += proto.Size(s)
			}
			digests++
			if len(some) == 0 || upto == seen {
				break
			}
			seen = upto
		}
		now = now.Add(time.Second)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB/full-list")
	b.ReportMetric(float64(bytes)/float64(b.N), "B/crash-and-peer")
	b.ReportMetric(float64(digests)/float64(b.N), "digests")
	runtime.KeepAlive(q)
}
