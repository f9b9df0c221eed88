package cmds_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/help"
	"rosemarygrade.dev/standin/cmds"
)

// TestDocs checks that the committed page equals the command's help. With UPDATE_DOCS=1 it rewrites
// the page.
func TestDocs(t *testing.T) {
	assert.NilError(t, help.Check(cmds.Command(), "../../docs/commands/standin.md", os.Getenv("UPDATE_DOCS") != ""))
}
