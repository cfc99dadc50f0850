package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/recording"
	"fireflypier.example/fireflypier/internal/table"
)

// RowPrefix begins the key of every claim row.
const RowPrefix = "claim/"

// bucketDigits is the number of hexadecimal digits by which the rows are
// swept.
const bucketDigits = 3

// state is how far a claimed request has come.
type state string

// The states of a claim. A claimed request may have been dispatched.
const (
	stateClaimed  state = "claimed"
	stateAnswered state = "answered"
	stateUnknown  state = "unknown"
)

// content is the value of a claim row.
type content struct {
	// Customer owns the request id; Digest is that of the request.
	Customer string `json:"customer"`
	Digest   string `json:"digest"`
	// Holder is the member that alone may dispatch the request.
	Holder Holder `json:"holder"`
	// ClaimID is unique to the claim.
	ClaimID string `json:"claim_id"`
	// ClaimedAt is the holder's time; it ends with Hold the wait for it.
	ClaimedAt time.Time     `json:"claimed_at"`
	Hold      time.Duration `json:"hold"`
	// State tells how far the request has come.
	State state `json:"state"`
	// Answer is set in the state answered.
	Answer *recording.Answer `json:"answer,omitzero"`
}

func (c *content) encode() ([]byte, error) {
	data, err := document.Marshal(c)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "encode claim")
	}
	return data, nil
}

func decode(row table.Row) (*content, error) {
	var c content
	if err := document.Unmarshal(row.Value, &c); err != nil {
		return nil, failure.Wrap(failure.OutcomeUnknown, err, "decode claim row %s", row.Key)
	}
	return &c, nil
}

// rowKey returns the key of a claim. It begins with the hash of customer and
// id, so that any part of the rows can be scanned by its first digits.
func rowKey(customer, id string) string {
	sum := sha256.Sum256([]byte(customer + "\x00" + id))
	return RowPrefix + hex.EncodeToString(sum[:])
}
