package cmds

import "rosemarygrade.dev/lib/pkg/config"

// Settings are the settings of a steerd.
type Settings struct {
	// Host is the name of the host.
	Host string `json:"host"`
	// DataCentre is the data centre of the host.
	DataCentre string `json:"dataCentre"`
	// Region is the region of the data centre.
	Region string `json:"region"`
	// LookupAddress is the IP:port that serves callers' look-ups.
	LookupAddress string `json:"lookupAddress"`
	// PeerAddress is the IP:port that serves other steerds and entryds.
	PeerAddress string `json:"peerAddress"`
	// AdminAddress is the IP:port that serves operators.
	AdminAddress string `json:"adminAddress"`
	// PlatformAddress is the IP:port of the platform's object API.
	PlatformAddress string `json:"platformAddress"`
	// Seeds are peer addresses of other steerds.
	Seeds []string `json:"seeds"`
	// GossipMillis is the time between two gossip rounds.
	GossipMillis int `json:"gossipMillis"`
	// DeadMillis is how long after its last heartbeat a member of the local data centre counts as failed.
	DeadMillis int `json:"deadMillis"`
	// CentreDeadMillis is how long after its last update the summary of another data centre is used.
	CentreDeadMillis int `json:"centreDeadMillis"`
	// WatchersPerRegion is the number of steerds that watch the platform in each region.
	WatchersPerRegion int `json:"watchersPerRegion"`
	// LookupTTLMillis is how long a caller may use the answer to a look-up.
	LookupTTLMillis int `json:"lookupTtlMillis"`
}

// Defaults and limits of the settings.
const (
	defaultGossipMillis     = 1000
	defaultDeadMillis       = 4000
	defaultCentreDeadMillis = 20_000
	defaultWatchers         = 2
	defaultTTLMillis        = 2000
	minMillis               = 10
	maxMillis               = 3_600_000
	maxWatchers             = 10
)

// NewSettings returns settings with the defaults.
func NewSettings() *Settings {
	return &Settings{
		GossipMillis: defaultGossipMillis, DeadMillis: defaultDeadMillis,
		CentreDeadMillis: defaultCentreDeadMillis, WatchersPerRegion: defaultWatchers,
		LookupTTLMillis: defaultTTLMillis,
	}
}

// Check implements config.Settings.
func (s *Settings) Check() error {
	var c config.Checker
	c.Name("host", s.Host)
	c.Name("dataCentre", s.DataCentre)
	c.Name("region", s.Region)
	c.Address("lookupAddress", s.LookupAddress)
	c.Address("peerAddress", s.PeerAddress)
	c.Address("adminAddress", s.AdminAddress)
	c.Address("platformAddress", s.PlatformAddress)
	c.Addresses("seeds", s.Seeds)
	c.Millis("gossipMillis", s.GossipMillis, minMillis, maxMillis)
	c.Millis("deadMillis", s.DeadMillis, 2*s.GossipMillis, maxMillis)
	c.Millis("centreDeadMillis", s.CentreDeadMillis, s.DeadMillis, maxMillis)
	c.Range("watchersPerRegion", s.WatchersPerRegion, 1, maxWatchers)
	c.Millis("lookupTtlMillis", s.LookupTTLMillis, minMillis, maxMillis)
	return c.Err()
}
