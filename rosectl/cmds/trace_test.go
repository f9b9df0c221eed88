package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTrace(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	first := write("a.log", "time=2026-01-01T00:00:02Z event=admitted id=77 afterMillis=0\n"+
		"time=2026-01-01T00:00:02Z event=answered id=77 afterMillis=1500\ntime=2026-01-01T00:00:02Z event=answered id=88\n")
	second := write("b.log", "time=2026-01-01T00:00:01Z event=other id=77 afterMillis=0\n")
	run := func(args ...string) (int, string) {
		var out, errs bytes.Buffer
		code := Execute(append([]string{"trace"}, args...), &out, &errs)
		return code, out.String()
	}
	t.Run("lines of one request in order over files", func(t *testing.T) {
		code, out := run("77", first, second)
		assert.Equal(t, code, exitOK)
		var events []string
		for line := range strings.Lines(out) {
			events = append(events, strings.Fields(line)[1])
		}
		assert.DeepEqual(t, events, []string{"event=admitted", "event=other", "event=answered"})
	})
	t.Run("an unknown id", func(t *testing.T) {
		code, _ := run("99", first)
		assert.Equal(t, code, exitNotFound)
	})
}
