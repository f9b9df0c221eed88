package cmds

import (
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"rosemarygrade.dev/lib/pkg/admin"
)

// pathMetrics is where counters and times are read as text.
const pathMetrics = "/metrics"

// dump is the state of the process as operators see it.
type dump struct {
	Host          string            `json:"host"`
	DataCentre    string            `json:"dataCentre"`
	Ready         bool              `json:"ready"`
	ConfigVersion uint64            `json:"configVersion"`
	Backends      int               `json:"backends"`
	InFlight      int64             `json:"inFlight"`
	Waiting       int               `json:"waiting"`
	Watcher       bool              `json:"watcher"`
	Hosts         map[string]string `json:"hosts"`
}

// Dump implements admin.Source.
func (p *process) Dump() any {
	now, v := time.Now(), p.state.View()
	d := dump{
		Host: p.settings.Host, DataCentre: p.settings.DataCentre, Ready: p.isReady(), Backends: v.Backends(),
		InFlight: p.gate.InFlight(), Waiting: p.table.QueueLength(), Watcher: p.mesh.IsWatcher(now), Hosts: map[string]string{},
	}
	if v.Config() != nil {
		d.ConfigVersion = v.Config().Version()
	}
	for _, h := range p.mesh.AliveHosts(now) {
		d.Hosts[h.Name()] = h.DataCentre()
	}
	return d
}

// Ready implements admin.Source.
func (p *process) Ready() error {
	switch {
	case p.stopping.Load():
		return errors.New("stopping")
	case p.state.View().Config() == nil:
		return errors.New("no configuration is known")
	default:
		return nil
	}
}

func (p *process) adminHandler() http.Handler {
	e := echo.New()
	admin.Register(e, p)
	e.GET(pathMetrics, func(c echo.Context) error {
		c.Response().Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, err := p.meter.WriteTo(c.Response())
		return err
	})
	return e
}
