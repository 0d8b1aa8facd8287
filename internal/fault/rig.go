package fault

import "github.com/joomcode/errorx"

// RigErrors are failures of the process rig that tests and benchmarks use.
var RigErrors = errorx.NewNamespace("rig")

// Rig failures.
var (
	// ChildFailed: a child process cannot be started, signalled or has ended.
	ChildFailed = RigErrors.NewType("child_failed")
	// NotReady: the processes were not ready in time.
	NotReady = RigErrors.NewType("not_ready", errorx.Timeout())
)
