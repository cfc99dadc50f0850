// Package memberlist implements the versioned list of the fleet's processes.
// Every change of the list swaps the head row, so that all changes of the list
// and all revisions of the configuration have a single total order.
package memberlist

import (
	"cmp"
	"slices"

	"fireflypier.example/fireflypier/internal/member"
)

// List is one immutable version of the member list; Apply returns the next
// version.
type List struct {
	// Version is the number of changes so far; version zero is empty.
	Version int64 `json:"version"`
	// Floor is the highest revision of the configuration at the time of the
	// last change. The list is used only with that revision or a later one.
	Floor int64 `json:"floor"`
	// Settled is the highest version that a majority of every earlier list is
	// known to have adopted, counted among the gateways of each region.
	Settled int64 `json:"settled"`
	// Members are sorted by name, then by incarnation.
	Members []member.Member `json:"members"`
}

// Change turns one version of the list into the next.
type Change struct {
	// Version is the version that results from the change.
	Version int64 `json:"version"`
	// Floor and Settled are those of the resulting list.
	Floor   int64 `json:"floor"`
	Settled int64 `json:"settled"`
	// Put holds the members to add, or to replace if their incarnation is
	// listed.
	Put []member.Member `json:"put,omitzero"`
	// Drop lists the incarnations to remove: those that are known to have
	// ended.
	Drop []string `json:"drop,omitzero"`
}

// Empty returns the empty list of version zero.
func Empty() *List { return &List{} }

// New returns a list of the given members, whose Joined must be set.
func New(version, floor, settled int64, members []member.Member) *List {
	l := &List{Version: version, Floor: floor, Settled: settled, Members: slices.Clone(members)}
	l.sort()
	return l
}

// Apply returns the list that results from c, or l itself if the version of c
// is not the one after that of l.
func (l *List) Apply(c *Change) *List {
	if c.Version != l.Version+1 {
		return l
	}
	next := &List{Version: c.Version, Floor: c.Floor, Settled: c.Settled, Members: slices.Clone(l.Members)}
	for _, m := range c.Put {
		next.put(m)
	}
	next.Members = slices.DeleteFunc(next.Members, func(m member.Member) bool {
		return slices.Contains(c.Drop, m.Incarnation)
	})
	next.sort()
	return next
}

func (l *List) sort() {
	slices.SortFunc(l.Members, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// WithMember returns a copy of l, at the same version, in which m is added or
// replaced.
func (l *List) WithMember(m member.Member) *List {
	next := New(l.Version, l.Floor, l.Settled, l.Members)
	next.put(m)
	next.sort()
	return next
}

func (l *List) put(m member.Member) {
	i := l.index(m.Incarnation)
	if i < 0 {
		m.Joined = l.Version
		l.Members = append(l.Members, m)
		return
	}
	m.Joined = l.Members[i].Joined
	l.Members[i] = m
}

func (l *List) index(incarnation string) int {
	return slices.IndexFunc(l.Members, func(m member.Member) bool { return m.Incarnation == incarnation })
}

// Find returns the member with the given incarnation; ok is false if it is not
// listed.
func (l *List) Find(incarnation string) (m member.Member, ok bool) {
	i := l.index(incarnation)
	if i < 0 {
		return member.Member{}, false
	}
	return l.Members[i], true
}

// GatewaysByRegion returns the listed gateways, grouped by region.
func (l *List) GatewaysByRegion() map[string][]member.Member {
	regions := map[string][]member.Member{}
	for _, m := range l.Members {
		if m.Role == member.Gateway {
			regions[m.Region] = append(regions[m.Region], m)
		}
	}
	return regions
}
