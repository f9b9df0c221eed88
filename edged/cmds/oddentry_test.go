package cmds

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"rosemarygrade.dev/platform/fake"
)

// oddEntries returns specs of backend servers that another writer may leave in the store. None names one to use.
func oddEntries() map[string]string {
	entry := func(field, value string) string {
		fields := map[string]string{
			"service": `"beta"`, "address": `"127.0.0.1:9"`, "zone": `"north-a"`, "slots": "4", "state": `"ready"`, "cold_left_s": "0", "seq": "1", "born": "1",
		}
		fields[field] = value
		parts := make([]string, 0, len(fields))
		for name, value := range fields {
			parts = append(parts, fmt.Sprintf("%q:%s", name, value))
		}
		return "{" + strings.Join(parts, ",") + "}"
	}
	nested := func(open, end string, depth int) string {
		return strings.Repeat(open, depth) + strings.Repeat(end, depth)
	}
	const deep, deepest = 10_001, 400_000
	return map[string]string{
		"nested lists":                 nested("[", "]", deep),
		"very deeply nested lists":     nested("[", "]", deepest),
		"nested objects":               nested(`{"a":`, "}", deep)[:deep*len(`{"a":`)] + "1" + strings.Repeat("}", deep),
		"a nested field":               entry("slots", nested("[", "]", deep)),
		"a nested field that is extra": entry("note", nested("[", "]", deepest)),
		"slots over 64 bits":           entry("slots", "99999999999999999999"),
		"slots over every float":       entry("slots", "1e400"),
		"most slots":                   entry("slots", "9223372036854775807"),
		"slots beyond any server":      entry("slots", "4611686018427387904"),
		"a start over 64 bits":         entry("born", "99999999999999999999"),
		"a start over every float":     entry("born", "1e400"),
		"a slow start of 1e300 s":      entry("cold_left_s", "1e300"),
		"a slow start over floats":     entry("cold_left_s", "1e400"),
		"a slow start of 1e12 s":       entry("cold_left_s", "1e12"),
		"a port of 65536":              entry("address", `"127.0.0.1:65536"`),
		"a port of 0":                  entry("address", `"127.0.0.1:0"`),
		"a negative port":              entry("address", `"127.0.0.1:-1"`),
		"a very large port":            entry("address", `"127.0.0.1:99999999999999999999"`),
	}
}

// TestOddEntries guards against one entry of another writer in the list of the backend servers that ends the process, or because of which it
// no longer follows the list: read by a watch, by a list, and together with changes of others.
func TestOddEntries(t *testing.T) {
	for name, odd := range oddEntries() {
		t.Run(name, func(t *testing.T) {
			f := newFlood(t)
			f.store.Set(fake.KindConfig, fake.NameConfig, fake.Config(2, fake.Route{Prefix: "/write/", Service: "alpha", Timeout: 30},
				fake.Route{Prefix: "/read/", Idempotent: true, Service: "alpha", Timeout: 30}, fake.Route{Prefix: "/beta/", Service: "beta", Timeout: 5}))
			replace := func(old, id string) {
				t.Helper()
				f.addBackend(id, "beta", "north-a")
				f.store.Remove(fake.KindBackends, old)
				f.backends[old].Close()
				f.eventually("requests go to the backend server "+id, func() bool {
					f.call(f.host, http.MethodPost, "/beta/x", "", "at-"+id)
					return f.backends[id].Runs("at-"+id) > 0
				})
			}
			f.store.Set(fake.KindBackends, "odd", odd)
			replace("i-b1", "i-b2")
			// The store loses its history, so the process lists the entries.
			f.store.SetWatchesStalled(true)
			f.store.Set(fake.KindBackends, "odd", odd+" ")
			f.store.SetWatchesStalled(false)
			replace("i-b2", "i-b3")
			// The entry of a backend server that is in use becomes odd.
			f.addBackend("i-b4", "beta", "north-a")
			f.store.Set(fake.KindBackends, "i-b3", odd)
			f.eventually("requests go to the backend server i-b4 alone", func() bool {
				f.call(f.host, http.MethodPost, "/beta/x", "", "at-i-b4")
				return f.backends["i-b4"].Runs("at-i-b4") > 0
			})
			f.check()
		})
	}
}
