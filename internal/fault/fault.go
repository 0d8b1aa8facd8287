// Package fault defines the error types of damasklb. Every failure has a type
// in one of the namespaces below, so that callers decide by type and never by
// text.
package fault

import "github.com/joomcode/errorx"

// Namespaces, one for each area that a failure can come from.
var (
	InputErrors     = errorx.NewNamespace("input")
	PlatformErrors  = errorx.NewNamespace("platform")
	TransportErrors = errorx.NewNamespace("transport")
	ConfigErrors    = errorx.NewNamespace("config")
	JobErrors       = errorx.NewNamespace("job")
	ProcessErrors   = errorx.NewNamespace("process")
)

// Input failures.
var (
	BadRequest = InputErrors.NewType("bad_request")
	Usage      = InputErrors.NewType("usage")
	TooLarge   = InputErrors.NewType("too_large")
	// ClientLimit: the clients of the process together use what they may use.
	ClientLimit = InputErrors.NewType("client_limit", errorx.Temporary())
)

// Platform failures. Unavailable means that the operation may or may not have
// taken effect; Conflict means that a condition did not hold and nothing was
// changed.
var (
	Unavailable = PlatformErrors.NewType("unavailable", errorx.Temporary())
	Conflict    = PlatformErrors.NewType("conflict")
	NotFound    = PlatformErrors.NewType("not_found", errorx.NotFound())
	BadResponse = PlatformErrors.NewType("bad_response")
	// HistoryGone: the changes that were requested are no longer stored.
	HistoryGone = PlatformErrors.NewType("history_gone")
	// ConnectionRefused: nothing listens at the address, or a cut refuses connections to it.
	ConnectionRefused = PlatformErrors.NewType("vanished")
)

// Transport failures.
var (
	LinkClosed = TransportErrors.NewType("link_closed", errorx.Temporary())
	DialFailed = TransportErrors.NewType("dial_failed", errorx.Temporary())
	BadMessage = TransportErrors.NewType("bad_message")
	BadPeer    = TransportErrors.NewType("bad_peer")
	// UnknownKind: a message is of a kind that this version does not know.
	UnknownKind = BadMessage.NewSubtype("unknown_kind")
)

// Process failures: the process cannot start or go on.
var (
	BadSettings = ProcessErrors.NewType("bad_settings")
	Listen      = ProcessErrors.NewType("listen")
	Internal    = ProcessErrors.NewType("internal")
)

// Client failures.
var (
	JobRefused  = JobErrors.NewType("refused")
	Unreachable = JobErrors.NewType("unreachable", errorx.Temporary())
)

// IsHistoryGone reports whether the feed has to start again with a snapshot.
func IsHistoryGone(err error) bool { return errorx.IsOfType(err, HistoryGone) }
