package runner

// A spec is retained until the upstream has answered the start command. Clients can submit specs of
// any length that the configuration allows, in jobs of many tasks, at every entry.

// maxOrdinarySpec is the length up to which a spec may use all of Settings.MaxSpecBytes, longer ones
// half of it, so that they take no room from ordinary tasks.
const maxOrdinarySpec = 8 << 10

// specFits reports whether there is memory for a spec.
func (r *Runner) specFits(length int) bool {
	most := r.settings.MaxSpecBytes
	if length > maxOrdinarySpec {
		most /= 2
	}
	return r.settings.MaxSpecBytes == 0 || r.specBytes+length <= most
}

// dropSpec releases the spec of an attempt whose start command has an answer, or that has ended.
func (r *Runner) dropSpec(a *attempt) {
	if a.retainsSpec {
		r.specBytes -= len(a.assign.Spec)
		a.retainsSpec = false
	}
	a.assign.Spec = ""
}
