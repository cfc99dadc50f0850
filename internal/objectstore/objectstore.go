// Package objectstore is the interface to the platform's object store, which
// holds immutable objects such as snapshots of the configuration.
package objectstore

import "context"

// Store is the platform's object store. Its errors are failures: NotFound
// and StoreUnavailable. All methods may be called at the same time.
type Store interface {
	// Put stores data under key. Putting the same data again is safe.
	Put(ctx context.Context, key string, data []byte) error
	// Get returns the data of key.
	Get(ctx context.Context, key string) ([]byte, error)
}
