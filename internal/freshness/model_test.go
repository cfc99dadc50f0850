package freshness_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/adoption"
	"fireflypier.example/fireflypier/internal/freshness"
	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/memberlist"
	"fireflypier.example/fireflypier/internal/revision"
)

const modelBound = 4 * time.Second

// rules holds the decisions of the model; a variant replaces one of them.
type rules struct {
	list            func(*memberlist.List) *memberlist.List
	confirms        func(w *simulation, list *memberlist.List, n *node, own freshness.State, answers map[string]freshness.State) bool
	accepted        func(list *memberlist.List, required freshness.State, acks map[string]freshness.State) bool
	confirmationAge func(time.Duration) time.Duration
}

func standardRules() rules {
	return rules{
		list: func(l *memberlist.List) *memberlist.List { return l },
		confirms: func(_ *simulation, list *memberlist.List, n *node, own freshness.State, answers map[string]freshness.State) bool {
			return freshness.New(list).Confirms(n.self.Region, own, answers)
		},
		accepted: func(list *memberlist.List, required freshness.State, acks map[string]freshness.State) bool {
			ok, _ := freshness.New(list).Accepted(required, acks)
			return ok
		},
		confirmationAge: func(d time.Duration) time.Duration { return d },
	}
}

// node is one incarnation of a gateway.
type node struct {
	self                                 member.Member
	adoption                             *adoption.Adoption
	dead, frozen, storeDown, networkDown bool
}

func (n *node) running() bool { return !n.dead && !n.frozen }

// edit is a committed edit; accepted is zero until it is accepted.
type edit struct {
	required freshness.State
	acks     map[string]freshness.State
	accepted time.Time
}

// call is an operation in progress; step advances it and reports whether it has
// ended.
type call struct {
	owner *node
	step  func() bool
}

// simulation is a fleet under a random schedule.
type simulation struct {
	rng          *rand.Rand
	rules        rules
	clock        *clockwork.FakeClock
	outage       bool
	headRevision int64
	lists        []*memberlist.List
	nodes        []*node
	edits        []*edit
	calls        []*call
	nextName     int
	settling     map[string]freshness.State
	regions      int
	actions      []func()
}

func newSimulation(seed uint64, r rules) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), rules: r, clock: clockwork.NewFakeClock(),
		lists: []*memberlist.List{memberlist.Empty()}, settling: map[string]freshness.State{},
	}
	w.regions = 1 + w.rng.IntN(4)/3
	for range w.regions * (1 + w.rng.IntN(4)) {
		w.join(w.start(w.newMember()))
	}
	for _, n := range w.nodes {
		w.fetch(n, w.headState())
	}
	w.change(&memberlist.Change{Settled: w.list().Version})
	w.weightActions()
	return w
}

// weightActions gives each action a random weight for this schedule, so that
// the schedules differ in kind: in many of them some of the faults do not
// occur.
func (w *simulation) weightActions() {
	add := func(least int, action func()) {
		weight := max(least, []int{0, 0, 0, 1, 2, 4}[w.rng.IntN(6)])
		for range weight {
			w.actions = append(w.actions, action)
		}
	}
	add(12, w.advanceCall)
	add(0, func() { w.whenRunning(w.read) })
	add(1, func() { w.whenRunning(func(n *node) { w.exchange(n, w.pick()) }) })
	add(1, func() { w.whenRunning(w.confirm) })
	add(1, w.commit)
	add(4, w.offer)
	add(4, w.evaluate)
	add(0, w.settle)
	add(0, func() { w.toggle(&w.pick().frozen) })
	add(0, func() { w.toggle(&w.pick().storeDown) })
	add(0, func() { w.toggle(&w.pick().networkDown) })
	add(0, func() { w.toggle(&w.outage) })
	add(0, w.restart)
	add(0, w.register)
	add(0, w.addNode)
	add(0, w.readList)
	add(2, func() { w.clock.Advance(time.Duration(w.rng.IntN(1000)) * time.Millisecond) })
}

// toggle flips a fault, with a bias to clear it: a fault that is set is always
// cleared, one that is clear is set with probability 1/3.
func (w *simulation) toggle(fault *bool) { *fault = !*fault && w.rng.IntN(3) == 0 }

func (w *simulation) whenRunning(f func(*node)) {
	if n := w.pick(); n.running() {
		f(n)
	}
}

func (w *simulation) newMember() member.Member {
	w.nextName++
	region := fmt.Sprintf("region-%d", w.nextName%w.regions)
	return member.Member{Name: fmt.Sprintf("g%d", w.nextName), Role: member.Gateway, Region: region, State: member.Live}
}

func (w *simulation) start(m member.Member) *node {
	m.Incarnation = fmt.Sprintf("%s#%d", m.Name, len(w.nodes))
	n := &node{self: m, adoption: adoption.New(w.clock, modelBound)}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *simulation) list() *memberlist.List { return w.lists[len(w.lists)-1] }

func (w *simulation) headState() freshness.State {
	return freshness.State{Revision: w.headRevision, Members: w.list().Version}
}

func (w *simulation) change(c *memberlist.Change) {
	current := w.list()
	c.Version, c.Floor = current.Version+1, w.headRevision
	c.Settled = max(c.Settled, current.Settled)
	w.lists = append(w.lists, current.Apply(c))
}

// join adds a node to the list and removes its predecessors of the same name.
func (w *simulation) join(n *node) {
	if _, ok := w.list().Find(n.self.Incarnation); ok {
		return
	}
	c := &memberlist.Change{Put: []member.Member{n.self}}
	for _, m := range w.list().Members {
		if m.Name == n.self.Name {
			c.Drop = append(c.Drop, m.Incarnation)
		}
	}
	w.change(c)
}

// fetch makes n adopt a state.
func (w *simulation) fetch(n *node, s freshness.State) {
	n.adoption.Adopt(&revision.Snapshot{Revision: s.Revision})
	n.adoption.AdoptMembers(w.lists[s.Members])
}

func (w *simulation) reaches(a, b *node) bool {
	return a.running() && b.running() && !a.networkDown && !b.networkDown
}

// pick returns a node that has not ended.
func (w *simulation) pick() *node {
	for {
		if n := w.nodes[w.rng.IntN(len(w.nodes))]; !n.dead {
			return n
		}
	}
}

// read starts a read of the head, which is requested, sampled and delivered in
// separate steps.
func (w *simulation) read(n *node) {
	requestedAt := w.clock.Now()
	var sampled *freshness.State
	w.begin(n, func() bool {
		if sampled == nil {
			if w.outage || n.storeDown {
				return true
			}
			s := w.headState()
			sampled = &s
			return false
		}
		w.fetch(n, *sampled)
		n.adoption.MarkConfirmed(*sampled, requestedAt)
		return true
	})
}

func (w *simulation) begin(owner *node, step func() bool) {
	w.calls = append(w.calls, &call{owner: owner, step: step})
}

// exchange starts a digest exchange, which is requested, answered and delivered
// in separate steps.
func (w *simulation) exchange(a, b *node) {
	requestedAt := w.clock.Now()
	var answer *freshness.State
	var age time.Duration
	var confirmed bool
	w.begin(a, func() bool {
		if answer == nil {
			if !w.reaches(a, b) {
				return true
			}
			s := b.adoption.State()
			age, confirmed = b.adoption.Age()
			answer = &s
			return false
		}
		w.fetch(a, *answer)
		if confirmed {
			a.adoption.MarkConfirmed(*answer, requestedAt.Add(-w.rules.confirmationAge(age)))
		}
		return true
	})
}

// confirm starts a confirmation, which queries the voters one after another in
// separate steps.
func (w *simulation) confirm(n *node) {
	requestedAt := w.clock.Now()
	own := n.adoption.State()
	list := n.adoption.Members()
	answers := map[string]freshness.State{n.self.Incarnation: own}
	remaining := w.rng.Perm(len(w.nodes))
	w.begin(n, func() bool {
		if w.rules.confirms(w, w.rules.list(list), n, own, answers) {
			n.adoption.MarkConfirmed(own, requestedAt)
			return true
		}
		for len(remaining) > 0 {
			other := w.nodes[remaining[0]]
			remaining = remaining[1:]
			if other != n && other.self.Region == n.self.Region && w.reaches(n, other) {
				answers[other.self.Incarnation] = other.adoption.State()
				return false
			}
		}
		return true
	})
}

// commit adds an edit; its offers and evaluations are separate actions.
func (w *simulation) commit() {
	last := len(w.edits) - 1
	if w.outage || last >= 0 && w.edits[last].accepted.IsZero() && w.rng.IntN(4) > 0 {
		return
	}
	w.headRevision++
	w.edits = append(w.edits, &edit{required: w.headState(), acks: map[string]freshness.State{}})
}

func (w *simulation) offer() {
	if len(w.edits) == 0 {
		return
	}
	e := w.edits[len(w.edits)-1-w.rng.IntN(min(2, len(w.edits)))]
	n := w.pick()
	if !n.running() || n.networkDown {
		return
	}
	n.adoption.Adopt(&revision.Snapshot{Revision: e.required.Revision})
	if w.rng.IntN(5) > 0 {
		e.acks[n.self.Incarnation] = n.adoption.State()
	}
}

// evaluate decides whether an edit is accepted, by a list that some controller
// may hold.
func (w *simulation) evaluate() {
	if len(w.edits) == 0 {
		return
	}
	e := w.edits[len(w.edits)-1-w.rng.IntN(min(2, len(w.edits)))]
	list := w.lists[len(w.lists)-1-w.rng.IntN(min(4, len(w.lists)))]
	if e.accepted.IsZero() && w.rules.accepted(w.rules.list(list), e.required, e.acks) {
		e.accepted = w.clock.Now()
	}
}

// settle collects one more answer and settles the list as far as the answers
// allow.
func (w *simulation) settle() {
	n := w.pick()
	if n.running() && !n.networkDown {
		w.settling[n.self.Incarnation] = n.adoption.State()
	}
	list := w.lists[max(0, len(w.lists)-1-w.rng.IntN(2))]
	if settled := freshness.New(list).SettledVersion(w.settling); !w.outage && settled > w.list().Settled {
		w.change(&memberlist.Change{Settled: settled})
	}
}

// restart ends a node and starts a successor without state.
func (w *simulation) restart() {
	n := w.pick()
	n.dead = true
	w.start(n.self)
}

func (w *simulation) register() {
	if n := w.pick(); !w.outage && n.running() && !n.storeDown {
		w.join(n)
	}
}

func (w *simulation) addNode() {
	if w.nextName >= 8 {
		return
	}
	n := w.start(w.newMember())
	if !w.outage && w.rng.IntN(2) == 0 {
		w.join(n)
	}
}

// readList makes a node adopt the list without the configuration, as happens if
// the list changes between two reads.
func (w *simulation) readList() {
	if n := w.pick(); !w.outage && n.running() && !n.storeDown {
		n.adoption.AdoptMembers(w.list())
	}
}

func (w *simulation) advanceCall() {
	if len(w.calls) == 0 {
		return
	}
	i := w.rng.IntN(len(w.calls))
	c := w.calls[i]
	if c.owner.frozen && !c.owner.dead {
		return
	}
	if c.owner.dead || c.step() {
		w.calls = append(w.calls[:i], w.calls[i+1:]...)
	}
}

func (w *simulation) runAction() { w.actions[w.rng.IntN(len(w.actions))]() }

// violation describes a node that is fresh although it lacks an edit that was
// accepted longer ago than the bound; it is empty if there is none.
func (w *simulation) violation() string {
	for _, n := range w.nodes {
		if !n.running() || n.adoption.Fresh() != nil {
			continue
		}
		have := n.adoption.State().Revision
		for _, e := range w.edits {
			late := !e.accepted.IsZero() && w.clock.Since(e.accepted) > modelBound
			if late && have < e.required.Revision {
				return fmt.Sprintf("%s serves revision %d, though %d was accepted %s ago",
					n.self.Incarnation, have, e.required.Revision, w.clock.Since(e.accepted))
			}
		}
	}
	return ""
}

// run runs one schedule and returns the first violation, the number of accepted
// edits and the number of observations of a fresh node during an outage.
func (w *simulation) run() (violation string, accepted, freshInOutage int) {
	for range modelSteps {
		w.runAction()
		if v := w.violation(); v != "" {
			return v, 0, 0
		}
		if w.outage {
			for _, n := range w.nodes {
				if n.running() && n.adoption.Fresh() == nil {
					freshInOutage++
				}
			}
		}
	}
	for _, e := range w.edits {
		if !e.accepted.IsZero() {
			accepted++
		}
	}
	return "", accepted, freshInOutage
}
