package object

import (
	"encoding/hex"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// Problem is one validation error in a set.
type Problem struct {
	// Ref is the invalid object.
	Ref Ref
	// Message describes the error.
	Message string
}

// String returns "kind/name: message".
func (p Problem) String() string { return p.Ref.String() + ": " + p.Message }

const (
	sha256HexLength  = 64
	maxNameLength    = 128
	reservedPathRoot = "/v1/"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:@-]*$`)

// checker collects the problems of a set.
type checker struct {
	set      *Set
	problems []Problem
}

func (c *checker) add(kind Kind, name, format string, args ...any) {
	ref := Ref{Kind: kind, Name: name}
	c.problems = append(c.problems, Problem{Ref: ref, Message: fmt.Sprintf(format, args...)})
}

// Check validates the whole set and returns its problems in a stable order. An
// empty result means that the set can be published.
func (s *Set) Check() []Problem {
	c := &checker{set: s}
	c.checkNames()
	c.checkModels()
	c.checkAdapters()
	c.checkCustomers()
	c.checkKeys()
	c.checkRates()
	c.checkRoutes()
	c.checkPools()
	c.checkTargets()
	return c.problems
}

func (c *checker) checkNames() {
	for _, r := range c.set.Refs() {
		if len(r.Name) > maxNameLength || !namePattern.MatchString(r.Name) {
			c.add(r.Kind, r.Name, "the name must match %s and have at most %d characters", namePattern, maxNameLength)
		}
	}
	for _, name := range sorted(c.set.Adapters) {
		if _, ok := c.set.Models[name]; ok {
			c.add(KindAdapter, name, "a model has the same name, and requests name models and adapters in the same field")
		}
	}
}

func (c *checker) checkModels() {
	for _, name := range sorted(c.set.Models) {
		m := c.set.Models[name]
		pool, ok := c.set.Pools[m.Pool]
		switch {
		case !ok:
			c.add(KindModel, name, "pool %q does not exist", m.Pool)
		case pool.Kind != PoolEngines:
			c.add(KindModel, name, "pool %q has no engines", m.Pool)
		default:
			c.checkModelFits(name, m)
		}
		if m.MemoryBytes <= 0 {
			c.add(KindModel, name, "memory_bytes must be above zero")
		}
		if m.Replicas < 0 || m.MaxRequestTokens < 0 {
			c.add(KindModel, name, "replicas and max_request_tokens must not be negative")
		}
		if m.Version == "" {
			c.add(KindModel, name, "version is missing")
		}
		c.checkCustomersOf(KindModel, name, m.Customers)
	}
}

func (c *checker) checkModelFits(name string, m Model) {
	for _, t := range c.set.Targets {
		if t.Pool == m.Pool && t.MemoryBytes >= m.MemoryBytes {
			return
		}
	}
	c.add(KindModel, name, "no engine of pool %q has %d bytes of memory", m.Pool, m.MemoryBytes)
}

func (c *checker) checkCustomersOf(kind Kind, name string, customers []string) {
	for _, customer := range customers {
		if _, ok := c.set.Customers[customer]; !ok {
			c.add(kind, name, "customer %q does not exist", customer)
		}
	}
}

func (c *checker) checkAdapters() {
	for _, name := range sorted(c.set.Adapters) {
		a := c.set.Adapters[name]
		if _, ok := c.set.Models[a.Model]; !ok {
			c.add(KindAdapter, name, "model %q does not exist", a.Model)
		}
		if _, ok := c.set.Adapters[a.Model]; ok {
			c.add(KindAdapter, name, "%q is an adapter; an adapter over an adapter could form a cycle", a.Model)
		}
		if a.MemoryBytes <= 0 {
			c.add(KindAdapter, name, "memory_bytes must be above zero")
		}
		if a.Version == "" {
			c.add(KindAdapter, name, "version is missing")
		}
		c.checkCustomersOf(KindAdapter, name, a.Customers)
	}
}

func (c *checker) checkCustomers() {
	for _, name := range sorted(c.set.Customers) {
		customer := c.set.Customers[name]
		if _, ok := c.set.Rates[customer.Rate]; !ok {
			c.add(KindCustomer, name, "rate %q does not exist", customer.Rate)
		}
	}
}

func (c *checker) checkKeys() {
	owners := map[string]string{}
	for _, name := range sorted(c.set.Keys) {
		key := c.set.Keys[name]
		if _, ok := c.set.Customers[key.Customer]; !ok {
			c.add(KindKey, name, "customer %q does not exist", key.Customer)
		}
		if _, err := hex.DecodeString(key.SHA256); err != nil || len(key.SHA256) != sha256HexLength || key.SHA256 != strings.ToLower(key.SHA256) {
			c.add(KindKey, name, "sha256 must be %d lower-case hexadecimal digits", sha256HexLength)
		}
		if owner, ok := owners[key.SHA256]; ok {
			c.add(KindKey, name, "key/%s has the same sha256", owner)
		}
		owners[key.SHA256] = name
	}
}

func (c *checker) checkRates() {
	for _, name := range sorted(c.set.Rates) {
		r := c.set.Rates[name]
		if !(r.TokensPerSecond > 0) {
			c.add(KindRate, name, "tokens_per_second must be above zero")
		}
		if !(r.BurstTokens > 0) {
			c.add(KindRate, name, "burst_tokens must be above zero")
		}
		c.checkLargestRequest(name, r)
		for _, routeName := range sorted(c.set.Routes) {
			if cost := c.set.Routes[routeName].CostTokens; cost > r.BurstTokens {
				c.add(KindRate, name, "burst_tokens %g is below cost_tokens %g of route/%s", r.BurstTokens, cost, routeName)
			}
		}
	}
}

// checkLargestRequest reports models whose largest request exceeds the burst of
// a customer that may use the model: such a request could never be admitted.
func (c *checker) checkLargestRequest(name string, r Rate) {
	for _, modelName := range sorted(c.set.Models) {
		m := c.set.Models[modelName]
		if float64(m.MaxRequestTokens) <= r.BurstTokens {
			continue
		}
		for _, customer := range sorted(c.set.Customers) {
			mayUse := len(m.Customers) == 0 || slices.Contains(m.Customers, customer)
			if mayUse && c.set.Customers[customer].Rate == name {
				c.add(KindRate, name, "burst_tokens %g is below max_request_tokens %d of model/%s, which customer/%s may use",
					r.BurstTokens, m.MaxRequestTokens, modelName, customer)
			}
		}
	}
}

func (c *checker) checkRoutes() {
	prefixes := map[string]string{}
	for _, name := range sorted(c.set.Routes) {
		r := c.set.Routes[name]
		pool, ok := c.set.Pools[r.Pool]
		if !ok {
			c.add(KindRoute, name, "pool %q does not exist", r.Pool)
		} else if pool.Kind != PoolService {
			c.add(KindRoute, name, "pool %q has no plain services", r.Pool)
		}
		c.checkPath(name, r.PathPrefix)
		if other, ok := prefixes[r.PathPrefix]; ok {
			c.add(KindRoute, name, "route/%s has the same path_prefix", other)
		}
		prefixes[r.PathPrefix] = name
		if !validClass(r.Class) {
			c.add(KindRoute, name, "class %q is not urgent, normal or background", r.Class)
		}
		if r.Timeout < 0 || r.MaxBodyBytes < 0 || r.CostTokens < 0 {
			c.add(KindRoute, name, "timeout, max_body_bytes and cost_tokens must not be negative")
		}
	}
}

func (c *checker) checkPath(name, path string) {
	if !strings.HasPrefix(path, "/") || strings.HasSuffix(path, "/") || strings.Contains(path, "//") {
		c.add(KindRoute, name, "path_prefix %q must begin with a slash and not end with one", path)
	}
	if strings.HasPrefix(path+"/", reservedPathRoot) {
		c.add(KindRoute, name, "path_prefix %q is reserved", path)
	}
}

func validClass(class Class) bool {
	switch class {
	case "", ClassUrgent, ClassNormal, ClassBackground:
		return true
	}
	return false
}

func (c *checker) checkPools() {
	for _, name := range sorted(c.set.Pools) {
		p := c.set.Pools[name]
		if p.Kind != PoolEngines && p.Kind != PoolService {
			c.add(KindPool, name, "kind %q is neither engines nor service", p.Kind)
		}
		if p.LoadsPerSecond < 0 || p.LoadsAtOnce < 0 || p.AdapterLoadsAtOnce < 0 {
			c.add(KindPool, name, "limits must not be negative")
		}
	}
}

func (c *checker) checkTargets() {
	addresses := map[string]string{}
	for _, name := range sorted(c.set.Targets) {
		t := c.set.Targets[name]
		pool, ok := c.set.Pools[t.Pool]
		if !ok {
			c.add(KindTarget, name, "pool %q does not exist", t.Pool)
		}
		if !t.Address.IsValid() {
			c.add(KindTarget, name, "address is missing")
		} else if other, ok := addresses[t.Address.String()]; ok {
			c.add(KindTarget, name, "target/%s has the same address", other)
		}
		addresses[t.Address.String()] = name
		if pool.Kind == PoolEngines && t.MemoryBytes <= 0 {
			c.add(KindTarget, name, "memory_bytes of an engine must be above zero")
		}
		if t.Concurrency < 0 || t.Accelerators < 0 {
			c.add(KindTarget, name, "concurrency and accelerators must not be negative")
		}
	}
}

func sorted[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
