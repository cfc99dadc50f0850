// Package freshness implements the majority rules by which a process may
// treat its configuration as the highest one, and by which an edit counts as
// accepted. It does no input or output.
//
// The voters are the gateways of the member list, separately for each region.
// An edit is accepted once a majority of the voters of each region has
// adopted it. A process that cannot read the store may treat its state as the
// highest one once a majority of the voters of its own region has answered
// and none of them holds a higher state. Two such majorities share a voter,
// so no edit that was accepted before the first answer is missed.
//
// A voter is an incarnation of a gateway: a restarted process has lost the
// state that its predecessor adopted and does not answer for it. A version of
// the member list is settled once a majority of the voters of every earlier
// list has adopted it. Until a change of the list is settled, an edit needs a
// majority of every list since the last settled one, and confirmations are
// counted against the newest list. A list is used only by processes that hold
// the revision in force when the list was made, or a later one.
package freshness

import (
	"maps"
	"slices"

	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/memberlist"
)

// State identifies what a process has adopted. Neither number ever decreases.
type State struct {
	// Revision is the revision of the configuration.
	Revision int64 `json:"revision"`
	// Members is the version of the member list.
	Members int64 `json:"members"`
}

// Covers reports whether both numbers of s are at least those of other.
func (s State) Covers(other State) bool {
	return s.Revision >= other.Revision && s.Members >= other.Members
}

// Quorum evaluates the majority rules on one member list.
type Quorum struct {
	list *memberlist.List
}

// New returns a Quorum of the voters in list.
func New(list *memberlist.List) *Quorum { return &Quorum{list: list} }

// majority returns the smallest number that is more than half of n.
func majority(n int) int { return n/2 + 1 }

// Confirms reports whether the answers confirm that no state above own was
// accepted before the first of them was requested. The answers are keyed by
// incarnation and include the state of the process itself if it is listed.
// The result is false if the list of q is not the version in own, or if own
// is below the floor of the list.
func (q *Quorum) Confirms(region string, own State, answers map[string]State) bool {
	if own.Members != q.list.Version || own.Revision < q.list.Floor {
		return false
	}
	voters := q.list.GatewaysByRegion()[region]
	confirmed := 0
	for _, m := range voters {
		answer, ok := answers[m.Incarnation]
		if !ok {
			continue
		}
		if !own.Covers(answer) {
			return false
		}
		confirmed++
	}
	return len(voters) > 0 && confirmed >= majority(len(voters))
}

// Missing lists the gateways of a region that have not acknowledged an edit.
type Missing struct {
	// Region is the name of the region.
	Region string `json:"region"`
	// Gateways holds the sorted names of the gateways.
	Gateways []string `json:"gateways"`
	// Blocking is true if the region lacks a majority, so that the edit is not
	// accepted.
	Blocking bool `json:"holds"`
}

// Accepted reports whether an edit is accepted, given the acknowledged states
// by incarnation, and which gateways have not acknowledged it, sorted by
// region. required is the state of the head after the commit of the edit;
// with a list older than that, no edit is accepted.
func (q *Quorum) Accepted(required State, acknowledged map[string]State) (accepted bool, missing []Missing) {
	acknowledges := func(m *member.Member) bool {
		return acknowledged[m.Incarnation].Revision >= required.Revision
	}
	accepted = q.list.Version >= required.Members
	regions := q.list.GatewaysByRegion()
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		voters := regions[region]
		blocking := !q.majorityOfEveryList(voters, q.list.Version, acknowledges)
		accepted = accepted && !blocking
		var names []string
		for _, m := range voters {
			if !acknowledges(&m) {
				names = append(names, m.Name)
			}
		}
		if len(names) > 0 {
			missing = append(missing, Missing{Region: region, Gateways: names, Blocking: blocking})
		}
	}
	return accepted, missing
}

// SettledVersion returns the highest version of the list that is settled, given
// the answered states by incarnation.
func (q *Quorum) SettledVersion(answers map[string]State) int64 {
	settled := q.list.Settled
	for _, version := range q.versions(q.list.Members, q.list.Version) {
		if version > settled && q.canSettle(version, answers) {
			settled = version
		}
	}
	return settled
}

func (q *Quorum) canSettle(version int64, answers map[string]State) bool {
	adopted := func(m *member.Member) bool { return answers[m.Incarnation].Members >= version }
	for _, voters := range q.list.GatewaysByRegion() {
		if !q.majorityOfEveryList(voters, version-1, adopted) {
			return false
		}
	}
	return true
}

// majorityOfEveryList reports whether in every list from the last settled one
// up to version, a majority of the voters satisfies the predicate. Voters
// that are known to have ended are not counted in any list, because they can
// no longer answer.
func (q *Quorum) majorityOfEveryList(voters []member.Member, version int64, satisfies func(*member.Member) bool) bool {
	for _, v := range q.versions(voters, version) {
		listed, count := 0, 0
		for i := range voters {
			if voters[i].Joined > v {
				continue
			}
			listed++
			if satisfies(&voters[i]) {
				count++
			}
		}
		if listed > 0 && count < majority(listed) {
			return false
		}
	}
	return true
}

// versions returns the settled version and the later ones, up to version, at
// which one of the members joined.
func (q *Quorum) versions(members []member.Member, version int64) []int64 {
	versions := []int64{min(q.list.Settled, version)}
	for _, m := range members {
		if m.Joined > q.list.Settled && m.Joined <= version {
			versions = append(versions, m.Joined)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}
