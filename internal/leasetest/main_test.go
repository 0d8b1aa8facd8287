package leasetest

import (
	"os"
	"testing"

	"github.com/damasklb/damasklb/internal/invariant"
)

// TestMain makes violated invariants fail all tests of the package. The tests run in parallel, so
// none may change this for itself.
func TestMain(m *testing.M) {
	invariant.SetStrict(true)
	os.Exit(m.Run())
}
