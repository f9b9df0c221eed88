// Package admin serves a process's state to operators: dump, metrics, liveness and readiness.
package admin

import (
	"expvar"
	"net/http"

	"github.com/labstack/echo/v4"
)

// Source is the process that is shown.
type Source interface {
	// Dump returns the state as a value that JSON can hold.
	Dump() any
	// Ready returns why the process is not ready, or nil.
	Ready() error
}

type answer struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Register adds the operator's routes to an HTTP server.
func Register(e *echo.Echo, src Source) {
	e.GET("/debug/state", func(c echo.Context) error { return c.JSONPretty(http.StatusOK, src.Dump(), "  ") })
	e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	e.GET("/livez", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", func(c echo.Context) error {
		if err := src.Ready(); err != nil {
			return c.JSON(http.StatusServiceUnavailable, answer{Reason: err.Error()})
		}
		return c.JSON(http.StatusOK, answer{Ready: true})
	})
}
