package node

import (
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"fireflypier.example/fireflypier/internal/serving/fleetsum"
	"fireflypier.example/fireflypier/internal/serving/mesh"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
)

const (
	// summaryInterval is the shortest time between two computations of a summary,
	// which a hub sends to many VMs.
	summaryInterval = 100 * time.Millisecond
	// ownInterval is the shortest time between two readings of this VM's own state.
	ownInterval = 50 * time.Millisecond
	// wantsTimeout is how long the wish of a peer for the demand for weights is
	// passed on.
	wantsTimeout = 2 * time.Second
)

// fleet holds the summaries of all VMs. It is safe for concurrent use.
type fleet struct {
	mu  sync.Mutex
	sum *fleetsum.Aggregator
	// own returns the state of this VM alone; ownAt is when it was last called.
	own   func() *meshpb.Summary
	ownAt time.Time
	// totals are the encoded totals as of totalsAt, leanTotals those without the
	// demand for weights. They contain the reports with the numbers included.
	totals, leanTotals []byte
	totalsAt           time.Time
	included           map[netip.AddrPort]int64
	// summary is the summary for other hubs as of summaryAt.
	summary   *meshpb.Summary
	summaryAt time.Time
	// reports has the number of the last report of each VM that reports to this
	// one, wantedAt is when a peer last wanted the demand for weights.
	reports  map[netip.AddrPort]int64
	wantedAt time.Time
	// others is the summary of all other VMs as of othersAt.
	others   *meshpb.Summary
	othersAt time.Time
	// heard is set if a summary has come since the last call of takeHeard.
	heard bool
}

func newFleet(own func() *meshpb.Summary) *fleet {
	return &fleet{sum: fleetsum.New(), own: own, reports: make(map[netip.AddrPort]int64)}
}

// fill adds the summaries for a peer to a digest. weights is set if the peer needs the
// demand for weights.
func (f *fleet) fill(d *meshpb.Digest, to netip.AddrPort, relation meshpb.Relation, weights bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.ownAt) >= ownInterval {
		f.ownAt = now
		f.sum.SetOwn(f.own())
	}
	switch relation {
	case meshpb.Relation_RELATION_REPORT:
		d.Summary, d.Sequence = f.sum.Report(now)
	case meshpb.Relation_RELATION_TOTALS:
		f.encodeTotals(now)
		d.Totals, d.Included, d.Received = f.leanTotals, f.included[to], f.reports[to]
		if weights {
			d.Totals = f.totals
		}
	case meshpb.Relation_RELATION_UNSPECIFIED, meshpb.Relation_RELATION_EQUAL:
		if now.Sub(f.summaryAt) >= summaryInterval {
			f.summary, f.summaryAt = f.sum.Summary(f.weightsWanted(now), now), now
		}
		d.Summary = f.summary
		if !weights {
			d.Summary = &meshpb.Summary{Loads: f.summary.GetLoads(), Customers: f.summary.GetCustomers()}
		}
	}
}

// encodeTotals encodes the totals unless that was done within summaryInterval.
func (f *fleet) encodeTotals(now time.Time) {
	if now.Sub(f.totalsAt) < summaryInterval {
		return
	}
	s := f.sum.Totals(f.weightsWanted(now), now)
	totals, err := proto.Marshal(s)
	if err != nil {
		return // cannot happen: all strings come from decoded messages
	}
	lean := totals
	if len(s.GetWeights()) > 0 {
		s.Weights = nil
		if lean, err = proto.Marshal(s); err != nil {
			return
		}
	}
	f.totals, f.leanTotals, f.totalsAt, f.included = totals, lean, now, maps.Clone(f.reports)
}

// receive records the summaries in a digest.
func (f *fleet) receive(p *mesh.Peer, d *meshpb.Digest, now time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.GetWantsWeights() {
		f.wantedAt = now
	}
	switch d.GetRelation() {
	case meshpb.Relation_RELATION_REPORT:
		f.reports[p.Address] = d.GetSequence()
		f.sum.ReceiveReport(p.Address, p.Incarnation, d.GetSummary(), now)
	case meshpb.Relation_RELATION_TOTALS:
		var totals meshpb.Summary
		if err := proto.Unmarshal(d.GetTotals(), &totals); err != nil {
			return errors.Wrap(err, "decode totals")
		}
		f.sum.ReceiveTotals(p.Address, p.Incarnation, &totals, d.GetIncluded(), d.GetReceived(), now)
		f.othersAt = time.Time{}
	case meshpb.Relation_RELATION_UNSPECIFIED, meshpb.Relation_RELATION_EQUAL:
		if d.GetHub() != "" {
			f.sum.Forget(p.Address) // the sum of its hub contains it
		} else {
			f.sum.ReceiveEqual(p.Address, p.Incarnation, d.GetSummary(), now)
		}
	}
	f.heard = true
	return nil
}

// takeHeard reports whether a summary has come since the last call.
func (f *fleet) takeHeard() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	heard := f.heard
	f.heard = false
	return heard
}

// wanted reports whether a peer has wanted the demand for weights within wantsTimeout.
func (f *fleet) wanted(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.weightsWanted(now)
}

func (f *fleet) weightsWanted(now time.Time) bool { return now.Sub(f.wantedAt) < wantsTimeout }

// update returns the summary of all other VMs and what they have admitted since the
// last call. The demand for weights is left out unless weights is set. changed is false
// if the last call was less than summaryInterval ago.
func (f *fleet) update(weights bool, now time.Time) (others *meshpb.Summary, admitted map[string]float64, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.othersAt) < summaryInterval {
		return f.others, nil, false
	}
	f.sum.Expire(now)
	f.others, f.othersAt = f.sum.Others(weights, now), now
	return f.others, f.sum.TakeAdmitted(), true
}

// latest returns the summary of all other VMs.
func (f *fleet) latest() *meshpb.Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.others
}
