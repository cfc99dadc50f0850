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

// RowPrefix is the prefix of the key of every claim row.
const RowPrefix = "claim/"

// bucketDigits is the number of leading hexadecimal digits of the key hash that
// select a sweep bucket.
const bucketDigits = 3

// state is the state of a claimed request.
type state string

// The states of a claim. In stateClaimed, the request may have been dispatched.
const (
	stateClaimed  state = "claimed"
	stateAnswered state = "answered"
	stateUnknown  state = "unknown"
)

// content is the value of a claim row.
type content struct {
	// Customer is the owner of the request id; Digest is Request.Digest.
	Customer string `json:"customer"`
	Digest   string `json:"digest"`
	// Holder is the only member that may dispatch the request.
	Holder Holder `json:"holder"`
	// ClaimID is unique to the claim.
	ClaimID string `json:"claim_id"`
	// ClaimedAt is the time of the claim by the clock of the holder. Repeats wait
	// for an outcome until Hold after it.
	ClaimedAt time.Time     `json:"claimed_at"`
	Hold      time.Duration `json:"hold"`
	// State is the state of the request.
	State state `json:"state"`
	// Answer is set in stateAnswered.
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

// rowKey returns the row key of a claim. It consists of RowPrefix and the hash of
// customer and id, so that a bucket of rows can be scanned by its first digits.
func rowKey(customer, id string) string {
	sum := sha256.Sum256([]byte(customer + "\x00" + id))
	return RowPrefix + hex.EncodeToString(sum[:])
}
