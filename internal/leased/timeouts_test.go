package leased

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"slices"
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

// Guards against rows of other writers that take the places of those of entries.
func TestMalformedTimeoutRowsTakeNoPlaces(t *testing.T) {
	e := &Entry{log: slog.New(slog.NewTextHandler(io.Discard, nil)), core: broker.New(broker.DefaultSettings("dc", time.Second), rand.NewSource(1))}
	var u tableUpdate
	for i := range 2 * maxTimeoutRows {
		u.rows = append(u.rows, change(fmt.Sprintf("timeouts/a%d", i), malformedValues[i%len(malformedValues)], 1))
	}
	for i := range 2 {
		u.rows = append(u.rows, change(fmt.Sprintf("timeouts/z%d", i), `{"usual_ms":{"q":2000,"long":9223372036854775807,"none":-5}}`, 1))
	}
	e.timeoutsRead(u)
	if got := e.core.Timeouts().Learned()["q"]; got != 2*time.Second {
		t.Errorf("usual timeout %v, want that of the valid rows", got)
	}
}

// FuzzTimeoutsRow checks that a row of usual timeouts gets an error or has times that can be used.
func FuzzTimeoutsRow(f *testing.F) {
	for _, value := range append(slices.Clone(malformedValues), `{"usual_ms":{"q":2000}}`, `{"usual_ms":{"q":-1,"r":9223372036854775807}}`, `{"usual_ms":7}`) {
		if len(value) < 1<<10 {
			f.Add([]byte(value))
		}
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		l, err := decodeTimeoutsRow(value)
		for queue, usual := range l {
			if err != nil || usual <= 0 || usual > time.Hour || len(queue) > maxName {
				t.Fatalf("usual timeout %v, %v", usual, err)
			}
		}
	})
}
