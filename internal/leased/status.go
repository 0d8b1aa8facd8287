package leased

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/explain"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/runner"
	"github.com/damasklb/damasklb/internal/status"
)

const (
	// maxListedAgents bounds the agents in an entry's status. It is twice the largest
	// number for which the lock is measured.
	maxListedAgents = 500
	// maxListedEntries bounds the entries in an agent's status.
	maxListedEntries = 100
	// maxSectionBytes bounds the state of another part in a status.
	maxSectionBytes = 64 << 10
)

// EntrySection returns the state of a part for the status of its entry. It is called with
// the entry's lock, must change nothing, and returns a copy that does not change later.
type EntrySection func(now time.Duration, core *broker.Broker) any

// AddSection adds the state of a part to the entry's status.
func (e *Entry) AddSection(name string, f EntrySection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sections == nil {
		e.sections = map[string]EntrySection{}
	}
	e.sections[name] = f
}

// read calls f with the core under the lock. Unlike withCore it handles no pause of the
// process and carries out no effects, because a question must change nothing.
func (e *Entry) read(f func(now time.Duration, core *broker.Broker)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer queryLockTime.UpdateDuration(time.Now())
	f(e.now(), e.core)
}

// Status returns the state of the service as the entry sees it.
func (e *Entry) Status() status.HostedEntry {
	s := status.HostedEntry{Process: e.options.Process.status(status.RoleEntry, e.now()), Leaving: e.draining.Load()}
	if c := e.catalog.Load(); c != nil {
		s.ConfigVersion = c.Version
	}
	sections := map[string]any{}
	e.read(func(now time.Duration, core *broker.Broker) {
		s.Ready = !s.Leaving && s.ConfigVersion > 0 && (core.HasAgent(now) || core.HasEvacuatedAgent(now))
		s.Jobs = core.UnansweredJobs()
		s.EndingJobs = core.LiveJobs() - s.Jobs
		s.HeldTasks = core.HeldTasks()
		s.Agents, s.AgentsOmitted = core.AgentStates(now, maxListedAgents)
		s.Cautions = core.CautiousQueues(now)
		if e.options.Evacuations.Prefix != "" {
			states, age := core.EvacuationStates(now)
			ms := age.Milliseconds()
			s.Evacuations, s.EvacuationsAgeMS = states, &ms
		}
		for name, f := range e.sections {
			sections[name] = f(now, core)
		}
	})
	slices.SortFunc(s.Agents, func(x, y status.HostedAgent) int {
		return cmp.Or(cmp.Compare(x.Host, y.Host), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	s.Totals = totals(s.Agents)
	s.Sections = encodeSections(sections)
	return s
}

// totals sums the agents of each service in each data centre.
func totals(agents []status.HostedAgent) []status.HostedTotal {
	var out []status.HostedTotal
	for _, a := range agents {
		i := slices.IndexFunc(out, func(t status.HostedTotal) bool { return t.Service == a.Service && t.DataCentre == a.DataCentre })
		if i < 0 {
			i = len(out)
			out = append(out, status.HostedTotal{Service: a.Service, DataCentre: a.DataCentre})
		}
		t := &out[i]
		t.Agents++
		t.Tasks += a.Tasks
		for p, ms := range a.QueuedWorkMS {
			t.QueuedWork[p] += uint64(ms) * uint64(a.CapacityCPU) / 1000
		}
		if a.State == broker.AgentReady {
			t.Ready++
			t.CapacityCPU += a.CapacityCPU
			t.FreeCPU += max(a.FreeCPU, 0)
		}
	}
	slices.SortFunc(out, func(x, y status.HostedTotal) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.DataCentre, y.DataCentre))
	})
	return out
}

// encodeSections encodes the states of parts. One that is too large, or cannot be encoded, is
// replaced by an error, so that it does not hide the others.
func encodeSections(sections map[string]any) status.Sections {
	out := status.Sections{}
	for name, s := range sections {
		raw, err := json.Marshal(s)
		if err == nil && len(raw) > maxSectionBytes {
			err = fault.TooLarge.New("the section has %d bytes, allowed are %d", len(raw), maxSectionBytes)
		}
		if err != nil {
			raw, _ = json.Marshal(map[string]string{"error": fault.Text(err)})
		}
		out[name] = raw
	}
	return out
}

// Explain answers where a job would be placed now and why.
func (e *Entry) Explain(q explain.HostedQuery) (status.Explanation, error) {
	var out status.Explanation
	if q.Job != "" {
		known := false
		e.read(func(now time.Duration, core *broker.Broker) {
			out, known = core.ExplainJob(now, q.Job, q.Task, q.Candidates)
		})
		if !known {
			return out, fault.UnknownJob.New("job: %q neither waits nor runs at entry %s", q.Job, e.options.Process.Host).WithProperty(fault.Field, "job")
		}
		if n := len(out.Tasks) + out.TasksOmitted; q.Task >= n && n > 0 {
			return out, fault.BadField.New("task: %d is not allowed; the job has tasks 0 to %d", q.Task, n-1).WithProperty(fault.Field, "task")
		}
		out.Entry = e.options.Process.Host
		return out, nil
	}
	c := e.catalog.Load()
	if c == nil {
		return out, fault.Unavailable.New("entry %s has no configuration yet", e.options.Process.Host)
	}
	queue := c.Named(q.Queue)
	if queue == nil {
		return out, fault.UnknownQueue.New("queue: %q is not in version %d of the configuration", q.Queue, c.Version).WithProperty(fault.Field, "queue")
	}
	sub := broker.Submission{Queue: queue, Tasks: slices.Repeat([]broker.TaskSpec{{
		CPU: q.CPU, MemMB: q.MemMB, Estimate: q.Estimate, RequiredLabel: q.Label, PreferredRack: q.Rack, MaxPerUpstream: q.MaxPerUpstream,
	}}, q.Tasks)}
	e.read(func(now time.Duration, core *broker.Broker) { out = core.Explain(now, sub, q.Task, q.Candidates) })
	out.Entry = e.options.Process.Host
	return out, nil
}

// Status returns the state of the agent and its upstream.
func (a *Agent) Status() status.HostedAgentStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	l := a.core.Load(now, runner.EntryID{})
	id := a.core.UpstreamID()
	s := status.HostedAgentStatus{
		Process: a.options.Process.status(status.RoleAgent, now-agentClockStart), Upstream: id.ID, UpstreamStartMS: id.StartMS,
		Service: l.Service, Labels: l.Labels, CapacityCPU: l.CapacityCPU, CapacityMem: l.CapacityMem, FreeCPU: l.FreeCPU, FreeMem: l.FreeMem,
		QueuedWorkMS: l.QueuedWork, Slowness: l.Slowness, ColdMS: l.ColdMS, FailurePercent: l.FailurePercent, Stuck: l.Stuck,
		Running: a.core.Running(),
	}
	switch {
	case l.Ready:
		s.State = broker.AgentReady
	case id.ID == "":
		s.State = "no-upstream"
	case l.Draining:
		s.State = "leaving"
	case l.Evacuated:
		s.State = "evacuated"
	default:
		s.State = "not-ready"
	}
	for entry, link := range a.links {
		s.Entries = append(s.Entries, status.HostedLink{
			Host: entry.Host, Incarnation: entry.Incarnation, Address: link.address,
			LastAnswerAgeMS: (now - link.lastAnswer).Milliseconds(), Working: a.core.HasTasksOf(entry),
		})
	}
	slices.SortFunc(s.Entries, func(x, y status.HostedLink) int {
		return cmp.Or(cmp.Compare(x.Host, y.Host), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	s.EntriesOmitted = max(0, len(s.Entries)-maxListedEntries)
	s.Entries = s.Entries[:len(s.Entries)-s.EntriesOmitted]
	return s
}

func (i ProcessInfo) status(role string, uptime time.Duration) status.Process {
	return status.Process{Role: role, Host: i.Host, Incarnation: i.Incarnation, DataCentre: i.DataCentre, UptimeMS: uptime.Milliseconds()}
}
