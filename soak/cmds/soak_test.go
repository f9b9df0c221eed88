package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/help"
	"rosemarygrade.dev/soak/pkg/runner"
)

// TestDocs checks that the committed page equals the command's help. With UPDATE_DOCS=1 it rewrites
// the page.
func TestDocs(t *testing.T) {
	assert.NilError(t, help.Check(Command(), "../../docs/commands/soak.md", os.Getenv("UPDATE_DOCS") != ""))
}

// TestShortSoak runs a short soak with a fixed seed. It needs .build/bin/edged, which make build builds.
func TestShortSoak(t *testing.T) {
	program, err := filepath.Abs("../../.build/bin/edged")
	assert.NilError(t, err)
	var out, errs bytes.Buffer
	code := Execute([]string{"--seed", "20261204", "--minutes", "0.25", "--program", program}, &out, &errs)
	assert.Equal(t, code, 0, "%s%s", out.String(), errs.String())
}

func TestBadInput(t *testing.T) {
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "past.json")
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	rows := []struct {
		name, want string
		args       []string
	}{
		{"an unknown fault", "no fault is named flood", []string{"--faults", "flood"}},
		{"a file that is missing", "no such file", []string{"--replay", "none.json"}},
		{"a file with an unknown field", "unknown field", []string{"--replay", write(`[{"sead":1}]`)}},
		{"an unknown fault in a file", "no fault is named flood", []string{"--replay", write(`[{"seed":1,"faults":["flood"]}]`)}},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			assert.Equal(t, Execute(r.args, &out, &errs), 1)
			assert.Assert(t, strings.Contains(errs.String(), r.want), errs.String())
		})
	}
}

// TestPastRuns checks that each entry of past.json can be replayed: its faults exist and its cause and length are set.
// It runs none of them; soak --replay soak/past.json does.
func TestPastRuns(t *testing.T) {
	list, err := loadPastRuns("../past.json")
	assert.NilError(t, err)
	assert.Assert(t, len(list) > 0)
	for _, p := range list {
		plan := runner.Plan{Faults: p.Faults}
		assert.NilError(t, plan.Check())
		assert.Assert(t, p.Cause != "" && p.Minutes > 0)
	}
}
