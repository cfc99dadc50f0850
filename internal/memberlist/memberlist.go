// Package memberlist is the versioned list of the fleet's processes. Every
// change of the list is one swap of the head row, so that all changes and all
// revisions of the configuration have one order.
package memberlist

import (
	"cmp"
	"slices"

	"fireflypier.example/fireflypier/internal/member"
)

// List is one version of the member list. It never changes; Apply returns the
// next version.
type List struct {
	// Version counts the changes; zero is the empty list.
	Version int64 `json:"version"`
	// Floor is the highest revision of the configuration at the time of the
	// last change.
	Floor int64 `json:"floor"`
	// Settled is the highest version that a majority of every earlier list
	// is known to have adopted.
	Settled int64 `json:"settled"`
	// Members are sorted by name, then by incarnation.
	Members []member.Member `json:"members"`
}

// Change leads from one version of the list to the next.
type Change struct {
	// Version is the version that the change leads to.
	Version int64 `json:"version"`
	// Floor and Settled are those of the next list.
	Floor   int64 `json:"floor"`
	Settled int64 `json:"settled"`
	// Put holds members to add or replace, by incarnation.
	Put []member.Member `json:"put,omitzero"`
	// Drop lists the incarnations that have certainly ended.
	Drop []string `json:"drop,omitzero"`
}

// Empty returns version zero.
func Empty() *List { return &List{} }

// New returns a list of the given members, whose Joined is set.
func New(version, floor, settled int64, members []member.Member) *List {
	l := &List{Version: version, Floor: floor, Settled: settled, Members: slices.Clone(members)}
	l.sort()
	return l
}

// Apply returns the list that c leads to. A change that does not follow on l
// gives l itself.
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

// WithMember returns l with m in it, at the same version.
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

// Find returns the member of an incarnation; ok is false when it is not
// listed.
func (l *List) Find(incarnation string) (m member.Member, ok bool) {
	i := l.index(incarnation)
	if i < 0 {
		return member.Member{}, false
	}
	return l.Members[i], true
}

// GatewaysByRegion returns the listed gateways by region.
func (l *List) GatewaysByRegion() map[string][]member.Member {
	regions := map[string][]member.Member{}
	for _, m := range l.Members {
		if m.Role == member.Gateway {
			regions[m.Region] = append(regions[m.Region], m)
		}
	}
	return regions
}
