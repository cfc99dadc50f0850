package freshness_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/freshness"
	"fireflypier.example/fireflypier/internal/memberlist"
)

const (
	modelSteps    = 200
	modelChecks   = 20_000
	variantChecks = 40_000
)

func init() {
	if err := flag.Set("rapid.seed", "5"); err != nil {
		panic(err)
	}
}

func setChecks(t *testing.T, checks string) {
	t.Helper()
	before := flag.Lookup("rapid.checks").Value.String()
	if err := flag.Set("rapid.checks", checks); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set("rapid.checks", before) })
}

// No gateway admits what was withdrawn later than the bound after the edit
// was accepted, under any schedule; and schedules do accept edits, and do
// serve while the store is out.
func TestNothingWithdrawnIsAdmittedAfterTheBound(t *testing.T) {
	setChecks(t, "20000")
	accepted, fresh := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "schedule"), standardRules())
		violation, a, f := w.run(modelSteps)
		if violation != "" {
			t.Fatal(violation)
		}
		accepted += a
		fresh += f
	})
	t.Logf("%d edits accepted, %d looks at a fresh gateway during an outage", accepted, fresh)
	if accepted < modelChecks/10 || fresh < modelChecks/10 {
		t.Fatalf("the schedules show too little: %d edits accepted, %d fresh looks", accepted, fresh)
	}
}

// Each variant leaves one rule out; the same schedules must find the fault.
func TestSchedulesFindEachMissingRule(t *testing.T) {
	alter := map[string]func(*rules){
		"majority of the witnesses": func(r *rules) {
			r.confirms = func(_ *world, list *memberlist.List, n *node, own freshness.State, answers map[string]freshness.State) bool {
				for _, s := range answers {
					if !own.Covers(s) {
						return false
					}
				}
				return own.Members == list.Version && len(list.Gateways()[n.self.Region]) > 0
			}
		},
		"incarnations": func(r *rules) {
			r.confirms = func(w *world, list *memberlist.List, n *node, own freshness.State, answers map[string]freshness.State) bool {
				byName := map[string]freshness.State{}
				for _, other := range w.nodes {
					if s, ok := answers[other.self.Incarnation]; ok {
						byName[other.self.Name] = s
					}
				}
				named := map[string]freshness.State{}
				for _, m := range list.Members {
					if s, ok := byName[m.Name]; ok {
						named[m.Incarnation] = s
					}
				}
				return freshness.New(list).Confirms(n.self.Region, own, named)
			}
		},
		"acknowledgements before acceptance": func(r *rules) {
			r.accepted = func(*memberlist.List, freshness.State, map[string]freshness.State) bool { return true }
		},
		"majorities of the lists not settled": func(r *rules) {
			r.list = func(l *memberlist.List) *memberlist.List {
				return memberlist.New(l.Version, l.Floor, l.Version, l.Members)
			}
		},
		"the list's floor": func(r *rules) {
			r.list = func(l *memberlist.List) *memberlist.List {
				return memberlist.New(l.Version, 0, l.Settled, l.Members)
			}
		},
		"the list of the commit": func(r *rules) {
			r.accepted = func(list *memberlist.List, need freshness.State, acks map[string]freshness.State) bool {
				ok, _ := freshness.New(list).Accepted(freshness.State{Revision: need.Revision}, acks)
				return ok && list.Version > 0
			}
		},
		"the age of a vouch": func(r *rules) {
			r.vouchAge = func(time.Duration) time.Duration { return 0 }
		},
	}
	for name, change := range alter {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := standardRules()
			change(&r)
			for seed := range uint64(variantChecks) {
				if violation, _, _ := newWorld(seed, r).run(modelSteps); violation != "" {
					t.Logf("schedule %d: %s", seed, violation)
					return
				}
			}
			t.Fatalf("no schedule of %d finds the fault", variantChecks)
		})
	}
}
