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
	worldBound   = time.Second
	roundingSlip = 1e-3
)

// plant is a fault put into the protocol, to show that the check finds it.
type plant int

const (
	noPlant plant = iota
	// receiverEarly lets receivers see a row before it is swapped in.
	receiverEarly
	// noProof takes shares back without proof of silence.
	noProof
	// doubledTokens takes in the answer to a pull as often as it arrives.
	doubledTokens
	// countedFromArrival ignores the time that tokens were under way.
	countedFromArrival
	// restoredUnknown treats a swap without an answer as not written.
	restoredUnknown
)

type rate struct{ rate, burst float64 }

// admission is a request that was admitted.
type admission struct {
	at     time.Time
	tokens float64
}

type openCharge struct {
	gateway *gateway
	life    int
	charge  bucket.Charge
	index   int
}

// gateway is one place on which processes run one after another.
type gateway struct {
	w       *world
	id      int
	life    int
	alive   bool
	paused  bool
	cut     bool
	share   *share.Share
	started time.Time
	swap    int
	pulls   map[int]bool
	heard   map[string]time.Time
	words   map[string]bool
	replies map[time.Time]int
	last    time.Time
	rate    rate
}

// event is something under way to a gateway, or to the store when to is nil.
type event struct {
	to   *gateway
	life int
	run  func()
	// once marks what a connection carries once at most.
	once bool
}

type world struct {
	plant    plant
	now      time.Time
	row      share.Row
	version  int64
	out      bool
	gateways []*gateway
	events   []event
	admitted []admission
	charges  []openCharge
	current  rate
	highest  rate
	number   int
	broken   string
	// takenBack counts shares of suspects that went to others.
	takenBack int
}

func newWorld(p plant) *world {
	w := &world{plant: p, now: time.Unix(1000, 0), current: rate{100, 200}, highest: rate{100, 200}}
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
		Name: fmt.Sprint("gateway-", g.id), Incarnation: fmt.Sprint(g.id, "/", g.life), Region: "region-1",
		Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(1000+g.id)),
	}
}

func (g *gateway) start() {
	g.life++
	g.alive = true
	g.paused = false
	g.started = g.w.now
	opts := []share.Option{share.WithFailureDetector(g, worldBound), share.WithStandby(g.reserve)}
	if g.id >= voters {
		opts = append(opts, share.WithTerminated(g.w.gone))
	}
	g.share = share.New(g.holder(), opts...)
	g.pulls = map[int]bool{}
	g.heard = map[string]time.Time{}
	g.words = map[string]bool{}
	g.replies = map[time.Time]int{}
	g.last = time.Time{}
	g.swap = 0
	g.adoptRate()
}

// reserve returns the next gateway that lives.
func (g *gateway) reserve() (share.Holder, bool) {
	for i := 1; i < len(g.w.gateways); i++ {
		other := g.w.gateways[(g.id+i)%len(g.w.gateways)]
		if other.alive {
			return other.holder(), true
		}
	}
	return share.Holder{}, false
}

// gone reports whether the process of a holder has ended.
func (w *world) gone(h *share.Holder) bool {
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

func (g *gateway) runs() bool { return g.alive && !g.paused }

// LastQuorum implements share.Witness.
func (g *gateway) LastQuorum() time.Time {
	if g.w.plant == noProof {
		return g.w.now
	}
	return g.last
}

// Silent implements share.Witness: live voters that can be reached give their
// word at once.
func (g *gateway) Silent(h *share.Holder) bool {
	if g.w.plant == noProof {
		return true
	}
	given := 0
	for _, m := range g.w.gateways[:voters] {
		reached := m == g || !m.cut && !g.cut
		if m.runs() && reached && m.holder().Name != h.Name && m.giveWord(h.Incarnation) {
			given++
		}
	}
	return given > voters/2
}

func (g *gateway) giveWord(incarnation string) bool {
	heard := g.started
	if at, ok := g.heard[incarnation]; ok {
		heard = at
	}
	if g.w.now.Sub(heard) < worldBound {
		return false
	}
	g.words[incarnation] = true
	return true
}

func (w *world) send(to *gateway, run func()) {
	e := event{to: to, run: run}
	if to != nil {
		e.life = to.life
	}
	w.events = append(w.events, e)
}

// deliver runs an event unless its receiver cannot take it now; one for an
// ended process is lost.
func (w *world) deliver(i int, keep bool) {
	e := w.events[i]
	gone := e.to != nil && (!e.to.alive || e.to.life != e.life)
	if !gone && e.to != nil && e.to.paused {
		return
	}
	if !keep || e.once {
		w.events = append(w.events[:i:i], w.events[i+1:]...)
	}
	if !gone {
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
	g.w.charges = append(g.w.charges, openCharge{g, g.life, c, len(g.w.admitted)})
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
	if g.w.out {
		return
	}
	begun := g.w.now
	g.w.send(nil, func() {
		row, version := g.w.copyRow(), g.w.version
		g.w.send(g, func() { g.share.Observe(row, version, begun, g.w.now) })
	})
}

func (w *world) copyRow() share.Row {
	r := w.row
	r.Holders = append([]share.Holder{}, r.Holders...)
	return r
}

func (g *gateway) propose() {
	if g.swap != 0 {
		return
	}
	p, ok := g.share.Propose(g.w.now)
	if !ok {
		return
	}
	g.w.number++
	number := g.w.number
	g.swap = number
	row, expect := p.Row, p.Expect
	if g.w.plant == receiverEarly {
		for _, other := range g.w.gateways {
			if other != g && other.runs() {
				other.share.Observe(row, expect+1, g.w.now, g.w.now)
			}
		}
	}
	g.w.send(nil, func() {
		outcome, version := g.w.commit(row, expect)
		g.w.send(g, func() { g.swapped(number, outcome, version) })
	})
	g.w.events[len(g.w.events)-1].once = true
}

func (w *world) commit(row share.Row, expect int64) (share.Outcome, int64) {
	if w.out || expect != w.version {
		return share.NotWritten, 0
	}
	if w.row.Suspect != "" {
		if _, ok := row.Holder(w.row.Suspect); !ok {
			w.takenBack++
		}
	}
	w.version++
	w.row = row
	if w.row.AllocatedParts() > share.TotalParts {
		w.broken = "the row gives out more than the whole"
	}
	return share.Written, w.version
}

func (g *gateway) swapped(number int, outcome share.Outcome, version int64) {
	if g.swap != number {
		return
	}
	g.swap = 0
	g.share.Resolve(outcome, version, g.w.now)
}

// giveUp stops waiting for the answer to a swap.
func (g *gateway) giveUp() {
	if g.swap == 0 {
		return
	}
	outcome := share.Unknown
	if g.w.plant == restoredUnknown {
		outcome = share.NotWritten
	}
	g.swapped(g.swap, outcome, 0)
}

func (g *gateway) pull(from *gateway, tokens float64) {
	if g == from || g.cut || from.cut {
		return
	}
	g.w.number++
	number := g.w.number
	g.pulls[number] = true
	asked, demand, me := g.w.now, g.share.Demand(g.w.now), g.holder()
	g.w.send(from, func() {
		given, _ := from.share.LendTo(me, tokens, demand, number%2 == 0, g.w.now)
		g.w.send(g, func() { g.received(number, given, asked) })
	})
}

func (g *gateway) received(number int, tokens float64, asked time.Time) {
	if !g.pulls[number] && g.w.plant != doubledTokens {
		return
	}
	if g.w.plant == countedFromArrival {
		asked = g.w.now
	}
	delete(g.pulls, number)
	g.share.AddBorrowed(tokens, asked, g.w.now)
}

// contact asks the other voters for an answer.
func (g *gateway) contact() {
	sent, incarnation := g.w.now, g.holder().Incarnation
	for _, m := range g.w.gateways[:voters] {
		if m == g || m.cut || g.cut {
			continue
		}
		g.w.send(m, func() {
			if m.words[incarnation] || g.w.now.Sub(m.started) < worldBound {
				return
			}
			m.heard[incarnation] = g.w.now
			g.w.send(g, func() { g.answered(sent) })
		})
	}
}

func (g *gateway) answered(sent time.Time) {
	g.replies[sent]++
	needed := voters / 2
	if g.id >= voters {
		needed++
	}
	if g.replies[sent] >= needed && sent.After(g.last) {
		g.last = sent
	}
}

// checkUse notes when the shares in use, paused processes' included, are more
// than the whole.
func (w *world) checkUse() {
	var used int64
	for _, g := range w.gateways {
		if g.alive && g.share.Usable(w.now) {
			used += g.share.Parts()
		}
	}
	if used > share.TotalParts {
		w.broken = fmt.Sprintf("%d parts are in use", used)
	}
}

// excess returns by how many tokens some window exceeds its bound.
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
