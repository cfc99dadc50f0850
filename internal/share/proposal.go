package share

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minMoveInterval is the least time between two moves by one gateway that
	// has demand of its own.
	minMoveInterval = 5 * time.Second
	// minMoveParts is the least worth moving, unless it is all there is.
	minMoveParts = TotalParts / 10
	// holdersPerRegion is the number of gateways that hold a region's share.
	holdersPerRegion = 3
	// hysteresisFactor is by how much a demand must exceed that of a holder before
	// the share moves there.
	hysteresisFactor = 3
	// standbyParts is what the second holder of a share has at least.
	standbyParts = TotalParts / 10
	// idleDemand is the demand in tokens a second below which a gateway
	// needs no share.
	idleDemand = 0.5
	// clockDriftFactor lengthens the bound for clocks that differ in speed.
	clockDriftFactor = 1.25
)

// Proposal is a row to be swapped in.
type Proposal struct {
	// Row is the new content, to be written only over Expect.
	Row    Row
	Expect int64

	// keepParts is what the gateway uses until the outcome is known; claimed are
	// the parts it would gain from holders that cannot be asked.
	keepParts    int64
	priorParts  int64
	claimedParts int64
	movedTokens  float64
	movedLent    float64
	proposedAt      time.Time
}

// Outcome tells what became of a swap.
type Outcome int

// The outcomes of a swap.
const (
	// Written means that the row was written at the version told.
	Written Outcome = iota
	// NotWritten means that it certainly was not and never will be.
	NotWritten
	// Unknown means that it may have been, or may still be.
	Unknown
)

// Propose returns the next swap that the gateway wants, if any. Its own use is
// lowered by then. Tell the outcome by Swapped.
func (s *Share) Propose(now time.Time) (p *Proposal, ok bool) {
	if s.pending != nil {
		return s.pending, s.outcomeUnknown
	}
	if !s.storeRead && s.version == 0 {
		return nil, false
	}
	s.expirePeerDemands(now)
	p = s.next(now)
	if p == nil {
		return nil, false
	}
	p.Expect = s.version
	p.priorParts = s.inUse
	p.proposedAt = now
	s.pending = p
	if p.keepParts < s.inUse {
		s.setInUse(p.keepParts, now)
	}
	return p, true
}

// next returns the most urgent swap, or nil.
func (s *Share) next(now time.Time) *Proposal {
	if s.leaving {
		return s.handOver(now)
	}
	steps := []func(time.Time) *Proposal{
		s.createRow, s.clearSuspicion, s.claimPredecessor, s.claimUnallocated, s.claimTerminated, s.claimSilent, s.rebalance, s.addStandby,
	}
	for _, step := range steps {
		if p := step(now); p != nil {
			return p
		}
	}
	return nil
}

// createRow proposes the first row of a customer. Nobody has had a share before,
// so its whole burst is there.
func (s *Share) createRow(now time.Time) *Proposal {
	if s.version > 0 || !s.hasDemand(now) {
		return nil
	}
	p := &Proposal{keepParts: s.inUse}
	p.Row.addParts(s.self, TotalParts, s.burst, 0)
	return p
}

func (s *Share) hasDemand(now time.Time) bool {
	return s.Demand(now) > idleDemand || s.demand.sampleTokens > 0
}

func (s *Share) clearSuspicion(time.Time) *Proposal {
	if s.row.Suspect != s.self.Incarnation {
		return nil
	}
	p := s.newProposal()
	p.Row.Suspect = ""
	p.Row.Accuser = ""
	return p
}

// claimPredecessor takes over from earlier processes of the same name and address.
func (s *Share) claimPredecessor(time.Time) *Proposal {
	for i := range s.row.Holders {
		if h := &s.row.Holders[i]; s.self.replaces(h) {
			return s.claim(h)
		}
	}
	return nil
}

// claimUnallocated takes parts that nobody holds.
func (s *Share) claimUnallocated(now time.Time) *Proposal {
	free := TotalParts - s.row.AllocatedParts()
	if free <= 0 || s.version == 0 || !s.hasDemand(now) {
		return nil
	}
	p := s.newProposal()
	p.claimedParts = free
	p.Row.addParts(s.self, free, 0, 0)
	return p
}

// claimTerminated takes the share of a holder whose VM is gone.
func (s *Share) claimTerminated(now time.Time) *Proposal {
	if !s.hasDemand(now) {
		return nil
	}
	for i := range s.row.Holders {
		h := &s.row.Holders[i]
		if h.Incarnation != s.self.Incarnation && s.terminated(h) {
			return s.claim(h)
		}
	}
	return nil
}

// claimSilent takes the share of a silent holder: first it marks the row, so
// that a holder that reads it can object, and after the bound it swaps.
func (s *Share) claimSilent(now time.Time) *Proposal {
	if s.failureDetector == nil || !s.hasDemand(now) {
		return nil
	}
	for i := range s.row.Holders {
		h := &s.row.Holders[i]
		if h.Incarnation == s.self.Incarnation || !s.failureDetector.Silent(h) {
			continue
		}
		if s.row.Suspect != h.Incarnation || s.row.Accuser != s.self.Incarnation {
			return s.suspect(h, now)
		}
		if now.Sub(s.suspicionChangedAt) > time.Duration(clockDriftFactor*float64(s.silenceBound)) {
			return s.claim(h)
		}
	}
	return nil
}

// suspect marks a silent holder, unless another gateway has just done so.
func (s *Share) suspect(h *Holder, now time.Time) *Proposal {
	if s.row.Suspect != "" && now.Sub(s.suspicionChangedAt) <= time.Duration(2*clockDriftFactor*float64(s.silenceBound)) {
		return nil
	}
	p := s.newProposal()
	p.Row.Suspect = h.Incarnation
	p.Row.Accuser = s.self.Incarnation
	return p
}

// claim takes the whole share of a holder that certainly uses it no more.
func (s *Share) claim(h *Holder) *Proposal {
	p := s.newProposal()
	p.claimedParts = h.Parts
	p.Row.remove(h.Incarnation)
	p.Row.addParts(s.self, h.Parts, 0, 0)
	return p
}

func (s *Share) newProposal() *Proposal {
	return &Proposal{Row: s.row.clone(), keepParts: s.inUse}
}

// rebalance gives parts to peers that told their demand. Regions hold shares
// in proportion to their demands; within a region a few gateways hold the
// share and the others pull tokens from them.
func (s *Share) rebalance(now time.Time) *Proposal {
	if s.inUse == 0 || len(s.peerDemands) == 0 || !s.Usable(now) {
		return nil
	}
	own := s.Demand(now)
	if own < idleDemand {
		own = 0
	}
	if own > 0 && now.Sub(s.movedPartsAt) < minMoveInterval {
		return nil
	}
	return s.moveToPeers(s.partDeficits(own), now)
}

// candidate is a gateway that may hold a part of its region's share.
type candidate struct {
	holder Holder
	held   int64
	weight float64
}

// region is the demand of a region and who may hold its share.
type region struct {
	demand     float64
	candidates []candidate
}

// partDeficits returns what the gateways that should hold shares lack: in each
// region the few with the highest demand, in equal parts, so that the loss of
// one leaves the others their parts.
func (s *Share) partDeficits(own float64) map[string]int64 {
	regions := s.regionDemands(own)
	pool, demanded := s.inUse, 0.0
	for name, r := range regions {
		r.keepHeaviest(s.holderSlots(name))
		demanded += r.demand
		for _, c := range r.candidates {
			if c.holder.Incarnation != s.self.Incarnation {
				pool += c.held
			}
		}
	}
	deficits := map[string]int64{}
	for _, r := range regions {
		for _, c := range r.candidates {
			target := float64(pool) * r.demand / demanded / float64(len(r.candidates))
			deficit := int64(target) - c.held
			if c.holder.Incarnation != s.self.Incarnation && deficit >= min(minMoveParts, s.inUse) {
				deficits[c.holder.Incarnation] = deficit
			}
		}
	}
	return deficits
}

// regionDemands sorts the known demands by region. Present holders count more, so
// that shares do not follow noise.
func (s *Share) regionDemands(own float64) map[string]*region {
	regions := map[string]*region{}
	add := func(h Holder, held int64, demanded float64) {
		if demanded == 0 {
			return
		}
		r, ok := regions[h.Region]
		if !ok {
			r = &region{}
			regions[h.Region] = r
		}
		r.demand += demanded
		weight := demanded
		if held > 0 {
			weight *= hysteresisFactor
		}
		r.candidates = append(r.candidates, candidate{h, held, weight})
	}
	add(s.self, s.inUse, own)
	for _, id := range slices.Sorted(maps.Keys(s.peerDemands)) {
		h, _ := s.row.Holder(id)
		add(s.peerDemands[id].holder, h.Parts, s.peerDemands[id].demand)
	}
	return regions
}

// keepHeaviest leaves the candidates of highest weight.
func (r *region) keepHeaviest(n int) {
	slices.SortStableFunc(r.candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	r.candidates = r.candidates[:min(n, len(r.candidates))]
}

// holderSlots returns how many of a region's gateways with known demand should hold
// shares, beside its holders whose demand is not known.
func (s *Share) holderSlots(name string) int {
	others := 0
	for _, h := range s.Peers() {
		if _, asked := s.peerDemands[h.Incarnation]; !asked && h.Region == name {
			others++
		}
	}
	return max(1, holdersPerRegion-others)
}

// moveToPeers moves parts, with their part of the tokens, to the peers that lack
// them.
func (s *Share) moveToPeers(deficits map[string]int64, now time.Time) *Proposal {
	p := s.newProposal()
	floor := s.minKeptParts(deficits)
	for _, id := range slices.Sorted(maps.Keys(deficits)) {
		parts := min(deficits[id], p.keepParts-floor)
		if parts < min(minMoveParts, s.inUse) {
			continue
		}
		s.moveParts(p, s.peerDemands[id].holder, parts, now)
	}
	if p.keepParts == s.inUse {
		return nil
	}
	p.Row.setParts(s.self.Incarnation, p.keepParts)
	s.movedPartsAt = now
	return p
}

// minKeptParts returns the parts that this gateway keeps whatever its demand: those
// of a reserve when only one other gateway would hold the share.
func (s *Share) minKeptParts(deficits map[string]int64) int64 {
	others := map[string]bool{}
	for _, h := range s.Peers() {
		others[h.Incarnation] = true
	}
	for id := range deficits {
		others[id] = true
	}
	if _, ok := s.standby(); !ok || len(others) > 1 {
		return 0
	}
	return standbyParts
}

// addStandby gives a part to another gateway while this one is the only
// holder.
func (s *Share) addStandby(now time.Time) *Proposal {
	if len(s.row.Holders) != 1 || s.inUse <= standbyParts || !s.Usable(now) {
		return nil
	}
	other, ok := s.standby()
	if !ok {
		return nil
	}
	p := s.newProposal()
	s.moveParts(p, other, standbyParts, now)
	p.Row.setParts(s.self.Incarnation, p.keepParts)
	s.movedPartsAt = now
	return p
}

// moveParts moves parts with their tokens from this gateway to another in p.
func (s *Share) moveParts(p *Proposal, to Holder, parts int64, now time.Time) {
	tokens, lent := s.bucket.Split(float64(parts)/float64(p.keepParts), now)
	p.Row.addParts(to, parts, tokens, lent)
	p.movedTokens += tokens
	p.movedLent += lent
	p.keepParts -= parts
}

// handOver gives the whole share to the peer with the highest demand, or else
// to the largest holder, or else to nobody.
func (s *Share) handOver(now time.Time) *Proposal {
	if _, ok := s.row.Holder(s.self.Incarnation); !ok {
		return nil
	}
	p := s.newProposal()
	if heir, found := s.successor(); found && p.keepParts > 0 {
		s.moveParts(p, heir, p.keepParts, now)
	}
	p.keepParts = 0
	p.Row.remove(s.self.Incarnation)
	return p
}

func (s *Share) successor() (h Holder, found bool) {
	highest := 0.0
	for _, w := range s.peerDemands {
		if w.demand > highest {
			highest = w.demand
			h = w.holder
			found = true
		}
	}
	if found {
		return h, true
	}
	for _, peer := range s.Peers() {
		if peer.Parts > h.Parts {
			h = peer
		}
	}
	return h, h.Parts > 0
}

// setParts sets the parts of a holder and removes it when it has none.
func (r *Row) setParts(incarnation string, parts int64) {
	if parts == 0 {
		r.remove(incarnation)
		return
	}
	if i := r.index(incarnation); i >= 0 {
		r.Holders[i].Parts = parts
	}
}

// Resolve takes in the outcome of the proposed swap.
func (s *Share) Resolve(outcome Outcome, version int64, now time.Time) {
	p := s.pending
	if p == nil {
		return
	}
	switch {
	case outcome == Written:
		s.applyRow(p.Row, version, now)
	case outcome == Unknown || s.outcomeUnknown:
		s.outcomeUnknown = true
	default:
		s.revert(p, now)
	}
}

// revert undoes what a proposal that was not written took away.
func (s *Share) revert(p *Proposal, now time.Time) {
	s.pending = nil
	if p.priorParts > s.inUse {
		s.setInUse(p.priorParts, now)
	}
	lost := s.bucket.RefillRate() * now.Sub(p.proposedAt).Seconds()
	s.bucket.Merge(max(0, p.movedTokens-lost), p.movedLent, now)
}
