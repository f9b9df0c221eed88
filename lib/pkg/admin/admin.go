// Package admin serves a process's state to operators over HTTP: state dump, metrics, liveness and readiness.
package admin

import (
	"expvar"
	"net/http"

	"github.com/labstack/echo/v4"
)

// Source is the process whose state is served.
type Source interface {
	// Dump returns the state as a value that can be encoded as JSON.
	Dump() any
	// Ready returns nil if the process is ready, and otherwise the reason why it is not.
	Ready() error
}

type readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Register adds the routes /debug/state, /debug/vars, /livez and /readyz to an HTTP server.
func Register(e *echo.Echo, src Source) {
	e.GET("/debug/state", func(c echo.Context) error { return c.JSONPretty(http.StatusOK, src.Dump(), "  ") })
	e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	e.GET("/livez", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", func(c echo.Context) error {
		if err := src.Ready(); err != nil {
			return c.JSON(http.StatusServiceUnavailable, readiness{Reason: err.Error()})
		}
		return c.JSON(http.StatusOK, readiness{Ready: true})
	})
}
