// Package objectstore defines the interface of the platform's object store, which
// stores immutable objects such as snapshots of the configuration.
package objectstore

import "context"

// Store is the platform's object store. Its errors are failures of the kinds
// NotFound and StoreUnavailable. All methods are safe for concurrent use.
type Store interface {
	// Put stores data under key. It may be repeated with the same data.
	Put(ctx context.Context, key string, data []byte) error
	// Get returns the data stored under key.
	Get(ctx context.Context, key string) ([]byte, error)
}
