package leased

import (
	"io"
	"log/slog"
	"math/rand"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/broker"
	"github.com/damasklb/damasklb/internal/catalog"
	"github.com/damasklb/damasklb/internal/platform"
)

// Guards against a row that nobody can read, or with values of another age or unit, that ends an
// entry or hides what the other rows hold.
func TestUnreadableTimeoutRowsAreLeftOut(t *testing.T) {
	e := &Entry{log: slog.New(slog.NewTextHandler(io.Discard, nil)), core: broker.New(broker.DefaultSettings("dc", time.Second), rand.NewSource(1))}
	var u tableUpdate
	for key, value := range map[string]string{
		"timeouts/a": `{"usual_ms":{"q":2000}}`, "timeouts/b": `{"usual_ms":{"q":2000}}`, "timeouts/c": `{"usual_ms":{"q":9223372036854775807}}`,
		"timeouts/d": `{"usual_ms":{"q":-5}}`, "timeouts/e": "[", "timeouts/f": `{"usual_ms":{"q":"soon"}}`, "timeouts/g": "",
	} {
		u.rows = append(u.rows, platform.Change{Row: platform.Row{Key: key, Value: []byte(value)}})
	}
	e.timeoutsRead(u)
	late := 0
	q := &catalog.Queue{Name: "q", Service: "s", MaxAttempts: 1, Stretch: 2, LatencyTarget: time.Second}
	e.withCore(func(now time.Duration, core *broker.Broker) {
		core.Submit(now, broker.Submission{ID: "j", Queue: q, Timeout: 500 * time.Millisecond, Tasks: []broker.TaskSpec{{CPU: 1}}}, 1)
		for _, effect := range core.TakeEffects() {
			if d, ok := effect.(broker.Decision); ok && d.Action == "late-submission" && d.Wait == 1500*time.Millisecond {
				late++
			}
		}
	})
	if late != 1 {
		t.Error("a caller with 0.5 s left of 2 s does not pass for one that has waited for 1.5 s")
	}
}
