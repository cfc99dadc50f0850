// Package fleetsum sums up the state of many VMs: outstanding work, demand and
// what customers were admitted.
//
// It answers a fleet in which every VM needs the state of all others several times
// a second. VMs report to a hub in their data centre, which adds the reports up and
// exchanges sums with the hubs of other data centres, so that what a VM sends and
// receives does not grow with the fleet. In a small fleet no VM reports to another,
// and all exchange sums of one VM each. The package does no I/O.
package fleetsum

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
)

const (
	// summaryTimeout is the age at which the summary of a neighbour is dropped. It
	// is longer than several lost exchanges.
	summaryTimeout = 1500 * time.Millisecond
	// ledgerTimeout is how long the totals of a silent neighbour are remembered, so
	// that what it admits while it is out of reach is counted when it returns.
	ledgerTimeout = time.Minute
	// keptReports is the number of own reports that are kept until the hub's totals
	// include them.
	keptReports = 8
)

// Aggregator sums up this VM's state and that of its neighbours. It is not safe for
// concurrent use.
type Aggregator struct {
	own      sum
	admitted map[string]float64
	// below has the summaries of the VMs that report to this one, equals those of
	// the other hubs.
	below, equals map[netip.AddrPort]*neighbour
	ledgers       map[netip.AddrPort]*ledger
	hub           hub

	// counted is what the VMs below have admitted since this process started, and
	// elsewhere what all other VMs have, by customer.
	counted, elsewhere map[string]float64
	// deduct is what other VMs have admitted since the last call of TakeAdmitted.
	deduct map[string]float64
}

// neighbour is the last summary of another VM.
type neighbour struct {
	sum sum
	at  time.Time
}

// ledger has the totals that a neighbour last reported as admitted.
type ledger struct {
	incarnation int64
	admitted    map[string]float64
	at          time.Time
}

// hub is the state towards the VM that this one reports to.
type hub struct {
	addr        netip.AddrPort
	incarnation int64
	// others is the last summary of all VMs except this one and those below, as of
	// at. base has, by customer, what others had admitted then.
	others sum
	base   map[string]float64
	at     time.Time
	// reports are the latest reports, sequence is the number of the last one.
	reports  []report
	sequence int64
	// acknowledged is what hubs have certainly counted, by customer.
	acknowledged map[string]float64
}

// report is a report that was sent to the hub.
type report struct {
	sequence int64
	sum      sum
	admitted map[string]float64
}

// New returns an aggregator without any state.
func New() *Aggregator {
	return &Aggregator{
		own:       newSum(),
		admitted:  make(map[string]float64),
		below:     make(map[netip.AddrPort]*neighbour),
		equals:    make(map[netip.AddrPort]*neighbour),
		ledgers:   make(map[netip.AddrPort]*ledger),
		hub:       hub{others: newSum(), acknowledged: make(map[string]float64)},
		counted:   make(map[string]float64),
		elsewhere: make(map[string]float64),
		deduct:    make(map[string]float64),
	}
}

// SetOwn replaces the state of this VM alone.
func (a *Aggregator) SetOwn(s *meshpb.Summary) {
	a.own = newSum()
	a.own.add(s)
	a.admitted = admittedOf(s)
}

// Summary returns the summary of this VM and all that report to it, for equals. The
// demand for weights is left out unless weights is set.
func (a *Aggregator) Summary(weights bool, now time.Time) *meshpb.Summary {
	s := a.subtree(weights, now)
	return s.wire(a.subtreeAdmitted(), nil)
}

// Report returns the summary of this VM and all that report to it, for its hub, and
// the number of the report.
func (a *Aggregator) Report(now time.Time) (s *meshpb.Summary, sequence int64) {
	r := report{sum: a.subtree(true, now), admitted: a.subtreeAdmitted()}
	a.hub.sequence++
	r.sequence = a.hub.sequence
	a.hub.reports = append(a.hub.reports, r)
	if len(a.hub.reports) > keptReports {
		a.hub.reports = append([]report(nil), a.hub.reports[len(a.hub.reports)-keptReports:]...)
	}
	return r.sum.wire(r.admitted, a.hub.acknowledged), r.sequence
}

// Totals returns the summary of all VMs, for the VMs that report to this one. The demand
// for weights is left out unless weights is set.
func (a *Aggregator) Totals(weights bool, now time.Time) *meshpb.Summary {
	total := a.outside(weights, now)
	total.merge(a.subtree(weights, now), weights)
	admitted := a.subtreeAdmitted()
	for c, n := range a.elsewhere {
		admitted[c] += n
	}
	return total.wire(admitted, nil)
}

// Others returns the summary of all VMs but this one. The demand for weights is left out
// unless weights is set.
func (a *Aggregator) Others(weights bool, now time.Time) *meshpb.Summary {
	total := a.outside(weights, now)
	total.mergeFresh(a.below, weights, now)
	return total.wire(nil, nil)
}

// TakeAdmitted returns what other VMs have admitted since the last call, by customer,
// less what they have given back.
func (a *Aggregator) TakeAdmitted() map[string]float64 {
	taken := a.deduct
	a.deduct = make(map[string]float64)
	return taken
}

// ReceiveReport records the report of a VM that reports to this one. It counts what was
// admitted since the VM's last report to any hub.
func (a *Aggregator) ReceiveReport(from netip.AddrPort, incarnation int64, s *meshpb.Summary, now time.Time) {
	delete(a.equals, from)
	a.below[from] = newNeighbour(s, now)
	known := a.ledgers[from]
	next := &ledger{incarnation: incarnation, admitted: make(map[string]float64, len(s.GetCustomers())), at: now}
	reported := slices.ContainsFunc(s.GetCustomers(), func(c *meshpb.CustomerDemand) bool { return c.GetAcknowledged() != 0 })
	for _, c := range s.GetCustomers() {
		last := c.GetAcknowledged()
		switch {
		case known == nil && !reported:
			last = c.GetAdmitted() // another hub may have counted it
		case known != nil && known.incarnation == incarnation:
			last = max(last, known.admitted[c.GetCustomer()])
		}
		next.admitted[c.GetCustomer()] = c.GetAdmitted()
		a.count(a.counted, c.GetCustomer(), c.GetAdmitted()-last)
	}
	a.ledgers[from] = next
}

// ReceiveEqual records the summary of another hub. What it admitted before its first
// summary is not counted, unless it has restarted since the last one.
func (a *Aggregator) ReceiveEqual(from netip.AddrPort, incarnation int64, s *meshpb.Summary, now time.Time) {
	if from == a.hub.addr && now.Sub(a.hub.at) < summaryTimeout {
		return // its totals contain more
	}
	delete(a.below, from)
	a.equals[from] = newNeighbour(s, now)
	known := a.ledgers[from]
	next := &ledger{incarnation: incarnation, admitted: make(map[string]float64, len(s.GetCustomers())), at: now}
	for _, c := range s.GetCustomers() {
		name, last := c.GetCustomer(), 0.0
		switch {
		case known == nil:
			last = c.GetAdmitted()
		case known.incarnation == incarnation:
			last = known.admitted[name]
		}
		next.admitted[name] = c.GetAdmitted()
		a.count(a.elsewhere, name, c.GetAdmitted()-last)
	}
	a.ledgers[from] = next
}

// ReceiveTotals records the answer of the hub to a report: the summary of all VMs,
// which includes this VM's report with the number included.
func (a *Aggregator) ReceiveTotals(from netip.AddrPort, incarnation int64, s *meshpb.Summary, included, acknowledged int64, now time.Time) {
	h := &a.hub
	mine := report{sum: newSum(), admitted: h.acknowledged}
	for _, r := range h.reports {
		if r.sequence == included {
			mine = r
		}
	}
	delete(a.equals, from)
	delete(a.below, from)
	others := newSum()
	others.add(s)
	others.subtract(mine.sum)
	total := admittedOf(s)
	base := make(map[string]float64, len(total))
	for c, n := range mine.admitted {
		base[c] = -n
	}
	for c, n := range total {
		base[c] += n
	}
	if h.addr == from && h.incarnation == incarnation {
		for c, n := range base {
			a.count(a.elsewhere, c, n-h.base[c])
		}
	}
	h.addr, h.incarnation, h.others, h.base, h.at = from, incarnation, others, base, now
	for _, r := range h.reports {
		if r.sequence == acknowledged {
			h.acknowledged = r.admitted
		}
	}
}

// Forget removes a neighbour that no longer is one: its summary is contained in that
// of another VM.
func (a *Aggregator) Forget(from netip.AddrPort) { delete(a.equals, from) }

// Expire drops the state of silent neighbours.
func (a *Aggregator) Expire(now time.Time) {
	stale := func(_ netip.AddrPort, n *neighbour) bool { return now.Sub(n.at) >= summaryTimeout }
	maps.DeleteFunc(a.below, stale)
	maps.DeleteFunc(a.equals, stale)
	maps.DeleteFunc(a.ledgers, func(_ netip.AddrPort, l *ledger) bool { return now.Sub(l.at) > ledgerTimeout })
}

// count adds what other VMs have admitted to a total. It is negative if they gave back
// charges for requests that have not run.
func (a *Aggregator) count(total map[string]float64, customer string, n float64) {
	if n == 0 {
		return
	}
	total[customer] += n
	a.deduct[customer] += n
}

// subtree sums up this VM and those that report to it.
func (a *Aggregator) subtree(weights bool, now time.Time) sum {
	total := newSum()
	total.merge(a.own, weights)
	total.mergeFresh(a.below, weights, now)
	return total
}

// subtreeAdmitted returns what this VM and those that report to it have admitted, by
// customer.
func (a *Aggregator) subtreeAdmitted() map[string]float64 {
	total := maps.Clone(a.admitted)
	for c, n := range a.counted {
		total[c] += n
	}
	return total
}

// outside sums up all VMs except this one and those that report to it.
func (a *Aggregator) outside(weights bool, now time.Time) sum {
	total := newSum()
	if now.Sub(a.hub.at) < summaryTimeout {
		total.merge(a.hub.others, weights)
		return total
	}
	total.mergeFresh(a.equals, weights, now)
	return total
}

// mergeFresh adds the summaries of the neighbours that are not silent.
func (s *sum) mergeFresh(neighbours map[netip.AddrPort]*neighbour, weights bool, now time.Time) {
	for _, n := range neighbours {
		if now.Sub(n.at) < summaryTimeout {
			s.merge(n.sum, weights)
		}
	}
}

func newNeighbour(s *meshpb.Summary, now time.Time) *neighbour {
	n := &neighbour{sum: newSum(), at: now}
	n.sum.add(s)
	return n
}

func admittedOf(s *meshpb.Summary) map[string]float64 {
	admitted := make(map[string]float64, len(s.GetCustomers()))
	for _, c := range s.GetCustomers() {
		admitted[c.GetCustomer()] = c.GetAdmitted()
	}
	return admitted
}
