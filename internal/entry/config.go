package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/gate"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/status"
	"github.com/damasklb/damasklb/internal/transport"
	"github.com/damasklb/damasklb/internal/wire"
)

// configPollEvery is the interval at which the head row of the configuration is
// read. Agents get a new version within one message of an entry's read, so the
// bound of 18 s holds with several polls lost.
const configPollEvery = 2 * time.Second

// configLoop follows the configuration in the table. In an outage the entry goes
// on with its version, or takes a newer one from its peers.
func (e *Entry) configLoop() {
	defer e.wg.Done()
	for e.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(e.ctx, tableTimeout)
		if _, err := e.follower.Poll(ctx); err != nil {
			tableErrors("read_config").Inc()
		}
		cancel()
		e.putConfigInForce()
		sleep(e.ctx, configPollEvery)
	}
}

// offerConfig takes a version from a peer.
func (e *Entry) offerConfig(n *wire.ConfigNotice) {
	if _, err := e.follower.UpdateIfNewer(n.Version, n.Content); err != nil {
		e.opts.Log.Error("configuration from a peer is not valid", "version", n.Version, "error", err)
		return
	}
	e.putConfigInForce()
}

// postConfig takes an operator's word that a version was accepted.
func (e *Entry) postConfig(w http.ResponseWriter, r *http.Request) {
	var push status.ConfigPushRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, wire.MaxMessageBytes)).Decode(&push); err != nil || push.Version == 0 {
		http.Error(w, `the body must be {"version": N, "content": {…}}`, http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), tableTimeout)
	defer cancel()
	_, err := e.follower.Poll(ctx)
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
// in force, and passes it on to all linked processes.
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
		for _, l := range e.links {
			e.send(l, &wire.ConfigNotice{Version: s.Version, Content: s.Content})
		}
	})
}

// configure gives the policy and the core their parts of the configuration. It
// is repeated when the number of entries changes, because they share the caps.
func (e *Entry) configure(now time.Duration, c *config.Config) {
	owners := 1
	if m := e.core.Map(); m != nil {
		owners = max(1, len(m.Members))
	}
	e.core.Policy().Configure(now, c.DispatchSettings(e.opts.DataCentre, owners))
	e.core.SetResubmissionWindow(time.Duration(c.Limits.ResubmissionWindow))
}

// config returns the configuration in force, or nil if there is none.
func (e *Entry) config() *config.Config {
	if g := e.gate.Load(); g != nil {
		return g.Config()
	}
	return nil
}

// shareConfig sends the configuration to a peer that has an older version.
func (e *Entry) shareConfig(l *transport.Link, version uint64) {
	s, ok := e.follower.Current()
	if ok && version < s.Version {
		e.send(l, &wire.ConfigNotice{Version: s.Version, Content: s.Content})
	}
}

// checkConfig notes in the submission what the configuration says of it. It
// returns false if no configuration is known.
func (e *Entry) checkConfig(s *submission) bool {
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
