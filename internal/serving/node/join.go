package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
)

const (
	joinRetryInterval = 500 * time.Millisecond // outages of the store last for seconds
	// epochCheckInterval is the time between two checks whether the store was restored.
	epochCheckInterval = 500 * time.Millisecond
	// rejoinSpread is the time over which the VMs register again after that.
	rejoinSpread = time.Second
)

// stayRegistered adds the seeds to the mesh, registers this VM in the store, and adds the
// listed VMs to the mesh. It registers again whenever the store was restored from a copy,
// which may lack the row, until ctx ends.
func (n *Node) stayRegistered(ctx context.Context) {
	for _, seed := range n.Settings.Seeds {
		n.mesh.Add(&meshpb.Member{Peer: seed.String()})
	}
	var epoch int64
	n.retry(ctx, func() (err error) {
		if epoch, err = n.register(ctx); err != nil {
			return err
		}
		return n.addMembers(ctx)
	})
	ticker := n.clock.NewTicker(epochCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
		if version, _ := n.targets.Version(); rowstore.Epoch(version) <= epoch {
			continue
		}
		select {
		case <-n.clock.After(rand.N(rejoinSpread)):
		case <-ctx.Done():
			return
		}
		n.retry(ctx, func() (err error) {
			epoch, err = n.register(ctx)
			return err
		})
		n.Logger.Info("registered again after the store was restored", "epoch", epoch)
	}
}

// retry calls f until it succeeds or ctx ends.
func (n *Node) retry(ctx context.Context, f func() error) {
	for ctx.Err() == nil {
		err := f()
		if err == nil {
			return
		}
		n.Logger.Warn("registration in the members table failed, retrying", "error", err)
		select {
		case <-n.clock.After(joinRetryInterval):
		case <-ctx.Done():
		}
	}
}

// register writes this VM's row to the members table, and returns the store's epoch.
func (n *Node) register(ctx context.Context) (epoch int64, err error) {
	s := n.Settings
	value, err := encodeMember(&memberRow{
		Incarnation: n.incarnation,
		Name:        s.Name,
		DataCentre:  s.DataCentre,
		Front:       s.Front,
	})
	if err != nil {
		return 0, err
	}
	result, err := n.store.Write(ctx, rowstore.Write{Table: rowstore.Members, Key: s.Peer.String(), Expect: rowstore.AnyVersion, Value: value})
	if err != nil {
		return 0, errors.Wrap(err, "write member row")
	}
	return rowstore.Epoch(result.Version), nil
}

// addMembers adds the VMs that the members table lists to the mesh.
func (n *Node) addMembers(ctx context.Context) error {
	page, err := n.store.List(ctx, rowstore.Members)
	if err != nil {
		return errors.Wrap(err, "list members")
	}
	for _, row := range page.Rows {
		m, err := decodeMember(row.Key, row.Value)
		if err != nil {
			n.Logger.Warn("member row ignored", "key", row.Key, "version", row.Version, "error", err)
			continue
		}
		n.mesh.Add(m)
	}
	n.joined.Store(true)
	n.Logger.Info("registered in the members table", "members", len(page.Rows), "version", page.Version)
	return nil
}
