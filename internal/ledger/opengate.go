package ledger

import (
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// OpenGate is a Gate without a configuration, for tests and measurements: it
// lets every class start at every site.
type OpenGate struct{}

// Check implements Gate.
func (OpenGate) Check(time.Time, string, string) (wire.Reason, time.Duration) { return 0, 0 }

// SiteOpen implements Gate.
func (OpenGate) SiteOpen(time.Time, string) bool { return true }

// Version implements Gate.
func (OpenGate) Version() uint64 { return 1 }
