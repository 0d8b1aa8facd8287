package locality

import (
	"math/rand"
	"slices"
	"testing"
)

// Guards against sums that differ from those of each rack by itself, with upstreams of other
// services, several or repeated labels, and work sent in excess.
func TestFleetHasTheSumsOfEachRack(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	names := []string{"r1", "r2", "r3", ""}
	var f Fleet
	want := map[Key]RackReport{}
	for range 200 {
		service, capacity, free := []string{"s", "t"}[rng.Intn(2)], rng.Intn(9000), rng.Intn(12_000)-4000
		var labels []string
		for range rng.Intn(4) {
			labels = append(labels, names[rng.Intn(len(names))])
		}
		f.Add(service, labels, capacity, free)
		for _, rack := range append(names, "made up") {
			key := Key{service, rack}
			r := want[key]
			r.Add(slices.Contains(labels, rack), capacity, free)
			want[key] = r
		}
	}
	for key, r := range want {
		if got := f.Report(key); got != r {
			t.Errorf("%v: %+v, want %+v", key, got, r)
		}
	}
}
