package cmds_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/help"
	"rosemarygrade.dev/rosectl/cmds"
)

// TestDocs checks that the committed page is the command's help. UPDATE_DOCS=1 writes it anew.
func TestDocs(t *testing.T) {
	page := filepath.Join("..", "..", "docs", "commands", "rosectl.md")
	want, err := help.Markdown(cmds.Command())
	assert.NilError(t, err)
	if os.Getenv("UPDATE_DOCS") != "" {
		assert.NilError(t, os.WriteFile(page, []byte(want), 0o600))
	}
	got, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want, "run make docs")
}
