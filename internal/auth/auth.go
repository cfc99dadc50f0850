// Package auth authenticates requests by API key: once when a request arrives
// and again right before each dispatch, so that a withdrawn key takes effect on
// waiting requests.
package auth

import (
	"crypto/sha256"
	"strings"

	"fireflypier.example/fireflypier/internal/adoption"
	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/failure"
)

// Authenticator checks API keys against the configuration in force. It is safe
// for concurrent use.
type Authenticator struct {
	adoption *adoption.Adoption
}

// New returns an authenticator that uses the configuration in force of a.
func New(a *adoption.Adoption) *Authenticator { return &Authenticator{adoption: a} }

// Ticket is the result of a successful authentication. It holds the hash of the
// key, never the key itself.
type Ticket struct {
	// Customer is the owner of the key; empty on an open route.
	Customer string
	// Key is the name of the key object; empty on an open route.
	Key string

	authenticator *Authenticator
	hash          [sha256.Size]byte
	open          bool
}

// Authenticate checks the value of an Authorization header. It fails with
// MissingKey, InvalidKey or StaleConfiguration.
func (a *Authenticator) Authenticate(authorization string) (Ticket, error) {
	scheme, key, ok := strings.Cut(authorization, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || strings.TrimSpace(key) == "" {
		return Ticket{}, failure.New(failure.MissingKey, "an API key is required as \"Authorization: Bearer KEY\"")
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

// Anonymous returns the ticket of a request on an open route, which needs no
// key.
func (a *Authenticator) Anonymous() Ticket { return Ticket{authenticator: a, open: true} }

func (a *Authenticator) lookup(hash [sha256.Size]byte) (customer, name string, err error) {
	if err := a.adoption.Fresh(); err != nil {
		return "", "", err
	}
	customer, name, ok := a.adoption.Current().Customer(hash)
	if !ok {
		return "", "", failure.New(failure.InvalidKey, "the API key is unknown or has been withdrawn")
	}
	return customer, name, nil
}

// Check returns an error unless the key is still valid and belongs to the same
// customer. It must be called right before each dispatch. It fails with
// InvalidKey or StaleConfiguration.
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
