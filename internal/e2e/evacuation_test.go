package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/cli"
	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/rig"
	"github.com/damasklb/damasklb/internal/status"
)

// startInTwoDataCentres starts a system whose agents are in "east" and "west" by turns.
func startInTwoDataCentres(t *testing.T) *rig.Rig {
	t.Helper()
	r := start(t, func(o *rig.Options) { o.Agents, o.DataCentres = 4, []string{"east", "west"} })
	c := config.Default()
	c.DataCentres["east"], c.DataCentres["west"] = config.DataCentre{}, config.DataCentre{}
	delete(c.DataCentres, config.DefaultDataCentre)
	site := c.Sites[config.DefaultSite]
	site.DataCentre = "east"
	c.Sites[config.DefaultSite] = site
	content, err := c.Encode()
	must(t, err)
	store := configstore.New(platform.NewHTTPTable("http://"+r.Table.Address, nil))
	applied, err := store.Apply(t.Context(), configstore.Proposal{ChangeID: configstore.NewChangeID(), BaseVersion: 1, Author: "ann", Reason: "test", Content: content})
	must(t, err)
	eventually(t, 18*time.Second, "the configuration is in force everywhere", func() bool {
		return len(evacuationStatus(t, r).Lacking(applied.Version)) == 0
	})
	return r
}

// drain runs ctl drain --data-centre and waits until all processes have acknowledged the
// change, for the 18 s at most in which a change has to be in force everywhere.
func drain(t *testing.T, r *rig.Rig, dataCentre string, more ...string) {
	t.Helper()
	args := append([]string{"drain", "--table-url", "http://" + r.Table.Address, "--entry-url", strings.Join(r.URLs(), ","),
		"--author", "ann", "--wait", "--data-centre", dataCentre}, more...)
	must(t, ctl(args...))
}

// ctl runs an operator's command.
func ctl(args ...string) error {
	var out, failure bytes.Buffer
	env := cli.Env{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &failure}
	if code := cli.Run(context.Background(), append([]string{"ctl"}, args...), env); code != 0 {
		return fault.ChildFailed.New("ctl %v: exit code %d: %s%s", args, code, out.String(), failure.String())
	}
	return nil
}

func evacuationStatus(t *testing.T, r *rig.Rig) status.Report {
	t.Helper()
	var report status.Report
	a := send("GET", r.URLs()[0]+status.StatusPath, "", "")
	must(t, a.err)
	must(t, json.Unmarshal(a.body, &report))
	return report
}

// Guards against a task that starts in a data centre after every process has acknowledged
// its evacuation, also at an agent that is started later; against work that is cut or
// refused although another data centre has room; and against a data centre that stays empty
// after it was taken back.
func TestEvacuationOfADataCentreUnderLoad(t *testing.T) {
	r := startInTwoDataCentres(t)
	finish := background(t, loadOptions(r, 60, 16*time.Second))
	time.Sleep(2 * time.Second)
	drain(t, r, "east", "--reason", "power work")
	from := time.Now()
	time.Sleep(500 * time.Millisecond) // the load's tasks run for 50 ms
	if report := evacuationStatus(t, r); len(report.Evacuations) != 1 || report.Evacuations[0].Running != 0 || report.Evacuations[0].Since.IsZero() || report.Evacuations[0].Author != "ann" {
		t.Errorf("status %+v", report.Evacuations)
	}
	must(t, r.Agents[0].Kill())
	must(t, r.Agents[0].WaitAndStart(shutdownLimit))
	must(t, r.WaitReady(rig.DefaultReadyTimeout))
	time.Sleep(2 * time.Second)
	until := time.Now()
	drain(t, r, "east", "--undo")
	report, jobs := finish()
	checkSafe(t, r, report, jobs)
	if report.Statuses["200"] != report.Requests {
		t.Errorf("statuses %v of %d requests: an evacuation must cut and refuse nothing", report.Statuses, report.Requests)
	}
	east := map[string]bool{r.Upstreams[0].Address: true, r.Upstreams[2].Address: true}
	var before, during, after int
	for id, starts := range r.StartLog() {
		for _, s := range starts {
			switch {
			case !east[s.Upstream]:
			case s.At.Before(from):
				before++
			case s.At.Before(until):
				during++
				t.Errorf("task %s started %s after the evacuation was acknowledged", id, s.At.Sub(from))
			default:
				after++
			}
		}
	}
	t.Logf("starts in east: %d before, %d during, %d after", before, during, after)
	if before == 0 || after == 0 {
		t.Errorf("starts in east: %d before and %d after the evacuation", before, after)
	}
}

// Guards against jobs that wait for their deadline while no data centre is left, a refusal
// that hides the cause, and processes that end.
func TestEvacuationOfAllDataCentres(t *testing.T) {
	r := startInTwoDataCentres(t)
	if a := submit(r.URLs()[0], "first", jobBody(1, 0, 5*time.Second)); a.status != 200 {
		t.Fatalf("status %d %s", a.status, a.body)
	}
	drain(t, r, "east")
	drain(t, r, "west")
	begin := time.Now()
	a := submit(r.URLs()[0], "refused", jobBody(2, 0, 20*time.Second))
	if p := a.problem(); a.status != 503 || !strings.HasSuffix(p.Type, ":evacuated") || !p.NotRun || p.RetryAfterMS < 3000 || time.Since(begin) > 2*time.Second {
		t.Errorf("status %d %s after %s", a.status, a.body, time.Since(begin))
	}
	if ready := send("GET", r.URLs()[0]+"/readyz", "", ""); ready.status != 200 {
		t.Errorf("readyz %d %s", ready.status, ready.body)
	}
	drain(t, r, "west", "--undo")
	if a := submit(r.URLs()[1], "again", jobBody(2, 0, 5*time.Second)); a.status != 200 {
		t.Errorf("status %d %s after west was taken back", a.status, a.body)
	}
}

// eventually fails the test if the condition does not hold within the limit.
func eventually(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

// startedIn reports whether a task has started at an upstream after the given time.
func startedIn(r *rig.Rig, upstreams map[string]bool, after time.Time) bool {
	for _, starts := range r.StartLog() {
		for _, s := range starts {
			if upstreams[s.Upstream] && s.At.After(after) {
				return true
			}
		}
	}
	return false
}

// Guards against a row that cannot be read or names an unknown data centre and that ends a
// process, stops the service, is not reported, or makes a process forget what is in force.
func TestBadEvacuationRows(t *testing.T) {
	r := startInTwoDataCentres(t)
	table := platform.NewHTTPTable("http://"+r.Table.Address, nil)
	_, err := table.Commit(t.Context(), platform.Transaction{Writes: []platform.Write{
		{Key: configstore.EvacuationsKey, Value: []byte("[")},
		{Key: configstore.EvacuationKey("west"), Value: []byte("[")},
		{Key: configstore.EvacuationKey("nowhere"), Value: []byte("{}")},
	}})
	must(t, err)
	eventually(t, 18*time.Second, "all processes know the rows", func() bool {
		report := evacuationStatus(t, r)
		return len(report.Evacuations) == 2 && len(report.Unaware(report.EvacuationVersion)) == 0
	})
	from := time.Now()
	report := evacuationStatus(t, r)
	if nowhere, west := report.Evacuations[0], report.Evacuations[1]; !nowhere.Unknown || west.Unknown || west.DataCentre != "west" {
		t.Errorf("status %+v", report.Evacuations)
	}
	for _, name := range []string{"damasklb_evacuation_requests_unknown_total", "damasklb_evacuation_requests_unreadable_total"} {
		for i := range r.Entries {
			if n, err := r.Metric(i, name); err != nil || n != 1 {
				t.Errorf("entry %d: %s %v, %v: each row is reported once by each entry, also by one that received it from another", i, name, n, err)
			}
		}
	}
	for i, url := range r.URLs() {
		if a := submit(url, "bad-rows-"+url, jobBody(4, 10*time.Millisecond, 5*time.Second)); a.status != 200 {
			t.Errorf("entry %d: status %d %s", i, a.status, a.body)
		}
	}
	if startedIn(r, map[string]bool{r.Upstreams[1].Address: true, r.Upstreams[3].Address: true}, from) {
		t.Error("a task has started in west, whose row cannot be read")
	}
	drain(t, r, "west", "--undo")
}

// Guards against an agent that never learns of a request because no entry can send it, and
// against entries that are resumed with old knowledge and start tasks at such an agent.
func TestAgentsAskTheTableWithoutEntries(t *testing.T) {
	t.Parallel()
	r := startInTwoDataCentres(t)
	finish := background(t, loadOptions(r, 40, 3*time.Second))
	time.Sleep(time.Second)
	for _, e := range r.Entries {
		must(t, e.Pause())
	}
	must(t, ctl("drain", "--table-url", "http://"+r.Table.Address, "--data-centre", "east"))
	// An agent asks when its knowledge is 15 s old, and every 2 to 16 s after that.
	eventually(t, 40*time.Second, "the agents in east read the table", func() bool {
		for _, i := range []int{0, 2} {
			if version, err := r.AgentMetric(i, "damasklb_agent_evacuation_version"); err != nil || version == 0 {
				return false
			}
		}
		return true
	})
	from := time.Now()
	for _, e := range r.Entries {
		must(t, e.Resume())
	}
	report, jobs := finish()
	checkSafe(t, r, report, jobs)
	must(t, r.WaitReady(rig.DefaultReadyTimeout))
	eventually(t, 18*time.Second, "a job is served again", func() bool {
		return submit(r.URLs()[0], time.Now().Format("150405.000000"), jobBody(4, 10*time.Millisecond, 5*time.Second)).status == 200
	})
	if startedIn(r, map[string]bool{r.Upstreams[0].Address: true, r.Upstreams[2].Address: true}, from) {
		t.Error("a task has started in east after its agents had read the request")
	}
}
