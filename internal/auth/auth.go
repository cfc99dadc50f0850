// Package auth decides for whom a request runs: it checks the key that
// came with it, at the door and again at the moment of dispatch.
package auth

import (
	"crypto/sha256"
	"strings"

	"fireflypier.example/fireflypier/internal/adoption"
	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/failure"
)

// Authenticator checks keys against the configuration in force.
type Authenticator struct {
	adoption *adoption.Adoption
}

// New returns an authenticator for the configuration in force.
func New(a *adoption.Adoption) *Authenticator { return &Authenticator{adoption: a} }

// Ticket is the proof that a key was valid. It holds the hash of the key,
// never the key.
type Ticket struct {
	// Customer is the customer whose key it was; empty on an open route.
	Customer string
	// Key is the name of the key object.
	Key string

	authenticator *Authenticator
	hash          [sha256.Size]byte
	open          bool
}

// Authenticate checks the value of an Authorization header. The errors are
// MissingKey, InvalidKey and StaleConfiguration.
func (a *Authenticator) Authenticate(authorization string) (Ticket, error) {
	scheme, key, ok := strings.Cut(authorization, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || strings.TrimSpace(key) == "" {
		return Ticket{}, failure.New(failure.MissingKey, "give an API key as \"Authorization: Bearer KEY\"")
	}
	t := Ticket{authenticator: a, hash: sha256.Sum256([]byte(strings.TrimSpace(key)))}
	customer, name, err := a.lookup(t.hash)
	if err != nil {
		return Ticket{}, err
	}
	t.Customer = customer
	t.Key = name
	return t, nil
}

// Anonymous returns the ticket of a request on a route that is open to all.
func (a *Authenticator) Anonymous() Ticket { return Ticket{authenticator: a, open: true} }

func (a *Authenticator) lookup(hash [sha256.Size]byte) (customer, name string, err error) {
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
	customer, _, err := t.authenticator.lookup(t.hash)
	if err != nil {
		return err
	}
	if customer != t.Customer {
		return failure.New(failure.InvalidKey, "the API key now belongs to another customer")
	}
	return nil
}

// Catalog returns the configuration in force.
func (a *Authenticator) Catalog() *catalog.Catalog { return a.adoption.Current() }
