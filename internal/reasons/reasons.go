// Package reasons holds the reasons that agents give for attempts that did not start or were
// cut short, and what entries conclude from them.
package reasons

import "strings"

// Reasons for attempts that did not start.
const (
	// Live is the reason for not starting a task of which another run is live on the
	// upstream: one that was started for another entry, or that the entry has given
	// up. The task must not start elsewhere before that run has ended.
	Live = "task-is-live"
	// NoRoom is the reason for not starting a task that would have had to wait.
	NoRoom = "no-room"
	// NoMemory is the reason for not taking a task whose spec exceeds the agent's memory for them.
	NoMemory = "no-memory"
	// TooLarge is the reason for not running a task that exceeds the capacity.
	TooLarge = "too-large"
	// TooLate is the reason for a task whose start deadline has passed.
	TooLate = "too-late"
	// TrialLimit is the reason for refusing a suspect because of another one.
	TrialLimit = "trial-limit"
	// Evacuated is the reason for not running a task in a data centre that is being evacuated.
	Evacuated = "evacuated"
)

// Preempted is the reason for attempts that were stopped for more urgent work.
const Preempted = "preempted"

// upstreamRefusalPrefix is the prefix of the reasons of an upstream that has refused
// a start, upstreamOld the reason for one with an outdated number.
const (
	upstreamRefusalPrefix = "upstream-"
	upstreamOld           = upstreamRefusalPrefix + "old"
)

// MayHaveRun reports whether a reason for not starting an attempt shows that an earlier run
// of the task has started, or may have.
func MayHaveRun(reason string) bool { return reason == Live || reason == upstreamOld }

// EndUnknown reports whether a reason is for a run of which the agent does not know how it
// ended.
func EndUnknown(reason string) bool { return reason == "lease-lapsed" || reason == "run-vanished" }

// AgentWide reports whether a reason for not starting an attempt applies to all tasks.
func AgentWide(reason string) bool {
	switch reason {
	case "no-upstream", "agent-leaving", "draining", "departed", "not-ready", "other-service", Evacuated:
		return true
	}
	return strings.HasPrefix(reason, upstreamRefusalPrefix) && reason != upstreamOld
}
