package agent

import (
	"time"

	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/gate"
	"github.com/damasklb/damasklb/internal/ledger"
	"github.com/damasklb/damasklb/internal/transport"
	"github.com/damasklb/damasklb/internal/wire"
)

// updateConfigIfNewer puts a configuration version in force if it is newer, and
// reports it to the sender at once. The agent starts nothing before it has a version.
func (a *Agent) updateConfigIfNewer(l *transport.Link, n *wire.ConfigNotice) {
	_, err := a.follower.UpdateIfNewer(n.Version, n.Content)
	a.invalid.Check("config_notice", configstore.VersionKey(n.Version), err)
	if err != nil {
		return
	}
	s, ok := a.follower.Current()
	if !ok {
		return
	}
	if s.Version > a.configVersion.Load() {
		g, err := gate.New(s.Version, s.Config)
		if err != nil {
			a.opts.Log.Error("configuration is not valid", "version", s.Version, "error", err)
			return
		}
		a.post(func(now ledger.Instant) { a.applyConfig(now, g) })
	}
	// The version in the ping shows the entry that this agent has it in force. The
	// ping is queued after the change, so that it does not report the version early.
	a.post(func(ledger.Instant) { _ = l.Ping() })
}

func (a *Agent) applyConfig(now ledger.Instant, g *gate.Gate) {
	if g.Version() <= a.configVersion.Load() {
		return // a newer version has arrived over another link meanwhile
	}
	a.core.SetGate(now, g)
	a.core.SetResubmissionWindow(time.Duration(g.Config().Limits.ResubmissionWindow))
	a.configVersion.Store(g.Version())
	a.opts.Log.Info("configuration in force", "version", g.Version())
}
