package locality

import (
	"slices"
	"time"
)

// Fleet is the state of the usable upstreams of all services at one moment, summed up by rack, so
// that the racks that callers name, which may be many, are not each compared with all upstreams.
type Fleet struct {
	// services has the sums of each service as if all were off the rack, racks those of each
	// label.
	services map[string]RackReport
	racks    map[Key]RackReport
}

// Add adds an upstream with its labels, its capacity and what is free of it, less what was sent to
// it in excess.
func (f *Fleet) Add(service string, labels []string, capacity, free int) {
	if f.services == nil {
		f.services, f.racks = map[string]RackReport{}, map[Key]RackReport{}
	}
	all := f.services[service]
	all.Add(false, capacity, free)
	f.services[service] = all
	for i, label := range labels {
		if slices.Index(labels, label) == i {
			key := Key{Service: service, Rack: label}
			r := f.racks[key]
			r.Add(true, capacity, free)
			f.racks[key] = r
		}
	}
}

// Report returns the state of a rack and of its service's upstreams off it.
func (f *Fleet) Report(key Key) RackReport {
	r, all := f.racks[key], f.services[key.Service]
	r.OtherCPU, r.OtherUsedCPU = all.OtherCPU-r.CapacityCPU, all.OtherUsedCPU-r.UsedCPU
	return r
}

// ObserveAll handles a report about all known racks.
func (s *Supply) ObserveAll(now time.Duration, f *Fleet) {
	for _, key := range s.keys {
		s.Observe(now, key, f.Report(key))
	}
}
