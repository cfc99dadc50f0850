package object

import (
	"maps"
	"reflect"
	"slices"
)

// Set is a set of objects by kind and name. A published Set is immutable; modify
// a copy made by Clone.
type Set struct {
	// Each map holds the objects of one kind by name.
	Models    map[string]Model    `json:"models,omitzero"`
	Adapters  map[string]Adapter  `json:"adapters,omitzero"`
	Customers map[string]Customer `json:"customers,omitzero"`
	Keys      map[string]Key      `json:"keys,omitzero"`
	Rates     map[string]Rate     `json:"rates,omitzero"`
	Routes    map[string]Route    `json:"routes,omitzero"`
	Pools     map[string]Pool     `json:"pools,omitzero"`
	Targets   map[string]Target   `json:"targets,omitzero"`
}

// Clone returns a copy of s whose maps may be modified and are not nil.
func (s *Set) Clone() *Set {
	return &Set{
		Models:    cloneMap(s.Models),
		Adapters:  cloneMap(s.Adapters),
		Customers: cloneMap(s.Customers),
		Keys:      cloneMap(s.Keys),
		Rates:     cloneMap(s.Rates),
		Routes:    cloneMap(s.Routes),
		Pools:     cloneMap(s.Pools),
		Targets:   cloneMap(s.Targets),
	}
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// Merge copies all objects of other into s and replaces those of the same kind and
// name. The maps of s must not be nil; see Clone.
func (s *Set) Merge(other *Set) {
	maps.Copy(s.Models, other.Models)
	maps.Copy(s.Adapters, other.Adapters)
	maps.Copy(s.Customers, other.Customers)
	maps.Copy(s.Keys, other.Keys)
	maps.Copy(s.Rates, other.Rates)
	maps.Copy(s.Routes, other.Routes)
	maps.Copy(s.Pools, other.Pools)
	maps.Copy(s.Targets, other.Targets)
}

// Delete removes the object that r refers to, if it exists.
func (s *Set) Delete(r Ref) {
	switch r.Kind {
	case KindModel:
		delete(s.Models, r.Name)
	case KindAdapter:
		delete(s.Adapters, r.Name)
	case KindCustomer:
		delete(s.Customers, r.Name)
	case KindKey:
		delete(s.Keys, r.Name)
	case KindRate:
		delete(s.Rates, r.Name)
	case KindRoute:
		delete(s.Routes, r.Name)
	case KindPool:
		delete(s.Pools, r.Name)
	case KindTarget:
		delete(s.Targets, r.Name)
	}
}

// Subtract removes from s the objects that are equal to those of the same kind and
// name in other.
func (s *Set) Subtract(other *Set) {
	subtract(s.Models, other.Models)
	subtract(s.Adapters, other.Adapters)
	subtract(s.Customers, other.Customers)
	subtract(s.Keys, other.Keys)
	subtract(s.Rates, other.Rates)
	subtract(s.Routes, other.Routes)
	subtract(s.Pools, other.Pools)
	subtract(s.Targets, other.Targets)
}

func subtract[V any](from, other map[string]V) {
	maps.DeleteFunc(from, func(name string, v V) bool {
		o, ok := other[name]
		return ok && reflect.DeepEqual(v, o)
	})
}

// Has reports whether s contains the object that r refers to.
func (s *Set) Has(r Ref) bool {
	var ok bool
	switch r.Kind {
	case KindModel:
		_, ok = s.Models[r.Name]
	case KindAdapter:
		_, ok = s.Adapters[r.Name]
	case KindCustomer:
		_, ok = s.Customers[r.Name]
	case KindKey:
		_, ok = s.Keys[r.Name]
	case KindRate:
		_, ok = s.Rates[r.Name]
	case KindRoute:
		_, ok = s.Routes[r.Name]
	case KindPool:
		_, ok = s.Pools[r.Name]
	case KindTarget:
		_, ok = s.Targets[r.Name]
	}
	return ok
}

// Refs returns references to all objects of s, ordered by kind and then by name.
func (s *Set) Refs() []Ref {
	var refs []Ref
	refs = appendRefs(refs, KindModel, s.Models)
	refs = appendRefs(refs, KindAdapter, s.Adapters)
	refs = appendRefs(refs, KindCustomer, s.Customers)
	refs = appendRefs(refs, KindKey, s.Keys)
	refs = appendRefs(refs, KindRate, s.Rates)
	refs = appendRefs(refs, KindRoute, s.Routes)
	refs = appendRefs(refs, KindPool, s.Pools)
	refs = appendRefs(refs, KindTarget, s.Targets)
	return refs
}

func appendRefs[V any](refs []Ref, k Kind, m map[string]V) []Ref {
	for _, name := range slices.Sorted(maps.Keys(m)) {
		refs = append(refs, Ref{Kind: k, Name: name})
	}
	return refs
}

// PoolTargets returns the sorted names of the targets of a pool.
func (s *Set) PoolTargets(pool string) []string {
	var names []string
	for name, t := range s.Targets {
		if t.Pool == pool {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
