package cmds

import "rosemarygrade.dev/lib/pkg/config"

// Settings are the settings of an entryd.
type Settings struct {
	// Host is the name of the host.
	Host string `json:"host"`
	// DataCentre is where the host stands.
	DataCentre string `json:"dataCentre"`
	// Region is the region of the data centre.
	Region string `json:"region"`
	// CallerAddress is the IP:port at which callers send requests.
	CallerAddress string `json:"callerAddress"`
	// PeerAddress is the IP:port for the system's own processes.
	PeerAddress string `json:"peerAddress"`
	// AdminAddress is the IP:port for operators.
	AdminAddress string `json:"adminAddress"`
	// Steerds are peer addresses of steerds, the own host's first.
	Steerds []string `json:"steerds"`
	// LameDuckMillis is how long a stopping process still takes requests, so that callers' look-ups run out.
	LameDuckMillis int `json:"lameDuckMillis"`
	// StopMillis is how long a stopping process waits for requests; then it cuts them. 0 waits for all.
	StopMillis int `json:"stopMillis"`
}

// Defaults and limits of the settings.
const (
	defaultLameDuckMillis = 4000
	maxMillis             = 86_400_000
)

// NewSettings returns the defaults.
func NewSettings() *Settings { return &Settings{LameDuckMillis: defaultLameDuckMillis} }

// Check implements config.Settings.
func (s *Settings) Check() error {
	var c config.Checker
	c.Name("host", s.Host)
	c.Name("dataCentre", s.DataCentre)
	c.Name("region", s.Region)
	c.Address("callerAddress", s.CallerAddress)
	c.Address("peerAddress", s.PeerAddress)
	c.Address("adminAddress", s.AdminAddress)
	c.Addresses("steerds", s.Steerds)
	c.Range("steerds", len(s.Steerds), 1, maxSteerds)
	c.Millis("lameDuckMillis", s.LameDuckMillis, 0, maxMillis)
	c.Millis("stopMillis", s.StopMillis, 0, maxMillis)
	return c.Err()
}

// maxSteerds is how many steerds may be listed.
const maxSteerds = 1000
