package node

import (
	"net/netip"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
)

// memberRow is the content of a VM's row in the members table. The key of the row
// is the address on which the VM listens for peers.
type memberRow struct {
	Incarnation int64          `json:"incarnation"`
	Name        string         `json:"name"`
	DataCentre  string         `json:"data_centre"`
	Front       netip.AddrPort `json:"front"`
}

func encodeMember(r *memberRow) ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode member row")
}

func decodeMember(key string, value []byte) (*meshpb.Member, error) {
	var r memberRow
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Wrap(err, "decode member row")
	}
	if _, err := netip.ParseAddrPort(key); err != nil {
		return nil, errors.Wrap(err, "decode member address")
	}
	return &meshpb.Member{
		Peer:        key,
		Incarnation: r.Incarnation,
		Name:        r.Name,
		DataCentre:  r.DataCentre,
		Front:       r.Front.String(),
	}, nil
}
