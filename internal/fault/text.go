package fault

import (
	"strings"

	"github.com/joomcode/errorx"
)

// Text returns an error's text for display, without the names of error types.
func Text(err error) string {
	e := errorx.Cast(err)
	if e == nil {
		return err.Error()
	}
	if cause := e.Cause(); cause != nil {
		return strings.TrimPrefix(e.Message()+": "+Text(cause), ": ")
	}
	return e.Message()
}
