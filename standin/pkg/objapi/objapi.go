// Package objapi is a fake of the platform's object API, which steerd and rosectl use. It keeps the objects in memory, and tests
// inject faults into it.
package objapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"rosemarygrade.dev/lib/pkg/object"
	"rosemarygrade.dev/lib/pkg/wire"
)

// Faults are the injected faults; the zero value injects none.
type Faults struct {
	// Outage makes every call fail with status 503.
	Outage bool `json:"outage"`
	// SlowMillis delays every call by that many milliseconds.
	SlowMillis int `json:"slowMillis"`
	// LoseResponses applies each write, but closes the connection without a response.
	LoseResponses bool `json:"loseAnswers"`
	// StaleRevision makes reads return the objects as of that revision, like a stale replica; 0 means the latest.
	StaleRevision uint64 `json:"staleRevision"`
}

// Counts are the numbers of calls by kind. A watch counts once as a read and once as a watch, however long it waits.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// maxHistory is the number of past changes that are kept. A watch from an older revision gets status 410.
const maxHistory = 10_000

// maxBodyBytes limits the body of a PUT of an object.
const maxBodyBytes = 1 << 20

type key struct{ kind, name string }

// API is the fake object API. It is safe for concurrent use.
type API struct {
	mu       sync.Mutex
	revision uint64
	objects  map[key]wire.Object
	history  []wire.Object
	hosts    wire.HostList
	faults   Faults
	counts   Counts
	// changed is closed and replaced to wake the waiting watches.
	changed chan struct{}
}

// New returns an API without objects, hosts and faults.
func New() *API {
	return &API{objects: map[key]wire.Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (a *API) SetFaults(f Faults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = f
	a.notifyWatchers()
}

// Counts returns the numbers of calls since New.
func (a *API) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

// SetHosts replaces the list of hosts and increments its revision.
func (a *API) SetHosts(hosts []wire.HostEntry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hosts = wire.HostList{Revision: a.hosts.Revision + 1, Hosts: hosts}
}

// notifyWatchers wakes the waiting watches. The caller holds a.mu.
func (a *API) notifyWatchers() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Handler returns the handler of the object API under /v1, and of the control routes /faults, /hosts and /counts,
// which faults don't affect.
func (a *API) Handler() http.Handler {
	e := echo.New()
	v1 := e.Group("/v1", a.injectFaults)
	v1.GET("/objects", a.list)
	v1.GET("/watch", a.watch)
	v1.GET("/objects/:kind/:name", a.get)
	v1.PUT("/objects/:kind/:name", a.put)
	v1.DELETE("/objects/:kind/:name", a.remove)
	v1.PUT("/status/:kind/:name", a.putStatus)
	v1.GET("/hosts", a.getHosts)
	e.PUT("/faults", a.putFaults)
	e.PUT("/hosts", a.putHosts)
	e.GET("/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, a.Counts()) })
	return e
}

func (a *API) putFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	a.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

func (a *API) putHosts(c echo.Context) error {
	var hosts []wire.HostEntry
	if err := json.NewDecoder(c.Request().Body).Decode(&hosts); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	a.SetHosts(hosts)
	return c.NoContent(http.StatusNoContent)
}

// injectFaults is middleware that counts a call and applies the injected faults to it.
func (a *API) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		a.mu.Lock()
		f := a.faults
		write := c.Request().Method != http.MethodGet
		if write {
			a.counts.Writes++
		} else {
			a.counts.Reads++
		}
		a.mu.Unlock()
		time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
		if f.Outage {
			return c.String(http.StatusServiceUnavailable, "outage")
		}
		if write && f.LoseResponses {
			w := &discardWriter{header: http.Header{}}
			c.Response().Writer = w
			if err := next(c); err != nil {
				return err
			}
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}

// visibleObjects returns the revision that reads see, and the objects as of it. The caller holds a.mu.
func (a *API) visibleObjects() (uint64, map[key]wire.Object) {
	stale := a.faults.StaleRevision
	if stale == 0 || stale >= a.revision {
		return a.revision, a.objects
	}
	out := map[key]wire.Object{}
	for _, o := range a.history {
		if o.Version <= stale {
			out[key{o.Kind, o.Name}] = o
		}
	}
	return stale, out
}

func (a *API) list(c echo.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	rev, objects := a.visibleObjects()
	l := object.Listing{Revision: rev, Objects: []wire.Object{}}
	for _, o := range objects {
		l.Objects = append(l.Objects, o)
	}
	return c.JSON(http.StatusOK, l)
}

func (a *API) watch(c echo.Context) error {
	since, err := strconv.ParseUint(c.QueryParam("since"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "since must be a revision")
	}
	wait, _ := strconv.Atoi(c.QueryParam("waitMillis"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	a.mu.Lock()
	a.counts.Watches++
	a.mu.Unlock()
	for {
		l, tooOld, outage, changed := a.changesSince(since)
		switch {
		case outage:
			return c.String(http.StatusServiceUnavailable, "outage")
		case tooOld:
			return c.String(http.StatusGone, "revision too old")
		case len(l.Objects) > 0:
			return c.JSON(http.StatusOK, l)
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.JSON(http.StatusOK, l)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// changesSince returns the visible changes after a revision. tooOld is set if the history no longer reaches back to it;
// changed is closed at the next write or change of faults.
func (a *API) changesSince(since uint64) (l object.Listing, tooOld, outage bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rev, _ := a.visibleObjects()
	l = object.Listing{Revision: rev, Objects: []wire.Object{}}
	if len(a.history) > 0 && a.history[0].Version > since+1 && len(a.history) >= maxHistory {
		return l, true, a.faults.Outage, a.changed
	}
	for _, o := range a.history {
		if o.Version > since && o.Version <= rev {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, false, a.faults.Outage, a.changed
}

func (a *API) get(c echo.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, objects := a.visibleObjects()
	o, ok := objects[key{c.Param("kind"), c.Param("name")}]
	if !ok {
		return c.String(http.StatusNotFound, "no such object")
	}
	return c.JSON(http.StatusOK, o)
}

func (a *API) put(c echo.Context) error {
	var o wire.Object
	body := http.MaxBytesReader(nil, c.Request().Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&o); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	o.Kind, o.Name, o.Deleted, o.Status = c.Param("kind"), c.Param("name"), false, nil
	return a.write(c, o)
}

func (a *API) remove(c echo.Context) error {
	var o wire.Object
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	return a.write(c, wire.Object{Kind: c.Param("kind"), Name: c.Param("name"), Deleted: true, WriteID: o.WriteID})
}

// write stores or deletes an object if its version equals the query parameter ifVersion. ifVersion 0 creates an object that
// does not exist or is deleted. Otherwise it responds with status 409 and the stored object.
func (a *API) write(c echo.Context, o wire.Object) error {
	ifVersion, err := strconv.ParseUint(c.QueryParam("ifVersion"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "ifVersion must be a version")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	k := key{o.Kind, o.Name}
	old, ok := a.objects[k]
	current := old.Version
	if ok && old.Deleted && ifVersion == 0 {
		current = 0
	}
	if current != ifVersion {
		return c.JSON(http.StatusConflict, old)
	}
	if o.Deleted && !ok {
		return c.String(http.StatusNotFound, "no such object")
	}
	a.revision++
	o.Version = a.revision
	if !o.Deleted {
		o.Status = old.Status
	}
	a.objects[k] = o
	a.history = append(a.history, o)
	if len(a.history) > maxHistory {
		a.history = a.history[1:]
	}
	a.notifyWatchers()
	return c.JSON(http.StatusOK, o)
}

func (a *API) putStatus(c echo.Context) error {
	var st wire.Status
	if err := json.NewDecoder(c.Request().Body).Decode(&st); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	ifVersion, err := strconv.ParseUint(c.QueryParam("ifVersion"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "ifVersion must be a version")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	k := key{c.Param("kind"), c.Param("name")}
	o, ok := a.objects[k]
	if !ok || o.Deleted {
		return c.String(http.StatusNotFound, "no such object")
	}
	if statusVersion(o) != ifVersion {
		return c.JSON(http.StatusConflict, o)
	}
	st.Version = ifVersion + 1
	o.Status = &st
	a.objects[k] = o
	return c.JSON(http.StatusOK, o)
}

// statusVersion returns the version of an object's status, 0 if it has none.
func statusVersion(o wire.Object) uint64 {
	if o.Status == nil {
		return 0
	}
	return o.Status.Version
}

func (a *API) getHosts(c echo.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.JSON(http.StatusOK, a.hosts)
}
