package cmds_test

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/entryd/cmds"
)

const good = `{"host":"h","dataCentre":"d","region":"r","callerAddress":"127.0.0.1:0","peerAddress":"127.0.0.1:0",
 "adminAddress":"ADMIN","steerds":["127.0.0.1:1"]}`

// run writes the settings to a file and runs entryd with it. It returns the exit code and the error output.
func run(t *testing.T, settings string, args ...string) (int, string) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(name, []byte(settings), 0o600))
	var errs bytes.Buffer
	code := cmds.Execute(append([]string{"--settings", name}, args...), &errs)
	return code, errs.String()
}

// TestSettings checks that invalid settings end entryd with one error line that names the setting.
func TestSettings(t *testing.T) {
	valid := strings.Replace(good, "ADMIN", "127.0.0.1:0", 1)
	rows := []struct{ name, settings, text string }{
		{"unknown field", strings.Replace(valid, `"host"`, `"hots"`, 1), `unknown field "hots"`},
		{"not an address", strings.Replace(valid, "127.0.0.1:1", "localhost:1", 1), "steerds[0]"},
		{"a string in place of a number", strings.Replace(valid, `{`, `{"lameDuckMillis":"4s",`, 1), "lameDuckMillis"},
		{"out of range", strings.Replace(valid, `{`, `{"stopMillis":-1,`, 1), "stopMillis"},
		{"not JSON", `{`, "syntax"},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			code, out := run(t, r.settings)
			assert.Equal(t, code, 2)
			assert.Assert(t, strings.Contains(out, r.text), out)
			assert.Equal(t, strings.Count(out, "\n"), 1, "one line: %s", out)
		})
	}
	t.Run("--check-settings does not start the process", func(t *testing.T) {
		code, out := run(t, valid, "--check-settings")
		assert.Equal(t, code, 0, out)
	})
	t.Run("an address in use", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = l.Close() }()
		code, out := run(t, strings.Replace(good, "ADMIN", l.Addr().String(), 1))
		assert.Equal(t, code, 1)
		assert.Assert(t, strings.Contains(out, "address already in use"), out)
	})
	t.Run("a missing settings file", func(t *testing.T) {
		var errs bytes.Buffer
		assert.Equal(t, cmds.Execute([]string{"--settings", "/nowhere.json"}, &errs), 2)
	})
}
