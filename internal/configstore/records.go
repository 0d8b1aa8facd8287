// Package configstore stores the versions of the configuration in the platform's
// table. A change is accepted by one conditional transaction. Processes follow the
// newest version and never return to an earlier one.
package configstore

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"time"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/fault"
)

// HeadKey is the key of the head row, which holds the number of the newest version.
const HeadKey = "config/head"

// VersionKey is the key of the row with the content of a version.
func VersionKey(version uint64) string {
	return "config/version/" + strconv.FormatUint(version, 10)
}

// AuditKey is the key of the audit record of a version.
func AuditKey(version uint64) string { return "audit/" + strconv.FormatUint(version, 10) }

// ChangeKey is the key of the row that holds the number of the version that a
// change became.
func ChangeKey(id string) string { return "config/change/" + id }

// Head is the value of the head row. Version 0 means that there is no version yet.
type Head struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
}

// Action is the operation that made a version.
type Action string

// Actions.
const (
	ActionApply    Action = "apply"
	ActionRollback Action = "rollback"
	// ActionUnreadable stands in a history for a record that cannot be read. Its reason
	// is the error.
	ActionUnreadable Action = "unreadable"
)

// AuditRecord describes one accepted change.
type AuditRecord struct {
	Version         uint64    `json:"version"`
	PreviousVersion uint64    `json:"before"`
	ChangeID        string    `json:"change_id"`
	Author          string    `json:"author"`
	Host            string    `json:"from"`
	Time            time.Time `json:"time"`
	Reason          string    `json:"reason"`
	Action          Action    `json:"action"`
	// RollbackTo is the version whose content was restored; 0 for other actions.
	RollbackTo uint64          `json:"rollback_to,omitempty"`
	Changes    []config.Change `json:"changes"`
}

// changeRow is the value of the row under ChangeKey.
type changeRow struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// Proposal is a change that an operator proposes.
type Proposal struct {
	// ChangeID identifies the change across retries; see NewChangeID.
	ChangeID string
	// BaseVersion is the version that the change was made from. The change is
	// refused if another version is the newest, so that it does not undo a change
	// that its author has not seen.
	BaseVersion uint64
	// Author, Host and Reason state who makes the change, on which host and why.
	Author string
	Host   string
	Reason string
	// Content is the encoded configuration.
	Content []byte

	action     Action
	rollbackTo uint64
}

// digest returns the hash of all that a retry with the same change id must repeat.
func (p Proposal) digest() string {
	h := sha256.New()
	h.Write([]byte(p.action))
	h.Write([]byte{0})
	h.Write(p.Content)
	return hex.EncodeToString(h.Sum(nil))
}

const changeIDBytes = 12

// NewChangeID returns a random change id.
func NewChangeID() string {
	raw := make([]byte, changeIDBytes)
	// crypto/rand.Read returns no error; it ends the program if it cannot read.
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

func encodeRow(value any) ([]byte, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, fault.BadConfig.Wrap(err, "encode row")
	}
	return raw, nil
}

// decodeHead reads the head row. The first version writes it, so a row without a version
// is not that of a store without versions.
func decodeHead(raw []byte) (Head, error) {
	var head Head
	if err := decodeRow(HeadKey, raw, &head); err != nil {
		return Head{}, err
	}
	if head.Version == 0 {
		return Head{}, fault.BadResponse.New("row %q names no version", HeadKey)
	}
	return head, nil
}

func decodeRow(key string, raw []byte, value any) error {
	if err := json.Unmarshal(raw, value); err != nil {
		return fault.BadResponse.Wrap(err, "row %q", key)
	}
	return nil
}
