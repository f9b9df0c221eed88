package cmds

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"rosemarygrade.dev/edged/pkg/gossip"
	"rosemarygrade.dev/edged/pkg/meter"
	"rosemarygrade.dev/edged/pkg/watch"
	"rosemarygrade.dev/lib/pkg/admin"
)

// pathMetrics is the path of the counters and histograms, which are served as text.
const pathMetrics = "/metrics"

// dump is the state of the process that operators read as JSON.
type dump struct {
	Host          string `json:"host"`
	DataCentre    string `json:"dataCentre"`
	Ready         bool   `json:"ready"`
	ConfigVersion uint64 `json:"configVersion"`
	Backends      int    `json:"backends"`
	InFlight      int64  `json:"inFlight"`
	Waiting       int    `json:"waiting"`
	Watcher       bool   `json:"watcher"`
	// Revisions maps each topic to the store's revision of the newest change that this host has.
	Revisions map[string]uint64 `json:"revisions"`
	// SentBytes is what this host has sent to others since its start.
	SentBytes int64             `json:"sentBytes"`
	Hosts     map[string]string `json:"hosts"`
	// RequiresKeys reports whether requests on routes that are not public need a key.
	RequiresKeys  bool                `json:"requiresKeys"`
	Organisations []organisationState `json:"organisations,omitempty"`
	Memory        memoryDump          `json:"memory"`
	// Ramps are the ramp-ups of backend servers in progress, at most maxRamps.
	Ramps []rampDump `json:"ramps,omitempty"`
}

// Dump implements admin.Source.
func (p *process) Dump() any {
	now, v := time.Now(), p.state.View()
	d := dump{
		Host: p.settings.Host, DataCentre: p.settings.DataCentre, Ready: p.isReady(), Backends: v.Backends(),
		InFlight: p.proxy.InFlight(), Waiting: p.table.QueueLength(), Watcher: p.gossip.IsWatcher(now), Hosts: map[string]string{},
		Revisions: map[string]uint64{}, Memory: p.dumpMemory(now), Ramps: newRampDumps(p.table.Ramps(now)),
	}
	if v.Config() != nil {
		d.ConfigVersion = v.Config().Version()
		d.RequiresKeys, d.Organisations = v.Config().RequiresKeys(), p.organisationStates(v.Config())
	}
	for _, t := range watch.WatchedTopics() {
		d.Revisions[string(t)] = p.state.ContentRevision(t)
	}
	p.gossip.Traffic().Each(func(_ gossip.Distance, _ gossip.Section, n int64) { d.SentBytes += n })
	for _, h := range p.gossip.AliveHosts(now) {
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

// gossipSamples returns the metrics of what this host has sent to others.
func (p *process) gossipSamples() []meter.Sample {
	var out []meter.Sample
	traffic := p.gossip.Traffic()
	traffic.Each(func(d gossip.Distance, s gossip.Section, n int64) {
		out = append(out, meter.Sample{Family: meter.GossipBytes, Labels: fmt.Sprintf("part=%q,to=%q", s, d), Value: n})
	})
	for _, d := range gossip.Distances() {
		out = append(out, meter.Sample{Family: meter.GossipMessages, Labels: fmt.Sprintf("to=%q", d), Value: traffic.Messages(d)})
	}
	return out
}

// updateQuotaMetrics copies the counts of the quotas to the metrics.
func (p *process) updateQuotaMetrics() {
	c := p.quota.Counts()
	p.meter.Set(meter.QuotaGranted, c.Granted())
	p.meter.Set(meter.QuotaAsked, c.Asked())
	p.meter.Set(meter.QuotaLost, c.Lost())
	p.meter.Set(meter.QuotaReserve, c.Reserve())
	p.meter.Set(meter.QuotaRefused, c.Refused())
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
