package cmds

import (
	"net"
	"time"

	"rosemarygrade.dev/edged/pkg/gossip"
)

// minLookupHosts is the minimum number of hosts in the response to a look-up, if the caller's region has as many: one may
// fail while callers keep the response.
const minLookupHosts = 2

// hostsFor returns the addresses of the hosts that a caller should use, and how long it may keep them. They are the
// hosts of its data centre; if these are fewer than minLookupHosts, also those of its region; if there are none, those
// of other regions.
func (p *process) hostsFor(now time.Time, region, dataCentre string) ([]string, time.Duration) {
	var sameDataCentre, sameRegion, otherRegions []string
	add := func(hostDC, hostRegion, ip string) {
		_, port, err := net.SplitHostPort(p.settings.CallerAddress)
		if err != nil {
			return
		}
		address := net.JoinHostPort(ip, port)
		switch {
		case hostDC == dataCentre:
			sameDataCentre = append(sameDataCentre, address)
		case hostRegion == region:
			sameRegion = append(sameRegion, address)
		default:
			otherRegions = append(otherRegions, address)
		}
	}
	if p.isReady() {
		add(p.settings.DataCentre, p.settings.Region, p.settings.IP)
	}
	for _, h := range p.gossip.AliveHosts(now) {
		if h.Serving() {
			add(h.DataCentre(), h.Region(), hostIP(h))
		}
	}
	lifetime := seconds(p.reloadable.Load().LookupLifetimeSeconds)
	out := sameDataCentre
	if len(out) < minLookupHosts {
		out = append(out, sameRegion...)
	}
	if len(out) == 0 {
		out = otherRegions
	}
	return out, min(lifetime, maxLookupLifetime)
}

// maxLookupLifetime is the longest time for which callers may keep a response, and so go on using a failed host.
const maxLookupLifetime = 2 * time.Second

func hostIP(h gossip.Host) string {
	ip, _, err := net.SplitHostPort(h.Address())
	if err != nil {
		return ""
	}
	return ip
}
