package share

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minMoveInterval is the minimum time between two moves of parts away from a
	// gateway that has demand of its own.
	minMoveInterval = 5 * time.Second
	// minMoveParts is the minimum number of parts to move, unless the gateway
	// has fewer.
	minMoveParts = TotalParts / 10
	// holdersPerRegion is the number of gateways that hold the parts of a
	// region. The others pull tokens from them.
	holdersPerRegion = 3
	// hysteresisFactor is the factor by which the demand of a gateway must
	// exceed that of a holder before it replaces the holder.
	hysteresisFactor = 3
	// standbyParts is the minimum number of parts that the second holder of a
	// customer's rate has.
	standbyParts = TotalParts / 10
	// idleDemand is the demand in tokens per second below which a gateway
	// needs no parts.
	idleDemand = 0.5
	// clockDriftFactor lengthens the silence bound, since the clocks of two
	// gateways may run at different speeds.
	clockDriftFactor = 1.25
)

// Proposal is a compare-and-swap of the share row, to be executed by the caller.
type Proposal struct {
	// Row is the new content. It must replace only the row of version Expect,
	// where zero stands for no row.
	Row    Row
	Expect int64

	// keepParts is the number of parts that the gateway uses until the outcome
	// is known, priorParts the number that it used before. claimed is the
	// number taken from former holders, which may have lent tokens.
	// movedTokens and movedLent were split off the bucket for other gateways.
	keepParts   int64
	priorParts  int64
	claimed     int64
	movedTokens float64
	movedLent   float64
	proposedAt  time.Time
}

// Outcome is the outcome of a compare-and-swap.
type Outcome int

// The outcomes of a compare-and-swap.
const (
	// Written means that the row was written.
	Written Outcome = iota
	// NotWritten means that the row was not written and never will be.
	NotWritten
	// Unknown means that the row may have been written, or may still be.
	Unknown
)

// Propose returns the next swap that the gateway needs, if any, and reduces the
// parts in use to those that it keeps. The caller must report the outcome with
// Resolve; until then, ok is false. After an Unknown outcome, Propose returns
// the same proposal, to be tried again.
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

// createRow proposes the first row of a customer. No gateway has held parts
// before, so the whole burst is available.
func (s *Share) createRow(now time.Time) *Proposal {
	if s.version > 0 || !s.hasDemand(now) {
		return nil
	}
	p := &Proposal{keepParts: s.inUse}
	p.Row.addParts(s.self, TotalParts, s.burst, 0)
	return p
}

func (s *Share) hasDemand(now time.Time) bool {
	return s.Demand(now) > idleDemand || s.demandEstimate.sampleTokens > 0
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

// claimPredecessor claims the parts of an earlier process with the own name and
// address.
func (s *Share) claimPredecessor(time.Time) *Proposal {
	for i := range s.row.Holders {
		if h := &s.row.Holders[i]; s.self.replaces(h) {
			return s.claim(h)
		}
	}
	return nil
}

// claimUnallocated claims the parts that no gateway holds.
func (s *Share) claimUnallocated(now time.Time) *Proposal {
	free := TotalParts - s.row.AllocatedParts()
	if free <= 0 || s.version == 0 || !s.hasDemand(now) {
		return nil
	}
	p := s.newProposal()
	p.claimed = free
	p.Row.addParts(s.self, free, 0, 0)
	return p
}

// claimTerminated claims the parts of a holder whose process or VM has
// certainly terminated.
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

// claimSilent claims the parts of a silent holder in two swaps. The first marks
// the holder as suspect, so that a holder that still runs either clears the mark
// or stops using its parts. The second, after the silence bound, claims the
// parts.
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

// suspect marks a silent holder as suspect. It replaces an earlier mark only
// after twice the time that must pass between a mark and the claim, so that the
// gateway that set the mark can finish its claim.
func (s *Share) suspect(h *Holder, now time.Time) *Proposal {
	if s.row.Suspect != "" && now.Sub(s.suspicionChangedAt) <= time.Duration(2*clockDriftFactor*float64(s.silenceBound)) {
		return nil
	}
	p := s.newProposal()
	p.Row.Suspect = h.Incarnation
	p.Row.Accuser = s.self.Incarnation
	return p
}

// claim moves all parts of a holder, which must no longer use them, to this
// gateway. No tokens come with them.
func (s *Share) claim(h *Holder) *Proposal {
	p := s.newProposal()
	p.claimed = h.Parts
	p.Row.remove(h.Incarnation)
	p.Row.addParts(s.self, h.Parts, 0, 0)
	return p
}

func (s *Share) newProposal() *Proposal {
	return &Proposal{Row: s.row.clone(), keepParts: s.inUse}
}

// rebalance moves parts to peers with known demand. Each region gets parts in
// proportion to its demand. Within a region a few gateways hold the parts, and
// the others pull tokens from them.
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

// candidate is a gateway that may hold parts of its region. held is its present
// number of parts, weight its demand with the advantage of a present holder.
type candidate struct {
	holder Holder
	held   int64
	weight float64
}

// region is the demand of a region in tokens per second and the gateways that
// may hold its parts.
type region struct {
	demand     float64
	candidates []candidate
}

// partDeficits returns, by incarnation, how many parts the peers that should
// hold parts lack. In each region the few gateways with the highest demand get
// equal numbers of parts, so that the loss of one leaves those of the others.
func (s *Share) partDeficits(own float64) map[string]int64 {
	regions := s.regions(own)
	movableParts, totalDemand := s.inUse, 0.0
	for name, r := range regions {
		r.keepHeaviest(s.holderSlots(name))
		totalDemand += r.demand
		for _, c := range r.candidates {
			if c.holder.Incarnation != s.self.Incarnation {
				movableParts += c.held
			}
		}
	}
	deficits := map[string]int64{}
	for _, r := range regions {
		for _, c := range r.candidates {
			target := float64(movableParts) * r.demand / totalDemand / float64(len(r.candidates))
			deficit := int64(target) - c.held
			if c.holder.Incarnation != s.self.Incarnation && deficit >= min(minMoveParts, s.inUse) {
				deficits[c.holder.Incarnation] = deficit
			}
		}
	}
	return deficits
}

// regions groups the known demands by region. Present holders get a higher
// weight, so that small changes in demand move no parts.
func (s *Share) regions(own float64) map[string]*region {
	regions := map[string]*region{}
	add := func(h Holder, held int64, demandRate float64) {
		if demandRate == 0 {
			return
		}
		r, ok := regions[h.Region]
		if !ok {
			r = &region{}
			regions[h.Region] = r
		}
		r.demand += demandRate
		weight := demandRate
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

// keepHeaviest keeps the n candidates with the highest weight.
func (r *region) keepHeaviest(n int) {
	slices.SortStableFunc(r.candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	r.candidates = r.candidates[:min(n, len(r.candidates))]
}

// holderSlots returns how many of a region's gateways with known demand should
// hold parts, in addition to its holders whose demand is not known.
func (s *Share) holderSlots(name string) int {
	others := 0
	for _, h := range s.Peers() {
		if _, known := s.peerDemands[h.Incarnation]; !known && h.Region == name {
			others++
		}
	}
	return max(1, holdersPerRegion-others)
}

// moveToPeers moves parts, with their fraction of the tokens, to the peers that
// lack them.
func (s *Share) moveToPeers(deficits map[string]int64, now time.Time) *Proposal {
	p := s.newProposal()
	minKeptParts := s.minKeptParts(deficits)
	for _, id := range slices.Sorted(maps.Keys(deficits)) {
		parts := min(deficits[id], p.keepParts-minKeptParts)
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

// minKeptParts returns the number of parts that this gateway keeps regardless of
// its demand: standbyParts if only one other gateway would hold parts, else zero.
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

// addStandby moves parts to a standby while this gateway is the only holder.
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

// moveParts moves parts with their tokens from this gateway to another one in p.
// The own entry in p.Row is left to the caller.
func (s *Share) moveParts(p *Proposal, to Holder, parts int64, now time.Time) {
	movedTokens, movedLent := s.bucket.Split(float64(parts)/float64(p.keepParts), now)
	p.Row.addParts(to, parts, movedTokens, movedLent)
	p.movedTokens += movedTokens
	p.movedLent += movedLent
	p.keepParts -= parts
}

// handOver moves all parts to the peer with the highest demand or, if no demand
// is known, to the holder with the most parts. If there is no other holder, the
// parts become unallocated.
func (s *Share) handOver(now time.Time) *Proposal {
	if _, ok := s.row.Holder(s.self.Incarnation); !ok {
		return nil
	}
	p := s.newProposal()
	if successor, found := s.successor(); found && p.keepParts > 0 {
		s.moveParts(p, successor, p.keepParts, now)
	}
	p.keepParts = 0
	p.Row.remove(s.self.Incarnation)
	return p
}

func (s *Share) successor() (h Holder, found bool) {
	highest := 0.0
	for _, d := range s.peerDemands {
		if d.demand > highest {
			highest = d.demand
			h = d.holder
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

// setParts sets the number of parts of a holder. Zero removes the holder.
func (r *Row) setParts(incarnation string, parts int64) {
	if parts == 0 {
		r.remove(incarnation)
		return
	}
	if i := r.index(incarnation); i >= 0 {
		r.Holders[i].Parts = parts
	}
}

// Resolve processes the outcome of the pending proposal. version is that of the
// written row; it is ignored unless the outcome is Written. After an Unknown
// outcome, NotWritten does not end the proposal, because the earlier attempt may
// have been written; Written or a newer row does.
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

// revert restores the parts and tokens that a proposal removed which was not
// written, less the tokens that the restored rate yields in the time since.
func (s *Share) revert(p *Proposal, now time.Time) {
	s.pending = nil
	if p.priorParts > s.inUse {
		s.setInUse(p.priorParts, now)
	}
	lost := s.bucket.RefillRate() * now.Sub(p.proposedAt).Seconds()
	s.bucket.Merge(max(0, p.movedTokens-lost), p.movedLent, now)
}
