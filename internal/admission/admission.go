// Package admission decides for whom a request runs: it checks the key that
// came with it, at the door and again at the moment of dispatch.
package admission

import (
	"crypto/sha256"
	"strings"

	"fireflypier.example/fireflypier/internal/adoption"
	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/failure"
)

// Admission checks keys against the configuration in force.
type Admission struct {
	adoption *adoption.Adoption
}

// New returns an admission over the configuration in force.
func New(a *adoption.Adoption) *Admission { return &Admission{adoption: a} }

// Ticket is the proof that a key was valid. It holds the hash of the key,
// never the key.
type Ticket struct {
	// Customer is the customer whose key it was; empty on an open route.
	Customer string
	// Key is the name of the key object.
	Key string

	admission *Admission
	hash      [sha256.Size]byte
	open      bool
}

// Admit checks the value of an Authorization header. The errors are
// MissingKey, InvalidKey and StaleConfiguration.
func (a *Admission) Admit(authorization string) (Ticket, error) {
	scheme, key, ok := strings.Cut(authorization, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || strings.TrimSpace(key) == "" {
		return Ticket{}, failure.New(failure.MissingKey, "give an API key as \"Authorization: Bearer KEY\"")
	}
	t := Ticket{admission: a, hash: sha256.Sum256([]byte(strings.TrimSpace(key)))}
	customer, name, err := a.lookup(t.hash)
	if err != nil {
		return Ticket{}, err
	}
	t.Customer = customer
	t.Key = name
	return t, nil
}

// Open returns the ticket of a request on a route that is open to all.
func (a *Admission) Open() Ticket { return Ticket{admission: a, open: true} }

func (a *Admission) lookup(hash [sha256.Size]byte) (customer, name string, err error) {
	if err := a.adoption.Fresh(); err != nil {
		return "", "", err
	}
	customer, name, ok := a.adoption.Current().Customer(hash)
	if !ok {
		return "", "", failure.New(failure.InvalidKey, "the API key is unknown or was withdrawn")
	}
	return customer, name, nil
}

// Check tells whether the request may still run: the key must still be valid
// and belong to the same customer. Call it right before each dispatch.
func (t *Ticket) Check() error {
	if t.open {
		return nil
	}
	customer, _, err := t.admission.lookup(t.hash)
	if err != nil {
		return err
	}
	if customer != t.Customer {
		return failure.New(failure.InvalidKey, "the API key now belongs to another customer")
	}
	return nil
}

// Catalog returns the configuration in force.
func (a *Admission) Catalog() *catalog.Catalog { return a.adoption.Current() }
