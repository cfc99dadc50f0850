// Package storerelay calls the platform's store, and relays the calls through a
// peer while direct calls from this VM fail.
package storerelay

import (
	"context"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
)

// relayTimeout is the time-out of a call through one peer. The store itself
// answers within a few milliseconds.
const relayTimeout = 500 * time.Millisecond

// maxRelayPeers is the maximum number of peers through which one call is tried.
const maxRelayPeers = 2

// Config holds the dependencies of a Store. All are required.
type Config struct {
	// Direct calls the store from this VM.
	Direct rowstore.Store
	// Failing reports whether direct calls currently fail.
	Failing func() bool
	// Peers returns the live peers through which calls may be relayed, in the
	// order in which they are tried. Relay calls the store through one of them.
	Peers  func() []netip.AddrPort
	Relay  func(ctx context.Context, peer netip.AddrPort, c *meshpb.StoreCall) (*meshpb.StoreAnswer, error)
	Logger hclog.Logger
}

// Store is a rowstore.Store that relays calls through peers when direct calls
// fail. Its methods are safe for concurrent use.
type Store struct{ Config }

// New returns a store with the given dependencies.
func New(p Config) *Store { return &Store{p} }

// Follow implements rowstore.Store. It is never relayed, since the digests of
// peers announce changes anyway.
func (s *Store) Follow(ctx context.Context, t rowstore.Table, after int64, wait time.Duration) (rowstore.Page, error) {
	return s.Direct.Follow(ctx, t, after, wait)
}

// List implements rowstore.Store. It is relayed if the direct call fails, and
// instead of the direct call while Failing; if relaying fails then too, the
// direct call is made.
func (s *Store) List(ctx context.Context, t rowstore.Table) (rowstore.Page, error) {
	err := rowstore.ErrRefused
	if !s.Failing() {
		var page rowstore.Page
		if page, err = s.Direct.List(ctx, t); err == nil {
			return page, nil
		}
	}
	a, ok := s.relay(ctx, &meshpb.StoreCall{Table: int32(t)})
	if !ok || a.GetFailure() != meshpb.StoreFailure_STORE_FAILURE_UNSPECIFIED {
		if s.Failing() {
			return s.Direct.List(ctx, t)
		}
		return rowstore.Page{}, err
	}
	return rowstore.Page{Version: a.GetVersion(), Time: time.Duration(a.GetTimeNs()), Rows: meshpb.DecodeRows(a.GetRows())}, nil
}

// Write implements rowstore.Store. A write that may have been carried out is not
// repeated. It is relayed if the direct call is refused or while Failing, and
// made directly if no peer could make it.
func (s *Store) Write(ctx context.Context, writes ...rowstore.Write) (rowstore.Result, error) {
	if !s.Failing() {
		result, err := s.Direct.Write(ctx, writes...)
		if !errors.Is(err, rowstore.ErrRefused) {
			return result, err
		}
	}
	call := &meshpb.StoreCall{}
	for _, w := range writes {
		call.Writes = append(call.Writes, &meshpb.StoreWrite{
			Table: int32(w.Table), Key: w.Key, Expect: w.Expect, Value: w.Value, Delete: w.Delete,
		})
	}
	a, ok := s.relay(ctx, call)
	if !ok {
		return s.Direct.Write(ctx, writes...)
	}
	switch a.GetFailure() {
	case meshpb.StoreFailure_STORE_FAILURE_REFUSED:
		return rowstore.Result{}, rowstore.ErrRefused
	case meshpb.StoreFailure_STORE_FAILURE_UNANSWERED:
		return rowstore.Result{}, rowstore.ErrUnanswered
	case meshpb.StoreFailure_STORE_FAILURE_UNSPECIFIED:
	}
	return rowstore.Result{
		Applied: a.GetApplied(),
		Version: a.GetVersion(),
		Current: meshpb.DecodeRows(a.GetRows()),
		Time:    time.Duration(a.GetTimeNs()),
	}, nil
}

// relay makes a call through peers; ok is false if no peer could make it. A peer
// that does not answer a write may have carried it out, so that counts as an
// answer with the failure "unanswered".
func (s *Store) relay(ctx context.Context, c *meshpb.StoreCall) (a *meshpb.StoreAnswer, ok bool) {
	peers := s.Peers()
	for _, addr := range peers[:min(maxRelayPeers, len(peers))] {
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		a, err := s.Relay(callCtx, addr, c)
		cancel()
		if err != nil {
			s.Logger.Info("store call not relayed", "peer", addr, "writes", len(c.GetWrites()), "error", err)
			if len(c.GetWrites()) > 0 {
				return &meshpb.StoreAnswer{Failure: meshpb.StoreFailure_STORE_FAILURE_UNANSWERED}, true
			}
			continue
		}
		if a.GetFailure() != meshpb.StoreFailure_STORE_FAILURE_REFUSED {
			return a, true
		}
	}
	return nil, false
}

// Serve makes a peer's call to the store through direct. A failure of the store
// is part of the answer; the error is always nil.
func Serve(ctx context.Context, direct rowstore.Store, c *meshpb.StoreCall) (*meshpb.StoreAnswer, error) {
	if len(c.GetWrites()) == 0 {
		return serveList(ctx, direct, rowstore.Table(c.GetTable()))
	}
	writes := make([]rowstore.Write, 0, len(c.GetWrites()))
	for _, w := range c.GetWrites() {
		writes = append(writes, rowstore.Write{
			Table: rowstore.Table(w.GetTable()), Key: w.GetKey(), Expect: w.GetExpect(), Value: w.GetValue(), Delete: w.GetDelete(),
		})
	}
	result, err := direct.Write(ctx, writes...)
	if err != nil {
		return failureAnswer(err), nil
	}
	return &meshpb.StoreAnswer{
		Applied: result.Applied,
		Version: result.Version,
		TimeNs:  result.Time.Nanoseconds(),
		Rows:    meshpb.EncodeRows(result.Current),
	}, nil
}

func serveList(ctx context.Context, direct rowstore.Store, t rowstore.Table) (*meshpb.StoreAnswer, error) {
	page, err := direct.List(ctx, t)
	if err != nil {
		return failureAnswer(err), nil
	}
	return &meshpb.StoreAnswer{Version: page.Version, TimeNs: page.Time.Nanoseconds(), Rows: meshpb.EncodeRows(page.Rows)}, nil
}

func failureAnswer(err error) *meshpb.StoreAnswer {
	if errors.Is(err, rowstore.ErrRefused) {
		return &meshpb.StoreAnswer{Failure: meshpb.StoreFailure_STORE_FAILURE_REFUSED}
	}
	return &meshpb.StoreAnswer{Failure: meshpb.StoreFailure_STORE_FAILURE_UNANSWERED}
}
