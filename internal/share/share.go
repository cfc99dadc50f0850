// Package share implements the protocol by which gateways divide the rate of
// one customer among themselves. It performs no I/O and uses no timers: the
// caller passes in the time, reads the share row from the store, replaces it by
// compare-and-swap, and transfers tokens between gateways.
//
// The parts of all holders in a row add up to TotalParts at most, and a gateway
// never uses more parts than the row assigns to it. To keep this true while
// parts move, the sender reduces the parts that it uses before it swaps the row,
// and the receiver uses the new parts only once it has observed the new row.
package share

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fireflypier.example/fireflypier/internal/bucket"
)

// FailureDetector reports which processes of a region are silent, as confirmed by
// a majority of the region. A process is silent if nothing was received from it
// for at least the bound given to WithFailureDetector.
type FailureDetector interface {
	// LastQuorum returns the start of the last exchange in which a majority of
	// the own region, this process included, answered this process. A member
	// that has confirmed the silence of an incarnation must not answer that
	// incarnation again. A member must not answer within the bound after its
	// own start either, because it has lost its predecessor's confirmations.
	LastQuorum() time.Time
	// Silent reports whether a majority of the holder's region confirms that
	// it has received nothing from the incarnation for at least the bound. A
	// member can confirm this only if it has itself run for longer than that.
	Silent(h *Holder) bool
}

// Share is one gateway's share of the rate of one customer. It is not safe for
// concurrent use. Times passed to it must not go backwards.
type Share struct {
	self            Holder
	silenceBound    time.Duration
	failureDetector FailureDetector
	terminated      func(h *Holder) bool
	standby         func() (h Holder, ok bool)

	bucket bucket.Bucket
	rate   float64
	burst  float64
	inUse  int64

	row       Row
	version   int64
	storeRead bool
	readAt    time.Time
	// confirmedAt is the last time at which no other gateway can have claimed
	// this gateway's parts.
	confirmedAt time.Time
	// entryNumber is Holder.Joined of the own entry. mergedTokens and
	// mergedLent are the Received and Lent of that entry that the bucket
	// already contains.
	entryNumber        int64
	mergedTokens       float64
	mergedLent         float64
	pending            *Proposal
	outcomeUnknown     bool
	suspicionChangedAt time.Time
	movedPartsAt       time.Time

	demandEstimate demandEstimate
	peerDemands    map[string]peerDemand
	leaving        bool
}

// Option configures a Share in New.
type Option func(*Share)

// WithFailureDetector lets a gateway claim the parts of silent holders. A
// gateway then uses its own parts only if it has read the row, or a majority of
// its region has answered it, within silenceBound. Without a failure detector
// or WithTerminated, a holder keeps its parts until a later process with its
// name and address reads the row.
func WithFailureDetector(d FailureDetector, silenceBound time.Duration) Option {
	return func(s *Share) {
		s.failureDetector = d
		s.silenceBound = silenceBound
	}
}

// WithTerminated lets a gateway claim the parts of a holder at once when
// terminated reports that the holder's process has certainly ended.
func WithTerminated(terminated func(h *Holder) bool) Option {
	return func(s *Share) { s.terminated = terminated }
}

// WithStandby sets the function that selects a standby: a gateway that gets
// parts without demand while this one is the only holder, so that the loss of
// one gateway never leaves the customer without tokens. standby returns false
// when there is no other gateway.
func WithStandby(standby func() (h Holder, ok bool)) Option {
	return func(s *Share) { s.standby = standby }
}

// New returns the share of a gateway that holds no parts yet. Call SetRate
// before the first request.
func New(self Holder, opts ...Option) *Share {
	s := &Share{
		self: self, peerDemands: map[string]peerDemand{},
		terminated: func(*Holder) bool { return false },
		standby:    func() (Holder, bool) { return Holder{}, false },
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// SetRate sets the customer's rate in tokens per second and its burst in
// tokens, both for all gateways together.
func (s *Share) SetRate(rate, burst float64, now time.Time) {
	s.rate = rate
	s.burst = burst
	s.bucket.SetRate(rate, burst, now)
}

// RecordDemand adds the tokens of a new request to the demand estimate,
// whether or not the request is admitted.
func (s *Share) RecordDemand(tokens float64, now time.Time) { s.demandEstimate.add(tokens, now) }

// Take charges a request. When fewer tokens are available, ok is false and
// nothing is charged. While the share is not usable, only borrowed tokens count.
func (s *Share) Take(tokens float64, now time.Time) (c bucket.Charge, ok bool) {
	if s.Available(now) < tokens {
		return bucket.Charge{}, false
	}
	return s.bucket.Take(tokens, now)
}

// Settle returns the tokens of c that the request did not use.
func (s *Share) Settle(c bucket.Charge, used float64, now time.Time) {
	s.bucket.Settle(c, used, now)
}

// Available returns the number of tokens that Take can charge.
func (s *Share) Available(now time.Time) float64 {
	if !s.Usable(now) {
		return s.bucket.Borrowed(now)
	}
	return s.bucket.Available(now)
}

// Usable reports whether the gateway may use its own parts: no other gateway
// can have claimed them, and the row does not name this gateway as the suspect.
// Once the silence bound has passed without an answer from a quorum or a read
// of the row, only a new read makes the share usable again.
func (s *Share) Usable(now time.Time) bool {
	if s.failureDetector == nil {
		return true
	}
	if s.row.Suspect == s.self.Incarnation || now.Sub(s.confirmedAt) > s.silenceBound {
		return false
	}
	if answered := s.failureDetector.LastQuorum(); answered.After(s.confirmedAt) {
		s.confirmedAt = answered
	}
	return true
}

// LendTo lends tokens to a peer that requested them and records the peer's
// demand, in tokens per second. It lends all the tokens or none, unless partial
// is set. available is the number of own tokens before the loan, or zero when
// the share is not usable.
func (s *Share) LendTo(to Holder, tokens, demandRate float64, partial bool, now time.Time) (lent, available float64) {
	s.peerDemands[to.Incarnation] = peerDemand{holder: to, demand: demandRate, reportedAt: now}
	if !s.Usable(now) {
		return 0, 0
	}
	available = s.bucket.Level(now)
	if available < tokens && !partial {
		return 0, available
	}
	return s.bucket.Lend(tokens, now), available
}

// AddBorrowed adds tokens that a peer lent. requestedAt is a time before the
// request was sent; the tokens expire bucket.LoanLifetime after it.
func (s *Share) AddBorrowed(tokens float64, requestedAt, now time.Time) {
	s.bucket.Borrow(tokens, requestedAt.Add(bucket.LoanLifetime), now)
}

// Observe processes the row at a version; a row that does not exist has version
// zero. A version older than the newest observed one is ignored. readAt is when
// the read from the store began, or zero for a row that a peer sent.
func (s *Share) Observe(row Row, version int64, readAt, now time.Time) {
	if version < s.version {
		return
	}
	if !readAt.IsZero() {
		s.storeRead = true
		s.readAt = readAt
		if row.Suspect != s.self.Incarnation && readAt.After(s.confirmedAt) {
			s.confirmedAt = readAt
		}
	}
	if version > s.version {
		s.applyRow(row, version, now)
	}
}

// applyRow applies a newer row. A pending proposal can no longer be written,
// because it expects the older version.
func (s *Share) applyRow(row Row, version int64, now time.Time) {
	claimed := s.pending != nil && s.pending.claimed > 0
	s.pending = nil
	s.outcomeUnknown = false
	if row.Suspect != s.row.Suspect || row.Accuser != s.row.Accuser {
		s.suspicionChangedAt = now
	}
	s.row = row
	s.version = version
	mine, _ := row.Holder(s.self.Incarnation)
	gained := mine.Parts - s.inUse
	s.setInUse(mine.Parts, now)
	if mine.Joined != s.entryNumber {
		s.bucket.Clear(now)
		s.entryNumber = mine.Joined
		s.mergedTokens = 0
		s.mergedLent = 0
	}
	if gained > 0 && claimed {
		s.bucket.AssumeLent(fractionOf(gained), now)
	}
	s.bucket.Merge(max(0, mine.Received-s.mergedTokens), max(0, mine.Lent-s.mergedLent), now)
	s.mergedTokens = mine.Received
	s.mergedLent = mine.Lent
}

func (s *Share) setInUse(parts int64, now time.Time) {
	s.inUse = parts
	s.bucket.SetFraction(fractionOf(parts), now)
}

func fractionOf(parts int64) float64 { return float64(parts) / TotalParts }

// Leave makes the next proposals hand over all parts and claim none.
func (s *Share) Leave() { s.leaving = true }

// State is a snapshot of a share for dumps.
type State struct {
	// Parts is how many of TotalParts the gateway uses.
	Parts int64 `json:"parts"`
	// Tokens is the number of available tokens. Lent is an upper bound of the
	// tokens that peers have borrowed and not used.
	Tokens float64 `json:"tokens"`
	Lent   float64 `json:"lent"`
	// Demand is the own demand in tokens per second.
	Demand float64 `json:"demand"`
	// Row and Version are the newest row that the gateway has observed.
	Row     Row   `json:"row"`
	Version int64 `json:"version"`
	// Pending is true while the outcome of a swap is not known.
	Pending bool `json:"pending"`
}

// State returns a snapshot; it shares no memory with the Share.
func (s *Share) State(now time.Time) State {
	return State{
		Parts:   s.inUse,
		Tokens:  s.Available(now),
		Lent:    s.bucket.Lent(now),
		Demand:  s.Demand(now),
		Row:     s.row.clone(),
		Version: s.version,
		Pending: s.pending != nil,
	}
}

// Demand returns the demand estimate of this gateway in tokens per second.
func (s *Share) Demand(now time.Time) float64 {
	s.demandEstimate.closeSample(now)
	return s.demandEstimate.rate
}

// Parts returns how many of TotalParts the gateway uses.
func (s *Share) Parts() int64 { return s.inUse }

// Version returns the version of the newest observed row, zero if there is none,
// and whether the row was ever read from the store.
func (s *Share) Version() (version int64, storeRead bool) { return s.version, s.storeRead }

// Pending reports whether the outcome of a proposal is not known yet.
func (s *Share) Pending() bool { return s.pending != nil }

// ReadAt returns when the last read of the row from the store began.
func (s *Share) ReadAt() time.Time { return s.readAt }

// Peers returns the other holders: those of the own region first, then the
// others, both in order of decreasing parts.
func (s *Share) Peers() []Holder {
	peers := make([]Holder, 0, len(s.row.Holders))
	for _, h := range s.row.Holders {
		if h.Incarnation != s.self.Incarnation && h.Parts > 0 {
			peers = append(peers, h)
		}
	}
	slices.SortStableFunc(peers, func(a, b Holder) int {
		return cmp.Or(s.distance(&a)-s.distance(&b), cmp.Compare(b.Parts, a.Parts))
	})
	return peers
}

func (s *Share) distance(h *Holder) int {
	if h.Region == s.self.Region {
		return 0
	}
	return 1
}

// Row returns a copy of the newest observed row.
func (s *Share) Row() Row { return s.row.clone() }

// expirePeerDemands removes the demands that are older than
// peerDemandLifetime.
func (s *Share) expirePeerDemands(now time.Time) {
	maps.DeleteFunc(s.peerDemands, func(_ string, d peerDemand) bool { return now.Sub(d.reportedAt) > peerDemandLifetime })
}
