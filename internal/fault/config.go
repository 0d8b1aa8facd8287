package fault

import "github.com/joomcode/errorx"

// Configuration failures.
var (
	// BadConfig: a configuration cannot be read or breaks a rule.
	BadConfig = ConfigErrors.NewType("bad_config")
	// LostRace: another operator's change took effect first, so this one did
	// not and never will.
	LostRace = ConfigErrors.NewType("lost_race")
	// ChangeUnknown: whether a change took effect could not be determined. A retry
	// with the same change id is safe.
	ChangeUnknown = ConfigErrors.NewType("change_unknown", errorx.Temporary())
	// ChangeIDReused: the change id already belongs to another change.
	ChangeIDReused = ConfigErrors.NewType("change_id_reused")
	// NoVersion: the configuration version does not exist.
	NoVersion = ConfigErrors.NewType("no_version", errorx.NotFound())
	// UnknownDataCentre: the configuration does not list the data centre.
	UnknownDataCentre = ConfigErrors.NewType("unknown_data_centre", errorx.NotFound())
	// NotInForce: a version is not in force everywhere in the time allowed.
	NotInForce = ConfigErrors.NewType("not_in_force", errorx.Temporary())
)

// Properties of configuration failures.
var (
	// ConfigVersion is the version that a change lost to or that is missing.
	ConfigVersion = errorx.RegisterProperty("config_version")
	// ConfigAuthor is the author of the version that a change lost to.
	ConfigAuthor = errorx.RegisterProperty("config_author")
)
