package cmds_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/entryd/cmds"
	"rosemarygrade.dev/lib/pkg/help"
)

// TestDocs checks that the committed page matches the help of the command. UPDATE_DOCS=1 rewrites the page.
func TestDocs(t *testing.T) {
	assert.NilError(t, help.Check(cmds.Command(), "../../docs/commands/entryd.md", os.Getenv("UPDATE_DOCS") != ""))
}
