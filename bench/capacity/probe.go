package main

import (
	"strconv"

	"github.com/damasklb/damasklb/internal/wire"
)

// callerName is the caller of all jobs that the measuring program submits.
const callerName = "capacity"

// probeKeys makes idempotency keys, each one once.
type probeKeys struct{ serial int }

func newProbeKeys() *probeKeys { return &probeKeys{} }

// next returns a new key for each partition, indexed by partition.
func (k *probeKeys) next() [wire.PartitionCount]string {
	var keys [wire.PartitionCount]string
	for found := 0; found < wire.PartitionCount; {
		k.serial++
		key := "probe-" + strconv.Itoa(k.serial)
		p := wire.NewJobID(callerName, key).Partition()
		if keys[p] == "" {
			keys[p] = key
			found++
		}
	}
	return keys
}

func probeBody() []byte {
	return []byte(`{"class":"` + className + `","deadline_ms":` +
		strconv.FormatInt(probeDeadline.Milliseconds(), 10) + `,"tasks":[{"payload":1}]}`)
}
