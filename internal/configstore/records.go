// Package configstore keeps the versions of the configuration in the platform's
// table. Accepting a change is one conditional transaction; processes follow
// the newest version and never step back.
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

// HeadKey is the key of the row that names the newest version.
const HeadKey = "config/head"

// VersionKey is the key of the row with the content of a version.
func VersionKey(version uint64) string {
	return "config/version/" + strconv.FormatUint(version, 10)
}

// AuditKey is the key of the audit record of a version.
func AuditKey(version uint64) string { return "audit/" + strconv.FormatUint(version, 10) }

// ChangeKey is the key of the row that tells which version a change became.
func ChangeKey(id string) string { return "config/change/" + id }

// Head is the value of the head row. Version 0 means that there is none yet.
type Head struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
}

// Action tells how a version came about.
type Action string

// Actions.
const (
	ActionApply    Action = "apply"
	ActionRollback Action = "rollback"
)

// Audit is the record of one accepted change.
type AuditRecord struct {
	Version         uint64    `json:"version"`
	PreviousVersion uint64    `json:"before"`
	ChangeID        string    `json:"change_id"`
	Author          string    `json:"author"`
	Host            string    `json:"from"`
	Time            time.Time `json:"time"`
	Reason          string    `json:"reason"`
	Action          Action    `json:"action"`
	// RollbackTo is the version whose content was taken; 0 for other actions.
	RollbackTo uint64          `json:"rollback_to,omitempty"`
	Changes    []config.Change `json:"changes"`
}

// changeRow is the value of the row under ChangeKey.
type changeRow struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// Proposal is a change that an operator wants.
type Proposal struct {
	// ID identifies the change over retries; see NewChangeID.
	ChangeID string
	// Base is the version that the change was made from. The change is refused
	// if another version is the newest, so that no change is undone unseen.
	BaseVersion uint64
	// Author, From and Reason tell who, from which host and why.
	Author string
	Host   string
	Reason string
	// Content is the encoded configuration.
	Content []byte

	action     Action
	rollbackTo uint64
}

// digest covers all that a retry under the same change id must repeat.
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
	// crypto/rand.Read never fails; it stops the program if it cannot read.
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

func encode(value any) ([]byte, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, fault.BadConfig.Wrap(err, "encode row")
	}
	return raw, nil
}

func decode(key string, raw []byte, value any) error {
	if err := json.Unmarshal(raw, value); err != nil {
		return fault.BadResponse.Wrap(err, "row %q", key)
	}
	return nil
}
