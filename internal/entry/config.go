package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/gate"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/status"
	"github.com/damasklb/damasklb/internal/transport"
	"github.com/damasklb/damasklb/internal/wire"
)

// configPollInterval is the interval at which the head row of the configuration is
// read. An entry that has read a new version sends it to its agents at once, so the
// bound of 18 s for a version to be in force everywhere holds even if several polls
// fail.
const configPollInterval = 2 * time.Second

// configLoop polls the table for the configuration. While the table is
// unavailable, the entry keeps its version or receives a newer one from its peers.
func (e *Entry) configLoop() {
	defer e.wg.Done()
	for e.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(e.ctx, tableTimeout)
		if err := e.pollTable(ctx); err != nil {
			tableErrors("read_config").Inc()
		}
		cancel()
		e.putConfigInForce()
		sleep(e.ctx, configPollInterval)
	}
}

// pollTable reads the configuration and, in the same call, the evacuation requests. The
// requests take effect first, so that an entry does not serve before it knows them.
func (e *Entry) pollTable(ctx context.Context) error {
	requestedAt := e.now()
	rows, _, err := e.follower.PollEvacuations(ctx)
	if rows != nil {
		e.evacuationsRead(requestedAt, rows)
	}
	if err == nil || errorx.IsOfType(err, fault.BadResponse) || errorx.IsOfType(err, fault.BadConfig) || errorx.IsOfType(err, fault.NoVersion) {
		e.invalid.Check("config", configstore.HeadKey, err)
	}
	return err
}

// updateConfigIfNewer puts a version from a peer in force if it is newer.
func (e *Entry) updateConfigIfNewer(n *wire.ConfigNotice) {
	_, err := e.follower.UpdateIfNewer(n.Version, n.Content)
	e.invalid.Check("config_notice", configstore.VersionKey(n.Version), err)
	if err != nil {
		return
	}
	e.putConfigInForce()
}

// postConfig handles an operator's notice that a version was accepted. It reads
// the version from the table, or takes the content sent if that fails.
func (e *Entry) postConfig(w http.ResponseWriter, r *http.Request) {
	var push status.ConfigPushRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, wire.MaxMessageBytes)).Decode(&push); err != nil || push.Version == 0 {
		http.Error(w, `the body must be {"version": N, "content": {…}}`, http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), tableTimeout)
	defer cancel()
	err := e.pollTable(ctx)
	if err != nil && len(push.Content) > 0 {
		_, err = e.follower.UpdateIfNewer(push.Version, push.Content)
	}
	if err != nil {
		e.refuseRequest(w, r, http.StatusServiceUnavailable, err)
		return
	}
	e.putConfigInForce()
	writeJSON(w, http.StatusOK, status.ConfigPushResponse{Version: e.configVersion.Load()})
}

// putConfigInForce applies the follower's version if it is newer than the one
// in force, and sends it to all linked processes.
func (e *Entry) putConfigInForce() {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	s, ok := e.follower.Current()
	if !ok || s.Version <= e.configVersion.Load() {
		return
	}
	g, err := gate.New(s.Version, s.Config)
	if err != nil {
		e.opts.Log.Error("configuration is not valid", "version", s.Version, "error", err)
		return
	}
	if e.gate.Swap(g) == nil {
		close(e.firstConfig)
	}
	e.configVersion.Store(s.Version)
	e.opts.Log.Info("configuration in force", "version", s.Version)
	e.post(func(now time.Duration) {
		e.configure(now, s.Config)
		e.warnOfEvacuations(e.evacuations.Load())
		for _, l := range e.links {
			e.send(l, &wire.ConfigNotice{Version: s.Version, Content: s.Content})
		}
	})
}

// configure applies the configuration to the dispatch policy and the core. It runs
// again when the number of entries changes, because the entries share the caps.
func (e *Entry) configure(now time.Duration, c *config.Config) {
	entries := 1
	if m := e.core.Map(); m != nil {
		entries = max(1, len(m.Members))
	}
	e.core.Policy().Configure(now, c.DispatchSettings(e.opts.DataCentre, entries))
	e.core.SetResubmissionWindow(time.Duration(c.Limits.ResubmissionWindow))
}

// config returns the configuration in force, or nil if there is none.
func (e *Entry) config() *config.Config {
	if g := e.gate.Load(); g != nil {
		return g.Config()
	}
	return nil
}

// sendConfigIfNewer sends the configuration to a peer whose version is older.
func (e *Entry) sendConfigIfNewer(l *transport.Link, version uint64) {
	s, ok := e.follower.Current()
	if ok && version < s.Version {
		e.send(l, &wire.ConfigNotice{Version: s.Version, Content: s.Content})
	}
}

// checkAgainstConfig sets the submission's problem, if the configuration does not
// allow it, and the time until a site opens for its class. It returns false if
// there is no configuration yet.
func (e *Entry) checkAgainstConfig(s *submission) bool {
	g := e.gate.Load()
	if g == nil {
		return false
	}
	s.Problem, s.Detail = configProblem(g.Config(), s)
	s.OpensIn = g.OpensIn(time.Now(), s.Class)
	return true
}

func configProblem(c *config.Config, s *submission) (owner.Problem, string) {
	caller, admitted := c.Caller(s.Caller)
	_, known := c.Classes[s.Class]
	limit := c.MaxDeadline(s.Class)
	switch {
	case !known:
		return owner.ProblemBadRequest, "class " + strconv.Quote(s.Class) + " is not known"
	case !admitted:
		return owner.ProblemForbidden, "the caller is not in the configuration"
	case !caller.MayUse(s.Class):
		return owner.ProblemForbidden, "the caller may not use class " + strconv.Quote(s.Class)
	case time.Duration(s.deadlineMS)*time.Millisecond > limit:
		return owner.ProblemBadRequest, "deadline_ms is above " + strconv.FormatInt(limit.Milliseconds(), 10) + ", the limit of the class"
	case len(s.Payloads) > c.Limits.MaxTasks:
		return owner.ProblemBadRequest, "the job has more than " + strconv.Itoa(c.Limits.MaxTasks) + " tasks"
	}
	return "", ""
}
