// Package meshpb also converts rows of the store to their wire form and back.
package meshpb

import "fireflypier.example/fireflypier/internal/serving/rowstore"

// EncodeRows returns the wire form of rows. It leaves out whether they are deleted.
func EncodeRows(rows []rowstore.Row) []*Row {
	out := make([]*Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, &Row{Key: r.Key, Value: r.Value, Version: r.Version})
	}
	return out
}

// DecodeRows returns the rows of a wire form.
func DecodeRows(rows []*Row) []rowstore.Row {
	out := make([]rowstore.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, rowstore.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion()})
	}
	return out
}
