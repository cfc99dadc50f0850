package share

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// moveInterval is the least time between two moves by one gateway that
	// has demand of its own.
	moveInterval = 5 * time.Second
	// moveParts is the least worth moving, unless it is all there is.
	moveParts = TotalParts / 10
	// regionHolders is the number of gateways that hold a region's share.
	regionHolders = 3
	// leadFactor is by how much a demand must exceed that of a holder before
	// the share moves there.
	leadFactor = 3
	// reserveParts is what the second holder of a share has at least.
	reserveParts = TotalParts / 10
	// idleDemand is the demand in tokens a second below which a gateway
	// needs no share.
	idleDemand = 0.5
	// silenceMargin lengthens the bound for clocks that differ in speed.
	silenceMargin = 1.25
)

// Proposal is a row to be swapped in.
type Proposal struct {
	// Row is the new content, to be written only over Expect.
	Row    Row
	Expect int64

	// keep is what the gateway uses until the outcome is known; claimed are
	// the parts it would gain from holders that cannot be asked.
	keep    int64
	before  int64
	claimed int64
	tokens  float64
	lent    float64
	at      time.Time
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
		return s.pending, s.uncertain
	}
	if !s.read && s.version == 0 {
		return nil, false
	}
	s.expire(now)
	p = s.next(now)
	if p == nil {
		return nil, false
	}
	p.Expect = s.version
	p.before = s.inUse
	p.at = now
	s.pending = p
	if p.keep < s.inUse {
		s.use(p.keep, now)
	}
	return p, true
}

// next returns the most urgent swap, or nil.
func (s *Share) next(now time.Time) *Proposal {
	if s.leaving {
		return s.giveAll(now)
	}
	steps := []func(time.Time) *Proposal{
		s.create, s.objectToSuspicion, s.succeed, s.claimFree, s.takeGone, s.takeBack, s.rebalance, s.keepReserve,
	}
	for _, step := range steps {
		if p := step(now); p != nil {
			return p
		}
	}
	return nil
}

// create proposes the first row of a customer. Nobody has had a share before,
// so its whole burst is there.
func (s *Share) create(now time.Time) *Proposal {
	if s.version > 0 || !s.wanted(now) {
		return nil
	}
	p := &Proposal{keep: s.inUse}
	p.Row.add(s.self, TotalParts, s.burst, 0)
	return p
}

func (s *Share) wanted(now time.Time) bool {
	return s.Demand(now) > idleDemand || s.demand.asked > 0
}

func (s *Share) objectToSuspicion(time.Time) *Proposal {
	if s.row.Suspect != s.self.Incarnation {
		return nil
	}
	p := s.unchanged()
	p.Row.Suspect = ""
	p.Row.Accuser = ""
	return p
}

// succeed takes over from earlier processes of the same name and address.
func (s *Share) succeed(time.Time) *Proposal {
	for i := range s.row.Holders {
		if h := &s.row.Holders[i]; s.self.succeeds(h) {
			return s.claim(h)
		}
	}
	return nil
}

// claimFree takes parts that nobody holds.
func (s *Share) claimFree(now time.Time) *Proposal {
	free := TotalParts - s.row.AllocatedParts()
	if free <= 0 || s.version == 0 || !s.wanted(now) {
		return nil
	}
	p := s.unchanged()
	p.claimed = free
	p.Row.add(s.self, free, 0, 0)
	return p
}

// takeGone takes the share of a holder whose VM is gone.
func (s *Share) takeGone(now time.Time) *Proposal {
	if !s.wanted(now) {
		return nil
	}
	for i := range s.row.Holders {
		h := &s.row.Holders[i]
		if h.Incarnation != s.self.Incarnation && s.gone(h) {
			return s.claim(h)
		}
	}
	return nil
}

// takeBack takes the share of a silent holder: first it marks the row, so
// that a holder that reads it can object, and after the bound it swaps.
func (s *Share) takeBack(now time.Time) *Proposal {
	if s.witness == nil || !s.wanted(now) {
		return nil
	}
	for i := range s.row.Holders {
		h := &s.row.Holders[i]
		if h.Incarnation == s.self.Incarnation || !s.witness.Silent(h) {
			continue
		}
		if s.row.Suspect != h.Incarnation || s.row.Accuser != s.self.Incarnation {
			return s.suspect(h, now)
		}
		if now.Sub(s.markedAt) > time.Duration(silenceMargin*float64(s.bound)) {
			return s.claim(h)
		}
	}
	return nil
}

// suspect marks a silent holder, unless another gateway has just done so.
func (s *Share) suspect(h *Holder, now time.Time) *Proposal {
	if s.row.Suspect != "" && now.Sub(s.markedAt) <= time.Duration(2*silenceMargin*float64(s.bound)) {
		return nil
	}
	p := s.unchanged()
	p.Row.Suspect = h.Incarnation
	p.Row.Accuser = s.self.Incarnation
	return p
}

// claim takes the whole share of a holder that certainly uses it no more.
func (s *Share) claim(h *Holder) *Proposal {
	p := s.unchanged()
	p.claimed = h.Parts
	p.Row.remove(h.Incarnation)
	p.Row.add(s.self, h.Parts, 0, 0)
	return p
}

func (s *Share) unchanged() *Proposal {
	return &Proposal{Row: s.row.clone(), keep: s.inUse}
}

// rebalance gives parts to peers that told their demand. Regions hold shares
// in proportion to their demands; within a region a few gateways hold the
// share and the others pull tokens from them.
func (s *Share) rebalance(now time.Time) *Proposal {
	if s.inUse == 0 || len(s.wants) == 0 || !s.Usable(now) {
		return nil
	}
	own := s.Demand(now)
	if own < idleDemand {
		own = 0
	}
	if own > 0 && now.Sub(s.movedAt) < moveInterval {
		return nil
	}
	return s.give(s.lacking(own), now)
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

// lacking returns what the gateways that should hold shares lack: in each
// region the few with the highest demand, in equal parts, so that the loss of
// one leaves the others their parts.
func (s *Share) lacking(own float64) map[string]int64 {
	regions := s.regions(own)
	pool, demanded := s.inUse, 0.0
	for name, r := range regions {
		r.choose(s.slots(name))
		demanded += r.demand
		for _, c := range r.candidates {
			if c.holder.Incarnation != s.self.Incarnation {
				pool += c.held
			}
		}
	}
	lacks := map[string]int64{}
	for _, r := range regions {
		for _, c := range r.candidates {
			target := float64(pool) * r.demand / demanded / float64(len(r.candidates))
			lack := int64(target) - c.held
			if c.holder.Incarnation != s.self.Incarnation && lack >= min(moveParts, s.inUse) {
				lacks[c.holder.Incarnation] = lack
			}
		}
	}
	return lacks
}

// regions sorts the known demands by region. Present holders count more, so
// that shares do not follow noise.
func (s *Share) regions(own float64) map[string]*region {
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
			weight *= leadFactor
		}
		r.candidates = append(r.candidates, candidate{h, held, weight})
	}
	add(s.self, s.inUse, own)
	for _, id := range slices.Sorted(maps.Keys(s.wants)) {
		h, _ := s.row.Holder(id)
		add(s.wants[id].holder, h.Parts, s.wants[id].demand)
	}
	return regions
}

// choose leaves the candidates of highest weight.
func (r *region) choose(n int) {
	slices.SortStableFunc(r.candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	r.candidates = r.candidates[:min(n, len(r.candidates))]
}

// slots returns how many of a region's gateways with known demand should hold
// shares, beside its holders whose demand is not known.
func (s *Share) slots(name string) int {
	others := 0
	for _, h := range s.Peers() {
		if _, asked := s.wants[h.Incarnation]; !asked && h.Region == name {
			others++
		}
	}
	return max(1, regionHolders-others)
}

// give moves parts, with their part of the tokens, to the peers that lack
// them.
func (s *Share) give(lacks map[string]int64, now time.Time) *Proposal {
	p := s.unchanged()
	floor := s.floor(lacks)
	for _, id := range slices.Sorted(maps.Keys(lacks)) {
		parts := min(lacks[id], p.keep-floor)
		if parts < min(moveParts, s.inUse) {
			continue
		}
		s.split(p, s.wants[id].holder, parts, now)
	}
	if p.keep == s.inUse {
		return nil
	}
	p.Row.setParts(s.self.Incarnation, p.keep)
	s.movedAt = now
	return p
}

// floor returns the parts that this gateway keeps whatever its demand: those
// of a reserve when only one other gateway would hold the share.
func (s *Share) floor(lacks map[string]int64) int64 {
	others := map[string]bool{}
	for _, h := range s.Peers() {
		others[h.Incarnation] = true
	}
	for id := range lacks {
		others[id] = true
	}
	if _, ok := s.reserve(); !ok || len(others) > 1 {
		return 0
	}
	return reserveParts
}

// keepReserve gives a part to another gateway while this one is the only
// holder.
func (s *Share) keepReserve(now time.Time) *Proposal {
	if len(s.row.Holders) != 1 || s.inUse <= reserveParts || !s.Usable(now) {
		return nil
	}
	other, ok := s.reserve()
	if !ok {
		return nil
	}
	p := s.unchanged()
	s.split(p, other, reserveParts, now)
	p.Row.setParts(s.self.Incarnation, p.keep)
	s.movedAt = now
	return p
}

// split moves parts with their tokens from this gateway to another in p.
func (s *Share) split(p *Proposal, to Holder, parts int64, now time.Time) {
	tokens, lent := s.bucket.Split(float64(parts)/float64(p.keep), now)
	p.Row.add(to, parts, tokens, lent)
	p.tokens += tokens
	p.lent += lent
	p.keep -= parts
}

// giveAll gives the whole share to the peer with the highest demand, or else
// to the largest holder, or else to nobody.
func (s *Share) giveAll(now time.Time) *Proposal {
	if _, ok := s.row.Holder(s.self.Incarnation); !ok {
		return nil
	}
	p := s.unchanged()
	if heir, found := s.heir(); found && p.keep > 0 {
		s.split(p, heir, p.keep, now)
	}
	p.keep = 0
	p.Row.remove(s.self.Incarnation)
	return p
}

func (s *Share) heir() (h Holder, found bool) {
	highest := 0.0
	for _, w := range s.wants {
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
		s.adopt(p.Row, version, now)
	case outcome == Unknown || s.uncertain:
		s.uncertain = true
	default:
		s.restore(p, now)
	}
}

// restore undoes what a proposal that was not written took away.
func (s *Share) restore(p *Proposal, now time.Time) {
	s.pending = nil
	if p.before > s.inUse {
		s.use(p.before, now)
	}
	lost := s.bucket.RefillRate() * now.Sub(p.at).Seconds()
	s.bucket.Merge(max(0, p.tokens-lost), p.lent, now)
}
