package owner

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/damasklb/damasklb/internal/wire"
)

// Maps are iterated in the order of their keys wherever the order affects the
// effects, so that equal inputs give equal effects and a run can be replayed.

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func sortedJobs[V any](m map[wire.JobID]V) []wire.JobID {
	return slices.SortedFunc(maps.Keys(m), func(a, b wire.JobID) int { return bytes.Compare(a[:], b[:]) })
}

func sortedTasks[V any](m map[wire.TaskID]V) []wire.TaskID {
	return slices.SortedFunc(maps.Keys(m), wire.TaskID.Compare)
}
