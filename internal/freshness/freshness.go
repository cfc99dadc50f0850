// Package freshness decides, without input or output, when a process may
// treat its configuration as the highest one, and when an edit counts as
// accepted.
//
// The witnesses are the gateways of the member list, region by region. An
// edit is accepted once a majority of the witnesses of each region has
// adopted it. A process without the store may treat its state as the highest
// one once a majority of the witnesses of its own region has answered and
// none of them holds a higher state. Two such majorities share a witness, so
// nothing that was accepted before the first answer is missed.
//
// A witness is an incarnation: a restarted process does not answer with its
// predecessor's memory. While a change of the member list is not settled, an
// edit needs a majority of every list since the last settled one, and
// confirmations are counted against the newest list. A list is used only by
// processes that hold the revision in force when the list was made.
package freshness

import (
	"maps"
	"slices"

	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/memberlist"
)

// State is what a process has adopted. Both numbers only grow.
type State struct {
	// Revision is the revision of the configuration.
	Revision int64 `json:"revision"`
	// Members is the version of the member list.
	Members int64 `json:"members"`
}

// Covers reports whether s is at least other in both numbers.
func (s State) Covers(other State) bool {
	return s.Revision >= other.Revision && s.Members >= other.Members
}

// Quorum applies the rules to one member list.
type Quorum struct {
	list *memberlist.List
}

// New returns the rule over a list.
func New(list *memberlist.List) *Quorum { return &Quorum{list: list} }

// majority returns how many of n are more than half.
func majority(n int) int { return n/2 + 1 }

// Confirms reports whether the answers confirm that no state above own was
// accepted before the first of them was asked for. The answers are by
// incarnation; own's process answers for itself when it is listed. The rule's
// list must be the one that own names.
func (r *Quorum) Confirms(region string, own State, answers map[string]State) bool {
	if own.Members != r.list.Version || own.Revision < r.list.Floor {
		return false
	}
	witnesses := r.list.GatewaysByRegion()[region]
	confirmed := 0
	for _, m := range witnesses {
		answer, ok := answers[m.Incarnation]
		if !ok {
			continue
		}
		if !own.Covers(answer) {
			return false
		}
		confirmed++
	}
	return len(witnesses) > 0 && confirmed >= majority(len(witnesses))
}

// Missing is the part of a region that has not acknowledged an edit.
type Missing struct {
	// Region names the region.
	Region string `json:"region"`
	// Gateways are the names of the gateways, sorted.
	Gateways []string `json:"gateways"`
	// Blocking is true when acceptance waits for this region.
	Blocking bool `json:"holds"`
}

// Accepted reports whether an edit is accepted, given the acknowledged
// states by incarnation, and which gateways are missing. need is the state
// that the edit's commit gave to the head; a list older than need accepts
// nothing.
func (r *Quorum) Accepted(need State, acknowledged map[string]State) (accepted bool, missing []Missing) {
	has := func(m *member.Member) bool {
		return acknowledged[m.Incarnation].Revision >= need.Revision
	}
	accepted = r.list.Version >= need.Members
	regions := r.list.GatewaysByRegion()
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		witnesses := regions[region]
		holds := !r.everyMajority(witnesses, r.list.Version, has)
		accepted = accepted && !holds
		var names []string
		for _, m := range witnesses {
			if !has(&m) {
				names = append(names, m.Name)
			}
		}
		if len(names) > 0 {
			missing = append(missing, Missing{Region: region, Gateways: names, Blocking: holds})
		}
	}
	return accepted, missing
}

// SettledVersion returns the highest version to which the list can be settled, given
// the answered states by incarnation.
func (r *Quorum) SettledVersion(answers map[string]State) int64 {
	settled := r.list.Settled
	for _, version := range r.versions(r.list.Members, r.list.Version) {
		if version > settled && r.settles(version, answers) {
			settled = version
		}
	}
	return settled
}

func (r *Quorum) settles(version int64, answers map[string]State) bool {
	adopted := func(m *member.Member) bool { return answers[m.Incarnation].Members >= version }
	for _, witnesses := range r.list.GatewaysByRegion() {
		if !r.everyMajority(witnesses, version-1, adopted) {
			return false
		}
	}
	return true
}

// everyMajority reports whether a majority of the witnesses of every list
// from the last settled one up to version satisfies has. Witnesses that have
// certainly ended are in no list: they answer nobody.
func (r *Quorum) everyMajority(witnesses []member.Member, version int64, has func(*member.Member) bool) bool {
	for _, v := range r.versions(witnesses, version) {
		listed, count := 0, 0
		for i := range witnesses {
			if witnesses[i].Joined > v {
				continue
			}
			listed++
			if has(&witnesses[i]) {
				count++
			}
		}
		if listed > 0 && count < majority(listed) {
			return false
		}
	}
	return true
}

// versions returns the settled version and those after it, up to version, at
// which one of the members joined.
func (r *Quorum) versions(members []member.Member, version int64) []int64 {
	versions := []int64{min(r.list.Settled, version)}
	for _, m := range members {
		if m.Joined > r.list.Settled && m.Joined <= version {
			versions = append(versions, m.Joined)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}
