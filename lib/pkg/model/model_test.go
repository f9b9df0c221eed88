package model_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/model"
)

func parse(t *testing.T, kind, name, spec string) model.Object {
	t.Helper()
	o, err := model.Parse(kind, name, []byte(spec))
	assert.NilError(t, err)
	return o
}

func TestParseRefuses(t *testing.T) {
	rows := []struct{ name, kind, object, spec, want string }{
		{"unknown kind", "thing", "x", `{}`, "kind"},
		{"bad name", "recall", "X Y", `{}`, "name"},
		{"no JSON", "recall", "x", `{`, "syntax"},
		{"unknown field", "recall", "x", `{"batch":"a","extra":1}`, "extra"},
		{"data after the object", "recall", "x", `{"batch":"a"}{}`, "after the object"},
		{"no routes", "service", "x", `{"class":"live","deadlineMillis":1}`, "spec.routes"},
		{"bad class", "service", "x", `{"routes":[{"prefix":"/"}],"class":"fast","deadlineMillis":1}`, "spec.class"},
		{"no deadline", "service", "x", `{"routes":[{"prefix":"/"}],"class":"live"}`, "spec.deadlineMillis"},
		{"bad prefix", "service", "x", `{"routes":[{"prefix":"a"}],"class":"live","deadlineMillis":1}`, "spec.routes[0].prefix"},
		{"budget", "service", "x", `{"routes":[{"prefix":"/"}],"class":"live","deadlineMillis":1,"hedgeBudgetPercent":99}`, "hedgeBudgetPercent"},
		{"address", "placement", "x", `{"service":"s","servers":[{"address":"host:1","dataCentre":"d","slots":1}]}`, "servers[0].address"},
		{"port 0", "placement", "x", `{"service":"s","servers":[{"address":"127.0.0.1:0","dataCentre":"d","slots":1}]}`, "servers[0].address"},
		{"port out of range", "placement", "x", `{"service":"s","servers":[{"address":"127.0.0.1:65536","dataCentre":"d","slots":1}]}`, "servers[0].address"},
		{"most slots", "placement", "x", `{"service":"s","servers":[{"address":"127.0.0.1:1","dataCentre":"d","slots":9223372036854775807}]}`, "servers[0].slots"},
		{"nested too deeply", "recall", "x", `{"batch":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`, "max depth"},
		{"a latency that overflows", "region", "x", `{"dataCentres":["d"],"maxHosts":1,"links":[{"to":"y","bitsPerSecond":100,"latencyMillis":9223372036854775807}]}`, "links[0].latencyMillis"},
		{"a ramp that overflows", "shift", "x", `{"service":"s","from":"a","to":"b","capPercent":1,"rampSeconds":9223372036854775807}`, "spec.rampSeconds"},
		{"slots", "placement", "x", `{"service":"s","servers":[{"address":"127.0.0.1:1","dataCentre":"d","slots":0}]}`, "servers[0].slots"},
		{"duplicate address", "placement", "x", `{"service":"s","servers":[{"address":"127.0.0.1:1","dataCentre":"d","slots":1},{"address":"127.0.0.1:1","dataCentre":"d","slots":1}]}`, "servers[1].address"},
		{"no data centres", "region", "x", `{"maxHosts":1}`, "spec.dataCentres"},
		{"link to itself", "region", "x", `{"dataCentres":["d"],"maxHosts":1,"links":[{"to":"x","bitsPerSecond":100}]}`, "links[0].to"},
		{"block", "region", "x", `{"dataCentres":["d"],"maxHosts":1,"callerBlocks":["10.0.0.0"]}`, "callerBlocks[0]"},
		{"cap", "shift", "x", `{"service":"s","from":"a","to":"b","capPercent":101}`, "spec.capPercent"},
		{"same region", "shift", "x", `{"service":"s","from":"a","to":"a","capPercent":1}`, "spec.to"},
		{"scope", "drain", "x", `{"scope":"planet","name":"earth"}`, "spec.scope"},
		{"batch", "recall", "x", `{"batch":""}`, "spec.batch"},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			_, err := model.Parse(r.kind, r.object, []byte(r.spec))
			assert.ErrorContains(t, err, r.want)
		})
	}
}

const twoRegions = `{"service":"s","servers":[
 {"address":"127.0.0.1:1","dataCentre":"a1","batch":"x","slots":2},
 {"address":"127.0.0.2:1","dataCentre":"a1","batch":"y","slots":3},
 {"address":"127.0.0.3:1","dataCentre":"b1","batch":"x","slots":4}]}`

func snapshot(t *testing.T, more ...model.Object) *model.Snapshot {
	t.Helper()
	objects := []model.Object{
		parse(t, "region", "a", `{"dataCentres":["a1"],"maxHosts":1,"links":[{"to":"b","bitsPerSecond":800,"latencyMillis":20}]}`),
		parse(t, "region", "b", `{"dataCentres":["b1"],"maxHosts":1}`),
		parse(t, "service", "s", `{"routes":[{"prefix":"/s"},{"prefix":"/s/once","methods":["POST"],"nonIdempotent":true}],"class":"live","deadlineMillis":1}`),
		parse(t, "placement", "s", twoRegions),
	}
	return model.NewSnapshot(append(objects, more...))
}

func assertSlots(t *testing.T, s *model.Snapshot, a1, b1 int) {
	t.Helper()
	assert.Equal(t, s.Site(model.SiteID{Service: "s", DataCentre: "a1"}).Slots(), a1)
	assert.Equal(t, s.Site(model.SiteID{Service: "s", DataCentre: "b1"}).Slots(), b1)
}

func TestSnapshotStops(t *testing.T) {
	rows := []struct {
		name, kind, spec string
		a1, b1           int
	}{
		{"recall crosses regions", "recall", `{"batch":"x"}`, 3, 0},
		{"drain of a data centre", "drain", `{"scope":"dataCentre","name":"a1"}`, 0, 4},
		{"drain of a region", "drain", `{"scope":"region","name":"b"}`, 5, 0},
		{"drain of a host leaves servers", "drain", `{"scope":"host","name":"h"}`, 5, 4},
		{"host list by IP", "hosts", `{"leaving":["127.0.0.1"]}`, 3, 4},
		{"host list by address", "hosts", `{"leaving":["127.0.0.3:1"]}`, 5, 0},
	}
	assertSlots(t, snapshot(t), 5, 4)
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) { assertSlots(t, snapshot(t, parse(t, r.kind, "o", r.spec)), r.a1, r.b1) })
	}
	t.Run("the exclusion names the recall", func(t *testing.T) {
		s := snapshot(t, parse(t, "recall", "o", `{"batch":"y"}`))
		assert.DeepEqual(t, s.Exclusions("127.0.0.2:1"), []model.Exclusion{{Kind: "recall", Name: "o"}})
	})
	t.Run("a data centre without a region is left out", func(t *testing.T) {
		s := model.NewSnapshot([]model.Object{parse(t, "placement", "s", twoRegions)})
		assert.Equal(t, len(s.Sites()), 0)
	})
}

func TestRoute(t *testing.T) {
	rows := []struct {
		method, path         string
		found, nonIdempotent bool
	}{
		{"GET", "/s/once", true, false},
		{"POST", "/s/once/1", true, true},
		{"POST", "/s/other", true, false},
		{"GET", "/t", false, false},
	}
	s := snapshot(t)
	for _, r := range rows {
		t.Run(r.method+r.path, func(t *testing.T) {
			_, route, ok := s.Route(r.method, r.path)
			assert.Equal(t, ok, r.found)
			assert.Equal(t, route.NonIdempotent(), r.nonIdempotent)
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, kind := range []string{"service", "placement", "region", "shift", "drain", "recall", "hosts"} {
		f.Add(kind, "x", `{"service":"s","servers":[{"address":"127.0.0.1:1","dataCentre":"d","slots":1}],"batch":"b"}`)
	}
	f.Fuzz(func(t *testing.T, kind, name, spec string) {
		o, err := model.Parse(kind, name, []byte(spec))
		if err == nil {
			model.NewSnapshot([]model.Object{o})
			return
		}
		if !strings.Contains(err.Error(), "parse") {
			t.Fatalf("the error does not name its operation: %v", err)
		}
	})
}
