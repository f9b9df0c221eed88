package cmds

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// eventInCode matches the names of log events and of the events in request traces.
var eventInCode = regexp.MustCompile(`"event", "(\w+)"|trace\.Add\((?:now|time\.Now\(\)), "(\w+)"|p\.finish\(x, [^,"]*, "(\w+)"`)

// TestEvents checks that the page for operators documents each event in the code.
func TestEvents(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, table, found := strings.Cut(string(page), "## Other events")
	assert.Assert(t, found)
	documented := map[string]bool{}
	for row := range strings.SplitSeq(table, "\n") {
		if names, _, ok := strings.Cut(strings.TrimPrefix(row, "| "), " |"); ok {
			for name := range strings.SplitSeq(names, ", ") {
				documented[name] = true
			}
		}
	}
	files := 0
	for _, root := range []string{"..", "../../lib/pkg/logs"} {
		err := filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files++
			code, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for _, m := range eventInCode.FindAllStringSubmatch(string(code), -1) {
				name := m[1] + m[2] + m[3]
				assert.Check(t, documented[name], "event %q of %s is not on the page", name, path)
			}
			return nil
		})
		assert.NilError(t, err)
	}
	assert.Assert(t, files > 0)
}
