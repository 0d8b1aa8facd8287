package cli

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/damasklb/damasklb/internal/explain"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/status"
)

// hostedEntry serves the pages of an entry on the hosting platform.
func hostedEntry(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == status.PlatformStatusPath {
		age := int64(40)
		explain.WriteJSON(w, http.StatusOK, status.HostedEntry{
			Process: status.Process{Role: status.RoleEntry, Host: "front-1", DataCentre: "bdg-a", UptimeMS: 61_000}, ConfigVersion: 7, Ready: true, Jobs: 12, HeldTasks: 2,
			Totals: []status.HostedTotal{{Service: "render", DataCentre: "bdg-a", Agents: 2, Ready: 1, CapacityCPU: 64_000, FreeCPU: 12_400, QueuedWork: [4]uint64{0, 320, 6400}, Tasks: 9}},
			Agents: []status.HostedAgent{
				{Host: "kiln-01", DataCentre: "bdg-a", Service: "render", State: "ready", CapacityCPU: 64_000, CapacityMem: 4096, FreeCPU: 12_400, FreeMem: 512, QueuedWorkMS: status.QueuedWork{0, 5, 100}, Slowness: 130, Tasks: 9, ReportAgeMS: 12, Quarantined: true},
				{Host: "kiln-02", DataCentre: "bdg-b", Service: "render", State: "evacuated", CapacityCPU: 64_000, CapacityMem: 4096, FreeCPU: 64_000, FreeMem: 4096, Slowness: 100, FailurePercent: 20},
			},
			Evacuations: []status.HostedEvacuation{{DataCentre: "bdg-b", Version: 31, SinceMS: 2500, Agents: 1, Unaware: 1, UnawareHosts: []string{"kiln-02"}, Running: 3}}, EvacuationsAgeMS: &age,
			Cautions: map[string]string{"batch": "quarantined"}, Sections: status.Sections{"scarcity": json.RawMessage(`{"scarce":false}`)},
		})
		return
	}
	q, err := explain.ParseHosted(r.URL.Query())
	if err != nil {
		explain.WriteError(w, err)
		return
	}
	e := status.Explanation{Entry: "front-1", Queue: q.Queue, Service: "render", Priority: 1, RandomMS: 1, SlackMS: 172, WaitLimitMS: 51.6, Detailed: max(q.Task, 0)}
	switch {
	case q.Queue == "nowhere":
		explain.WriteError(w, fault.UnknownQueue.New("queue: %q is not in version 7 of the configuration", q.Queue).WithProperty(fault.Field, "queue"))
		return
	case q.Job != "":
		e.Queue, e.Job, e.State, e.Decision, e.Reason, e.Caution = "batch", q.Job, "queued", "hold", "no-agent-can-take-it", "quarantined"
		e.Tasks = []status.TaskOutlook{{Index: 0, State: "held", ForMS: 31, ExpectedMS: 200, Decision: "hold", Reason: "no-agent-can-take-it"}, {Index: 1, State: "running", Agent: "kiln-01", ForMS: 90, ExpectedMS: 200}}
		e.Excluded = []status.Exclusion{{Reason: "label-missing", Agents: 8, Hosts: []string{"kiln-01", "kiln-02"}}}
	case q.Tasks > 2:
		e.Decision, e.Reason, e.RetryAfterMS, e.WaitMS, e.OutdatedReports = "verify", "overload", 850, 350, 3
		e.Tasks, e.TasksOmitted = []status.TaskOutlook{{State: "new", ExpectedMS: 200, Choice: "kiln-01", WaitMS: 350, ScoreMS: 560}}, q.Tasks-1
	default:
		e.Decision, e.AtOnce = "place", 1
		e.Tasks = []status.TaskOutlook{{State: "new", ExpectedMS: 200, Choice: "kiln-01", ScoreMS: 260.8}}
		e.Candidates = []status.Candidate{
			{Host: "kiln-01", DataCentre: "bdg-a", Class: "at-once", RunMS: 260, ScoreMS: 260.8, FreeCPU: 12_400, FreeMem: 512, ReportAgeMS: 12, Wins: true, Penalties: []status.Penalty{{Name: "use", MS: 0.8}}},
			{Host: "kiln-03", DataCentre: "bdg-b", Class: "after-wait", WaitMS: 58, RunMS: 200, DistanceMS: 3, ScoreMS: 261, ReportAgeMS: 80, MayWin: true},
		}
		e.CandidatesOmitted = 4
	}
	explain.WriteJSON(w, http.StatusOK, e)
}

// hostedAgent serves the page of an agent on the hosting platform. It has no explanations.
func hostedAgent(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != status.PlatformStatusPath {
		_, _ = io.WriteString(w, "damasklb_hosted_decisions_total 1\n")
		return
	}
	explain.WriteJSON(w, http.StatusOK, status.HostedAgentStatus{
		Process: status.Process{Role: status.RoleAgent, Host: "kiln-01", DataCentre: "bdg-a", UptimeMS: 3000}, State: "ready", Upstream: "u1", Service: "render",
		CapacityCPU: 64_000, CapacityMem: 4096, FreeCPU: 12_400, FreeMem: 512, QueuedWorkMS: status.QueuedWork{0, 5}, Slowness: 130, Running: 9, ColdMS: 800,
		Entries: []status.HostedLink{{Host: "front-1", Address: "10.0.0.1:7000", LastAnswerAgeMS: 40, Working: true}},
	})
}

// answerExplain answers a question on the product's own path.
func answerExplain(w http.ResponseWriter, r *http.Request) {
	q, err := explain.Parse(r.URL.Query(), 140, time.Minute)
	switch {
	case err != nil:
		explain.WriteError(w, err)
		return
	case q.Class == "nothing":
		explain.WriteError(w, fault.UnknownQueue.New("class: %q is not in version 1 of the configuration", q.Class).WithProperty(fault.Field, "class"))
		return
	case q.Job == "01":
		explain.WriteError(w, fault.NotOwner.New("job: entry entry-2 owns the key of 01; ask it").WithProperty(fault.Field, "job"))
		return
	}
	e := status.DispatchExplanation{Entry: "entry-1", Class: "price", Caller: q.Caller, Decision: "accept", WaitMS: 20, WaitLimitMS: 800, ExpectedMS: 300, Waiting: 12, Running: 30, CallerWaiting: 2, CallerRunning: 3, Slots: 40}
	if q.Job != "" {
		e.Job, e.State, e.Decision, e.Reason, e.WaitLimitMS = q.Job, "running", "wait", "no-credit", 0
		e.Tasks = []status.DispatchTask{{Index: 0, State: "sent", Upstream: "pane-01/counter", ForMS: 120}, {Index: 1, State: "waiting"}}
		e.Excluded = []status.Exclusion{{Reason: "no-credit", Agents: 1, Hosts: []string{"pane-01/counter"}}}
		explain.WriteJSON(w, http.StatusOK, e)
		return
	}
	e.Candidates = []status.DispatchCandidate{{Upstream: "pane-01/counter", Site: "bandung", DataCentre: "bdg-a", CostMS: 1.2, DistanceMS: 1, RefusalsMS: 0.2, Credits: 3, MayWin: true}}
	explain.WriteJSON(w, http.StatusOK, e)
}
