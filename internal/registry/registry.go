// Package registry stores the member list in the table: one row for each member
// and one for each of the latest changes, written in one transaction with the
// head row.
package registry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/head"
	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/memberlist"
	"fireflypier.example/fireflypier/internal/table"
)

const (
	// rowPrefix is the prefix of the keys of the member rows.
	rowPrefix = "member/"
	// changeSlots is the number of latest changes that are kept; a later
	// change overwrites the row of the oldest one.
	changeSlots = 512
	// maxReplay is the largest number of changes that are read one by one; for
	// a larger gap the whole list is read.
	maxReplay = 64
	// maxSwapAttempts limits the attempts at a change while the head row is
	// changed concurrently. The wait between attempts is random: below
	// swapBackoff at first, and the limit doubles up to maxBackoffShift times.
	maxSwapAttempts = 12
	swapBackoff     = 20 * time.Millisecond
	maxBackoffShift = 5
)

// Registry reads and changes the stored member list. Its methods are safe for
// concurrent use.
type Registry struct {
	table table.Table
	clock clockwork.Clock
}

// New returns a registry in the given table.
func New(t table.Table, clock clockwork.Clock) *Registry {
	return &Registry{table: t, clock: clock}
}

// Changes returns the changes, in order, that turn have into the version in h. If
// have is empty, or the changes are too many or no longer kept, it returns instead
// the whole list at that version or a later one. Both are nil if have is not older.
func (r *Registry) Changes(ctx context.Context, have *memberlist.List, h head.Head) ([]memberlist.Change, *memberlist.List, error) {
	gap := h.Members.Version - have.Version
	if gap <= 0 {
		return nil, nil, nil
	}
	if gap <= maxReplay && have.Version > 0 {
		changes, err := r.replay(ctx, have.Version, h.Members.Version)
		if err == nil || !failure.Is(err, failure.NotFound) {
			return changes, nil, err
		}
	}
	list, err := r.scan(ctx)
	return nil, list, err
}

// replay reads the changes after version from, up to version to. The error is
// NotFound if one of them is no longer kept.
func (r *Registry) replay(ctx context.Context, from, to int64) ([]memberlist.Change, error) {
	var changes []memberlist.Change
	for version := from + 1; version <= to; version++ {
		row, err := r.table.Get(ctx, slotKey(version))
		if err != nil {
			return nil, err
		}
		var c memberlist.Change
		if row.Version > 0 {
			if err := json.Unmarshal(row.Value, &c); err != nil {
				return nil, failure.Wrap(failure.Internal, err, "decode change of the member list")
			}
		}
		if c.Version != version {
			return nil, failure.New(failure.NotFound, "change %d of the member list is no longer kept", version)
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// scan reads the list from the member rows. Changes made during the scan are
// applied afterwards; applying one whose rows the scan has already read has no
// effect.
func (r *Registry) scan(ctx context.Context) (*memberlist.List, error) {
	before, err := head.Read(ctx, r.table)
	if err != nil {
		return nil, err
	}
	rows, err := r.table.Scan(ctx, rowPrefix)
	if err != nil {
		return nil, err
	}
	after, err := head.Read(ctx, r.table)
	if err != nil {
		return nil, err
	}
	members := make([]member.Member, 0, len(rows))
	for _, row := range rows {
		var m member.Member
		if err := json.Unmarshal(row.Value, &m); err != nil {
			return nil, failure.Wrap(failure.Internal, err, "decode member row %s", row.Key)
		}
		members = append(members, m)
	}
	list := memberlist.New(before.Members.Version, before.Members.Floor, before.Members.Settled, members)
	changes, err := r.replay(ctx, before.Members.Version, after.Members.Version)
	if err != nil {
		return nil, err
	}
	for i := range changes {
		list = list.Apply(&changes[i])
	}
	return list, nil
}

// Change writes the change that build returns for the current list, in one
// transaction with the head row. A nil change writes nothing. If the head row
// has changed in the meantime, the list is read and build is called again.
// The errors are Conflict, StoreUnavailable and OutcomeUnknown.
func (r *Registry) Change(ctx context.Context, have *memberlist.List, build func(*memberlist.List) *memberlist.Change) error {
	var err error
	for attempt := range maxSwapAttempts {
		have, err = r.changeOnce(ctx, have, build)
		if !failure.Is(err, failure.Conflict) {
			return err
		}
		r.clock.Sleep(rand.N(swapBackoff << min(attempt, maxBackoffShift)))
	}
	return err
}

func (r *Registry) changeOnce(ctx context.Context, have *memberlist.List, build func(*memberlist.List) *memberlist.Change) (*memberlist.List, error) {
	h, err := head.Read(ctx, r.table)
	if err != nil {
		return have, err
	}
	changes, whole, err := r.Changes(ctx, have, h)
	if err != nil {
		return have, err
	}
	if whole != nil {
		have = whole
	}
	for i := range changes {
		have = have.Apply(&changes[i])
	}
	if have.Version != h.Members.Version {
		return have, failure.New(failure.Conflict, "the member list changed concurrently")
	}
	c := build(have)
	if c == nil {
		return have, nil
	}
	c.Version = have.Version + 1
	c.Floor = h.Revision
	c.Settled = max(c.Settled, have.Settled)
	tx, err := r.transaction(ctx, h, have, c)
	if err != nil {
		return have, err
	}
	_, err = table.Commit(ctx, r.table, tx)
	return have, err
}

func (r *Registry) transaction(ctx context.Context, h head.Head, have *memberlist.List, c *memberlist.Change) (table.Tx, error) {
	next := h
	next.Members = head.Members{Version: c.Version, Floor: c.Floor, Settled: c.Settled}
	swap, err := h.Swap(next)
	if err != nil {
		return table.Tx{}, err
	}
	change, err := r.write(ctx, slotKey(c.Version), c)
	if err != nil {
		return table.Tx{}, err
	}
	writes := []table.Write{swap, change}
	list := have.Apply(c)
	for _, put := range c.Put {
		m, ok := list.Find(put.Incarnation)
		if !ok {
			continue
		}
		w, err := r.write(ctx, rowKey(&m), m)
		if err != nil {
			return table.Tx{}, err
		}
		writes = append(writes, w)
	}
	for _, incarnation := range c.Drop {
		m, ok := have.Find(incarnation)
		if !ok {
			continue
		}
		row, err := r.table.Get(ctx, rowKey(&m))
		if err != nil {
			return table.Tx{}, err
		}
		if row.Version > 0 {
			writes = append(writes, table.Write{Key: row.Key, Expect: row.Version, Delete: true})
		}
	}
	return table.NewTx(writes...), nil
}

func (r *Registry) write(ctx context.Context, key string, v any) (table.Write, error) {
	row, err := r.table.Get(ctx, key)
	if err != nil {
		return table.Write{}, err
	}
	value, err := json.Marshal(v)
	if err != nil {
		return table.Write{}, failure.Wrap(failure.Internal, err, "encode %s", key)
	}
	return table.Write{Key: key, Expect: row.Version, Value: value}, nil
}

func slotKey(version int64) string {
	return fmt.Sprintf("members/change/%d", version%changeSlots)
}

func rowKey(m *member.Member) string {
	return rowPrefix + string(m.Role) + "/" + m.Name + "/" + m.Incarnation
}
