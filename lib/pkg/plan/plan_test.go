package plan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/plan"
)

func route(prefix string) plan.RouteSpec {
	return plan.RouteSpec{
		Name: prefix, Host: "web", Prefix: prefix, Timeout: time.Second, MaxAttempts: 1, WeightedServices: []plan.WeightedService{{Service: "alpha", Weight: 1}},
	}
}

func spec(routes ...plan.RouteSpec) plan.ConfigSpec {
	return plan.ConfigSpec{Version: 1, Services: []plan.ServiceSpec{{Name: "alpha"}}, Routes: routes}
}

func TestRoutes(t *testing.T) {
	c, err := plan.NewConfig(spec(route("/"), route("/a/"), route("/a/b/")))
	assert.NilError(t, err)
	for path, want := range map[string]string{"/a/b/c": "/a/b/", "/a/bc": "/a/", "/a": "/", "/a/": "/a/", "/x": "/"} {
		assert.Equal(t, c.Route("web", path).Name(), want, path)
	}
	assert.Assert(t, c.Route("other", "/a/") == nil)
}

func TestInvalidConfigs(t *testing.T) {
	change := func(f func(r *plan.RouteSpec)) plan.ConfigSpec {
		r := route("/a/")
		f(&r)
		return spec(r)
	}
	rows := map[string]plan.ConfigSpec{
		"a prefix without slashes": change(func(r *plan.RouteSpec) { r.Prefix = "/a" }),
		"no host":                  change(func(r *plan.RouteSpec) { r.Host = "" }),
		"no timeout":               change(func(r *plan.RouteSpec) { r.Timeout = 0 }),
		"an unknown service":       change(func(r *plan.RouteSpec) { r.WeightedServices = []plan.WeightedService{{Service: "beta", Weight: 1}} }),
		"no weight":                change(func(r *plan.RouteSpec) { r.WeightedServices[0].Weight = 0 }),
		"a negative weight":        change(func(r *plan.RouteSpec) { r.WeightedServices[0].Weight = -1 }),
		"no service":               change(func(r *plan.RouteSpec) { r.WeightedServices = nil }),
		"two routes of one place":  spec(route("/a/"), route("/a/")),
		"a service without a name": {Services: []plan.ServiceSpec{{}}},
		"a service twice":          {Services: []plan.ServiceSpec{{Name: "a"}, {Name: "a"}}},
	}
	for name, s := range rows {
		t.Run(name, func(t *testing.T) {
			_, err := plan.NewConfig(s)
			assert.Equal(t, fault.KindOf[plan.Kind](err), plan.KindInvalid)
		})
	}
}

func TestView(t *testing.T) {
	backend := func(id, dc string, leaving bool) plan.BackendSpec {
		return plan.BackendSpec{ID: id, Incarnation: 1, Service: "alpha", DataCentre: dc, Slots: 1, Leaving: leaving}
	}
	v := plan.NewView(nil, []plan.BackendSpec{backend("a", "n", false), backend("b", "n", true), backend("c", "s", false)},
		map[string]bool{"s": true}, map[string]string{"n": "north", "s": "south"})
	assert.Equal(t, len(v.Usable("alpha")), 1)
	assert.Equal(t, v.Usable("alpha")[0].ID(), "a")
	assert.Assert(t, v.HasKey("b/1"))
	assert.Assert(t, !v.HasKey("b/2"), "another incarnation")
}
