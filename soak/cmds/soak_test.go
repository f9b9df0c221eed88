package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/help"
)

func TestDocs(t *testing.T) {
	assert.NilError(t, help.Check(Command(), "../../docs/commands/soak.md", os.Getenv("UPDATE_DOCS") != ""))
}

// TestShortSoak is a run of fixed seed on the programs that make build has built.
func TestShortSoak(t *testing.T) {
	program, err := filepath.Abs("../../.build/bin/edged")
	assert.NilError(t, err)
	var out, errs bytes.Buffer
	code := Execute([]string{"--seed", "20261204", "--minutes", "0.25", "--program", program}, &out, &errs)
	assert.Equal(t, code, 0, "%s%s", out.String(), errs.String())
}
