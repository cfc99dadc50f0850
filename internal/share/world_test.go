package share_test

import (
	"fmt"
	"net/netip"
	"time"

	"fireflypier.example/fireflypier/internal/bucket"
	"fireflypier.example/fireflypier/internal/share"
)

const (
	voters       = 3
	gateways     = 4
	silenceBound = time.Second
	tolerance    = 1e-3
)

// fault is a fault injected into the protocol, to show that the checks detect
// it.
type fault int

const (
	noFault fault = iota
	// rowSeenBeforeSwap lets receivers observe a row before it is written.
	rowSeenBeforeSwap
	// noSilenceProof claims parts without proof that their holder is silent.
	noSilenceProof
	// duplicateReplies processes the reply to a pull each time it arrives.
	duplicateReplies
	// lifetimeFromArrival starts the lifetime of borrowed tokens at their
	// arrival and ignores the time in transit.
	lifetimeFromArrival
	// unknownAsNotWritten treats a swap without a reply as not written.
	unknownAsNotWritten
)

type rate struct{ rate, burst float64 }

// admission is an admitted request and the tokens that it used.
type admission struct {
	at     time.Time
	tokens float64
}

// unsettledCharge is a charge that has not been settled. index is that of its
// admission.
type unsettledCharge struct {
	gateway    *gateway
	generation int
	charge     bucket.Charge
	index      int
}

// gateway is a gateway whose processes run one after another; generation counts
// them.
type gateway struct {
	w                *world
	id               int
	generation       int
	alive            bool
	paused           bool
	partitioned      bool
	share            *share.Share
	started          time.Time
	pendingSwap      int
	pendingPulls     map[int]bool
	lastContact      map[string]time.Time
	confirmedSilent  map[string]bool
	heartbeatReplies map[time.Time]int
	lastQuorum       time.Time
	rate             rate
}

// event is a message in transit to a gateway, or to the store if to is nil.
type event struct {
	to         *gateway
	generation int
	run        func()
	// atMostOnce marks a message that is never duplicated.
	atMostOnce bool
}

// world simulates the store, the gateways and the messages between them.
type world struct {
	fault     fault
	now       time.Time
	row       share.Row
	version   int64
	storeDown bool
	gateways  []*gateway
	events    []event
	admitted  []admission
	charges   []unsettledCharge
	current   rate
	highest   rate
	number    int
	violation string
	// reclaimed counts suspects whose parts other gateways claimed.
	reclaimed int
}

func newWorld(f fault) *world {
	w := &world{fault: f, now: time.Unix(1000, 0), current: rate{100, 200}, highest: rate{100, 200}}
	for i := range gateways {
		g := &gateway{w: w, id: i}
		w.gateways = append(w.gateways, g)
		if i < voters {
			g.start()
			g.started = w.now.Add(-time.Minute)
		}
	}
	return w
}

func (g *gateway) holder() share.Holder {
	return share.Holder{
		Name: fmt.Sprint("gateway-", g.id), Incarnation: fmt.Sprint(g.id, "/", g.generation), Region: "region-1",
		Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(1000+g.id)),
	}
}

func (g *gateway) start() {
	g.generation++
	g.alive = true
	g.paused = false
	g.started = g.w.now
	opts := []share.Option{share.WithFailureDetector(g, silenceBound), share.WithStandby(g.standby)}
	if g.id >= voters {
		opts = append(opts, share.WithTerminated(g.w.terminated))
	}
	g.share = share.New(g.holder(), opts...)
	g.pendingPulls = map[int]bool{}
	g.lastContact = map[string]time.Time{}
	g.confirmedSilent = map[string]bool{}
	g.heartbeatReplies = map[time.Time]int{}
	g.lastQuorum = time.Time{}
	g.pendingSwap = 0
	g.adoptRate()
}

// standby returns the next running gateway as the standby.
func (g *gateway) standby() (share.Holder, bool) {
	for i := 1; i < len(g.w.gateways); i++ {
		other := g.w.gateways[(g.id+i)%len(g.w.gateways)]
		if other.alive {
			return other.holder(), true
		}
	}
	return share.Holder{}, false
}

// terminated reports whether the process of a holder has ended.
func (w *world) terminated(h *share.Holder) bool {
	for _, g := range w.gateways {
		if g.alive && g.holder().Incarnation == h.Incarnation {
			return false
		}
	}
	return true
}

func (g *gateway) adoptRate() {
	g.rate = g.w.current
	g.share.SetRate(g.rate.rate, g.rate.burst, g.w.now)
}

func (g *gateway) isRunning() bool { return g.alive && !g.paused }

// LastQuorum implements share.FailureDetector.
func (g *gateway) LastQuorum() time.Time {
	if g.w.fault == noSilenceProof {
		return g.w.now
	}
	return g.lastQuorum
}

// Silent implements share.FailureDetector. Running voters that can be reached
// confirm the silence at once.
func (g *gateway) Silent(h *share.Holder) bool {
	if g.w.fault == noSilenceProof {
		return true
	}
	confirmed := 0
	for _, m := range g.w.gateways[:voters] {
		reached := m == g || !m.partitioned && !g.partitioned
		if m.isRunning() && reached && m.holder().Name != h.Name && m.confirmSilent(h.Incarnation) {
			confirmed++
		}
	}
	return confirmed > voters/2
}

func (g *gateway) confirmSilent(incarnation string) bool {
	lastContact := g.started
	if at, ok := g.lastContact[incarnation]; ok {
		lastContact = at
	}
	if g.w.now.Sub(lastContact) < silenceBound {
		return false
	}
	g.confirmedSilent[incarnation] = true
	return true
}

func (w *world) send(to *gateway, run func()) {
	e := event{to: to, run: run}
	if to != nil {
		e.generation = to.generation
	}
	w.events = append(w.events, e)
}

// deliver delivers a message unless its receiver is paused, and drops it if the
// receiver's process has ended. duplicate keeps a copy in transit.
func (w *world) deliver(i int, duplicate bool) {
	e := w.events[i]
	receiverEnded := e.to != nil && (!e.to.alive || e.to.generation != e.generation)
	if !receiverEnded && e.to != nil && e.to.paused {
		return
	}
	if !duplicate || e.atMostOnce {
		w.events = append(w.events[:i:i], w.events[i+1:]...)
	}
	if !receiverEnded {
		e.run()
	}
}

func (g *gateway) take(tokens float64) {
	now := g.w.now
	g.share.RecordDemand(tokens, now)
	c, ok := g.share.Take(tokens, now)
	if !ok {
		return
	}
	g.w.charges = append(g.w.charges, unsettledCharge{g, g.generation, c, len(g.w.admitted)})
	g.w.admitted = append(g.w.admitted, admission{now, tokens})
}

func (w *world) settle(i int, used float64) {
	c := w.charges[i]
	w.charges = append(w.charges[:i:i], w.charges[i+1:]...)
	a := &w.admitted[c.index]
	used *= a.tokens
	a.tokens = used
	c.gateway.share.Settle(c.charge, used, w.now)
}

func (g *gateway) read() {
	if g.w.storeDown {
		return
	}
	readAt := g.w.now
	g.w.send(nil, func() {
		row, version := g.w.copyRow(), g.w.version
		g.w.send(g, func() { g.share.Observe(row, version, readAt, g.w.now) })
	})
}

func (w *world) copyRow() share.Row {
	r := w.row
	r.Holders = append([]share.Holder{}, r.Holders...)
	return r
}

func (g *gateway) propose() {
	if g.pendingSwap != 0 {
		return
	}
	p, ok := g.share.Propose(g.w.now)
	if !ok {
		return
	}
	g.w.number++
	number := g.w.number
	g.pendingSwap = number
	row, expect := p.Row, p.Expect
	if g.w.fault == rowSeenBeforeSwap {
		for _, other := range g.w.gateways {
			if other != g && other.isRunning() {
				other.share.Observe(row, expect+1, g.w.now, g.w.now)
			}
		}
	}
	g.w.send(nil, func() {
		outcome, version := g.w.commit(row, expect)
		g.w.send(g, func() { g.swapped(number, outcome, version) })
	})
	g.w.events[len(g.w.events)-1].atMostOnce = true
}

func (w *world) commit(row share.Row, expect int64) (share.Outcome, int64) {
	if w.storeDown || expect != w.version {
		return share.NotWritten, 0
	}
	if w.row.Suspect != "" {
		if _, ok := row.Holder(w.row.Suspect); !ok {
			w.reclaimed++
		}
	}
	w.version++
	w.row = row
	if w.row.AllocatedParts() > share.TotalParts {
		w.violation = "the row allocates more than the total parts"
	}
	return share.Written, w.version
}

func (g *gateway) swapped(number int, outcome share.Outcome, version int64) {
	if g.pendingSwap != number {
		return
	}
	g.pendingSwap = 0
	g.share.Resolve(outcome, version, g.w.now)
}

// abandonSwap stops waiting for the reply to a swap.
func (g *gateway) abandonSwap() {
	if g.pendingSwap == 0 {
		return
	}
	outcome := share.Unknown
	if g.w.fault == unknownAsNotWritten {
		outcome = share.NotWritten
	}
	g.swapped(g.pendingSwap, outcome, 0)
}

func (g *gateway) pull(from *gateway, tokens float64) {
	if g == from || g.partitioned || from.partitioned {
		return
	}
	g.w.number++
	number := g.w.number
	g.pendingPulls[number] = true
	requestedAt, demand, self := g.w.now, g.share.Demand(g.w.now), g.holder()
	g.w.send(from, func() {
		lent, _ := from.share.LendTo(self, tokens, demand, number%2 == 0, g.w.now)
		g.w.send(g, func() { g.received(number, lent, requestedAt) })
	})
}

func (g *gateway) received(number int, tokens float64, requestedAt time.Time) {
	if !g.pendingPulls[number] && g.w.fault != duplicateReplies {
		return
	}
	if g.w.fault == lifetimeFromArrival {
		requestedAt = g.w.now
	}
	delete(g.pendingPulls, number)
	g.share.AddBorrowed(tokens, requestedAt, g.w.now)
}

// sendHeartbeats sends a heartbeat to the other voters.
func (g *gateway) sendHeartbeats() {
	sent, incarnation := g.w.now, g.holder().Incarnation
	for _, m := range g.w.gateways[:voters] {
		if m == g || m.partitioned || g.partitioned {
			continue
		}
		g.w.send(m, func() {
			if m.confirmedSilent[incarnation] || g.w.now.Sub(m.started) < silenceBound {
				return
			}
			m.lastContact[incarnation] = g.w.now
			g.w.send(g, func() { g.heartbeatAnswered(sent) })
		})
	}
}

func (g *gateway) heartbeatAnswered(sent time.Time) {
	g.heartbeatReplies[sent]++
	needed := voters / 2
	if g.id >= voters {
		needed++
	}
	if g.heartbeatReplies[sent] >= needed && sent.After(g.lastQuorum) {
		g.lastQuorum = sent
	}
}

// checkPartsInUse records a violation if more parts are in use than the total,
// including those of paused processes.
func (w *world) checkPartsInUse() {
	var used int64
	for _, g := range w.gateways {
		if g.alive && g.share.Usable(w.now) {
			used += g.share.Parts()
		}
	}
	if used > share.TotalParts {
		w.violation = fmt.Sprintf("%d parts are in use", used)
	}
}

// excess returns the largest number of tokens by which a window exceeds burst
// plus rate times its length.
func (w *world) excess() float64 {
	worst, sum := 0.0, 0.0
	var last time.Time
	for _, a := range w.admitted {
		sum = max(0, sum-w.highest.rate*a.at.Sub(last).Seconds()) + a.tokens
		last = a.at
		worst = max(worst, sum-w.highest.burst)
	}
	return worst
}
