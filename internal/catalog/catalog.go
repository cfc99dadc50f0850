// Package catalog provides a read-only index of one revision of the objects, for the
// lookups that a gateway makes for each request.
package catalog

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"strings"

	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/revision"
)

// Catalog is an index of a snapshot. It is immutable and safe for concurrent use.
type Catalog struct {
	snapshot *revision.Snapshot
	digest   string
	keys     map[[sha256.Size]byte]keyEntry
	routes   []Route
	byName   map[string]Weights
}

type keyEntry struct {
	name     string
	customer string
	hash     [sha256.Size]byte
}

// Route is a route with its name.
type Route struct {
	// Name is the name of the object.
	Name string
	object.Route
}

// Weights is the model, and the adapter if any, that a model name in a request
// refers to.
type Weights struct {
	// Model and Version identify the model.
	Model   string
	Version string
	// Adapter is the name of the adapter, or empty.
	Adapter string
	// Pool is the name of the model's pool.
	Pool string
	// MaxRequestTokens limits the tokens of one request; zero means no limit.
	MaxRequestTokens int
	// Customers lists the customers that may use the weights; empty means all.
	Customers []string
}

// New returns the index of s.
func New(s *revision.Snapshot) *Catalog {
	c := &Catalog{
		snapshot: s,
		digest:   s.Digest(),
		keys:     make(map[[sha256.Size]byte]keyEntry, len(s.Objects.Keys)),
		byName:   make(map[string]Weights, len(s.Objects.Models)+len(s.Objects.Adapters)),
	}
	c.indexKeys()
	c.indexModels()
	c.indexRoutes()
	return c
}

func (c *Catalog) indexKeys() {
	for name, key := range c.snapshot.Objects.Keys {
		raw, err := hex.DecodeString(key.SHA256)
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		hash := [sha256.Size]byte(raw)
		c.keys[hash] = keyEntry{name: name, customer: key.Customer, hash: hash}
	}
}

func (c *Catalog) indexModels() {
	for name, m := range c.snapshot.Objects.Models {
		c.byName[name] = Weights{Model: name, Version: m.Version, Pool: m.Pool, MaxRequestTokens: m.MaxRequestTokens, Customers: m.Customers}
	}
	for name, a := range c.snapshot.Objects.Adapters {
		m := c.snapshot.Objects.Models[a.Model]
		customers := a.Customers
		if len(customers) == 0 {
			customers = m.Customers
		}
		c.byName[name] = Weights{Model: a.Model, Version: m.Version, Adapter: name, Pool: m.Pool, MaxRequestTokens: m.MaxRequestTokens, Customers: customers}
	}
}

func (c *Catalog) indexRoutes() {
	for name, r := range c.snapshot.Objects.Routes {
		c.routes = append(c.routes, Route{Name: name, Route: r})
	}
	slices.SortFunc(c.routes, func(a, b Route) int {
		if d := len(b.PathPrefix) - len(a.PathPrefix); d != 0 {
			return d
		}
		return strings.Compare(a.PathPrefix, b.PathPrefix)
	})
}

// Snapshot returns the indexed snapshot, which must not be modified.
func (c *Catalog) Snapshot() *revision.Snapshot { return c.snapshot }

// Revision returns the revision of the snapshot.
func (c *Catalog) Revision() int64 { return c.snapshot.Revision }

// Digest returns the digest of the snapshot.
func (c *Catalog) Digest() string { return c.digest }

// Customer returns the customer and the name of the API key with the given hash; ok
// is false if there is no such key.
func (c *Catalog) Customer(hash [sha256.Size]byte) (customer, key string, ok bool) {
	entry, found := c.keys[hash]
	if !found || subtle.ConstantTimeCompare(entry.hash[:], hash[:]) != 1 {
		return "", "", false
	}
	return entry.customer, entry.name, true
}

// Weights returns the weights that a model or adapter name refers to.
func (c *Catalog) Weights(name string) (w Weights, ok bool) {
	w, ok = c.byName[name]
	return w, ok
}

// Allows reports whether a customer may use w.
func (w *Weights) Allows(customer string) bool {
	return len(w.Customers) == 0 || slices.Contains(w.Customers, customer)
}

// Names returns the sorted names of the models and adapters that a customer may use.
func (c *Catalog) Names(customer string) []string {
	var names []string
	for name, w := range c.byName {
		if w.Allows(customer) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Route returns the route with the longest matching prefix of path.
func (c *Catalog) Route(path string) (r Route, ok bool) {
	for _, r := range c.routes {
		rest, found := strings.CutPrefix(path, r.PathPrefix)
		if found && (rest == "" || rest[0] == '/') {
			return r, true
		}
	}
	return Route{}, false
}

// Rate returns the rate limit of a customer.
func (c *Catalog) Rate(customer string) (r object.Rate, ok bool) {
	owner, ok := c.snapshot.Objects.Customers[customer]
	if !ok {
		return object.Rate{}, false
	}
	r, ok = c.snapshot.Objects.Rates[owner.Rate]
	return r, ok
}

// Target returns the target with the given name.
func (c *Catalog) Target(name string) (t object.Target, ok bool) {
	t, ok = c.snapshot.Objects.Targets[name]
	return t, ok
}
