package callerconn

import (
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	requestBytes      = metrics.NewGauge("damasklb_client_request_bytes", nil)
	clientConnections = metrics.NewGauge("damasklb_client_connections", nil)
)

// refusals counts what was done to clients for a reason.
func refusals(reason, action string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`damasklb_client_refusals_total{reason="` + reason + `",action="` + action + `"}`)
}

// refusalLogInterval is the shortest time between two log lines with the same reason.
const refusalLogInterval = time.Second

// refusalLog logs and counts clients that are refused or whose connections are closed.
type refusalLog struct {
	log *slog.Logger

	mu sync.Mutex // guards the fields below
	// last is when a line with a reason was logged, unlogged the number without a line since.
	last     map[string]time.Time
	unlogged map[string]int
}

func newRefusalLog(log *slog.Logger) *refusalLog {
	return &refusalLog{log: log, last: map[string]time.Time{}, unlogged: map[string]int{}}
}

// refused records an action for a client, which is nil if its connection was not accepted.
func (l *refusalLog) refused(reason, action string, c *conn) {
	refusals(reason, action).Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.last[reason]) < refusalLogInterval {
		l.unlogged[reason]++
		return
	}
	remote := ""
	if c != nil {
		remote = c.RemoteAddr().String()
	}
	l.log.Warn("client refused", "reason", reason, "action", action, "remote", remote, "more", l.unlogged[reason])
	l.last[reason], l.unlogged[reason] = time.Now(), 0
}
