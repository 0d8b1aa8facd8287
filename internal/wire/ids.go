package wire

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/damasklb/damasklb/internal/fault"
)

// PartitionCount is the number of partitions of the key space. It must not change
// in an installation, because every entry computes the partition of a key on its
// own.
const PartitionCount = 64

// Partition is a share of the key space that one entry owns at a time.
type Partition uint8

// JobID identifies a job. It is derived from the caller and the idempotency
// key, so that each entry computes the same id for a resubmission.
type JobID [16]byte

// NewJobID returns the id of the job that caller submitted under key.
func NewJobID(caller, key string) JobID {
	h := sha256.New()
	h.Write([]byte(caller))
	h.Write([]byte{0})
	h.Write([]byte(key))
	var id JobID
	copy(id[:], h.Sum(nil))
	return id
}

// ParseJobID reads the hexadecimal form of a job id.
func ParseJobID(s string) (JobID, error) {
	var id JobID
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(id) {
		return id, fault.BadRequest.New("job id %q is not %d hexadecimal digits", s, 2*len(id))
	}
	copy(id[:], b)
	return id, nil
}

// Partition returns the partition that the job belongs to.
func (id JobID) Partition() Partition { return Partition(id[0] % PartitionCount) }

func (id JobID) String() string { return hex.EncodeToString(id[:]) }

// TaskID identifies one task of a job.
type TaskID struct {
	Job   JobID  `cbor:"1,keyasint"`
	Index uint16 `cbor:"2,keyasint"`
}

// Compare orders tasks by job and index.
func (id TaskID) Compare(other TaskID) int {
	if c := bytes.Compare(id.Job[:], other.Job[:]); c != 0 {
		return c
	}
	return cmp.Compare(id.Index, other.Index)
}

func (id TaskID) String() string { return fmt.Sprintf("%s/%d", id.Job, id.Index) }

// Digest is the SHA-256 sum of a job's normalised body. Two submissions under
// one key are the same job only if their digests are equal.
type Digest [32]byte
