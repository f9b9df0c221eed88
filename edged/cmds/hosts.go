package cmds

import (
	"net"
	"time"

	"rosemarygrade.dev/edged/pkg/gossip"
)

// fewestHosts is how many hosts a look-up names at least, as far as there are: one may die while callers
// keep the answer.
const fewestHosts = 2

// hostsFor returns the addresses of the hosts that a caller should use: those of its data centre, then of
// its region, then all.
func (p *process) hostsFor(now time.Time, region, dataCentre string) ([]string, time.Duration) {
	var here, near, far []string
	add := func(hostDC, hostRegion, ip string) {
		_, port, err := net.SplitHostPort(p.settings.CallerAddress)
		if err != nil {
			return
		}
		address := net.JoinHostPort(ip, port)
		switch {
		case hostDC == dataCentre:
			here = append(here, address)
		case hostRegion == region:
			near = append(near, address)
		default:
			far = append(far, address)
		}
	}
	if p.isReady() {
		add(p.settings.DataCentre, p.settings.Region, p.settings.IP)
	}
	for _, h := range p.mesh.AliveHosts(now) {
		if h.Serving() {
			add(h.DataCentre(), h.Region(), hostIP(h))
		}
	}
	lifetime := seconds(p.reloaded.Load().LookupLifetimeSeconds)
	out := here
	if len(out) < fewestHosts {
		out = append(out, near...)
	}
	if len(out) == 0 {
		out = far
	}
	return out, min(lifetime, lookupLife)
}

// lookupLife is how long callers keep an answer: a dead host is named no longer than that.
const lookupLife = 2 * time.Second

func hostIP(h gossip.Host) string {
	ip, _, err := net.SplitHostPort(h.Address())
	if err != nil {
		return ""
	}
	return ip
}
