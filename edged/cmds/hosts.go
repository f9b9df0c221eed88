package cmds

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"time"
)

// Numbers of hosts in the response to a look-up. Callers try the names one after the other, for up to a second each, so a short list
// is what lets them ask again soon when all of them have failed.
const (
	// maxNearHosts is how many hosts of the caller's data centre are named, spareHosts how many more of other data centres of its
	// region, which callers have at hand when their data centre fails as a whole.
	maxNearHosts = 3
	spareHosts   = 1
	// minNearHosts is the number of hosts of the caller's data centre below which the response is filled up to
	// maxNearHosts+spareHosts with hosts of the region.
	minNearHosts = 2
	// maxLookupLifetime is the longest time for which callers may keep a response, and so go on using a failed host.
	maxLookupLifetime = 2 * time.Second
)

// hostsFor returns the addresses of the hosts that a caller should use, and how long it may keep them.
func (p *process) hostsFor(now time.Time, region, dataCentre string) ([]string, time.Duration) {
	_, port, err := net.SplitHostPort(p.settings.CallerAddress)
	if err != nil {
		return nil, 0
	}
	c := candidates{region: region, dataCentre: dataCentre}
	if ip, err := netip.ParseAddr(p.settings.IP); err == nil && p.isReady() {
		c.add(p.settings.DataCentre, p.settings.Region, ip)
	}
	for _, h := range p.gossip.HostsForCallers(now) {
		c.add(h.DataCentre(), h.Region(), h.IP())
	}
	chosen := c.choose()
	addresses := make([]string, len(chosen))
	for i, ip := range chosen {
		addresses[i] = net.JoinHostPort(ip.String(), port)
	}
	return addresses, min(seconds(p.reloadable.Load().LookupLifetimeSeconds), maxLookupLifetime)
}

// candidates are the hosts that a response to a caller of a data centre may name.
type candidates struct {
	region, dataCentre                       string
	sameDataCentre, sameRegion, otherRegions []netip.Addr
}

func (c *candidates) add(dataCentre, region string, ip netip.Addr) {
	switch {
	case dataCentre == c.dataCentre:
		c.sameDataCentre = append(c.sameDataCentre, ip)
	case region == c.region:
		c.sameRegion = append(c.sameRegion, ip)
	default:
		c.otherRegions = append(c.otherRegions, ip)
	}
}

// choose returns a random choice of the hosts of the caller's data centre and spares of its region; hosts of other regions only if
// there is none of them.
func (c *candidates) choose() []netip.Addr {
	out := sample(c.sameDataCentre, maxNearHosts)
	spares := spareHosts
	if len(out) < minNearHosts {
		spares = maxNearHosts + spareHosts - len(out)
	}
	out = append(out, sample(c.sameRegion, spares)...)
	if len(out) == 0 {
		out = sample(c.otherRegions, maxNearHosts+spareHosts)
	}
	return out
}

// sample returns up to n random elements of the list, which it reorders.
func sample(list []netip.Addr, n int) []netip.Addr {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	n = min(n, len(list))
	return list[:n:n]
}
