package cmds

import (
	"net/http"
	"testing"

	"rosemarygrade.dev/platform/fake"
)

// TestOddEntries guards against one entry of another writer in the list of the backend servers that ends the process, or because of which it
// no longer follows the list: read by a watch, by a list, and together with changes of others.
func TestOddEntries(t *testing.T) {
	for name, odd := range fake.OddEntries() {
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
