package cmds_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/edged/cmds"
	"rosemarygrade.dev/lib/pkg/help"
)

// TestDocs checks that the committed page equals the command's help. UPDATE_DOCS=1 regenerates it.
func TestDocs(t *testing.T) {
	assert.NilError(t, help.Check(cmds.Command(), "../../docs/commands/edged.md", os.Getenv("UPDATE_DOCS") != ""))
}
