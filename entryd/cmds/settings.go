package cmds

import "rosemarygrade.dev/lib/pkg/config"

// Settings holds the settings of entryd.
type Settings struct {
	// Host is the name of the host.
	Host string `json:"host"`
	// DataCentre is the data centre of the host.
	DataCentre string `json:"dataCentre"`
	// Region is the region of the data centre.
	Region string `json:"region"`
	// CallerAddress is the IP:port that accepts callers' requests.
	CallerAddress string `json:"callerAddress"`
	// PeerAddress is the IP:port that accepts connections of the system's other processes.
	PeerAddress string `json:"peerAddress"`
	// AdminAddress is the IP:port of the HTTP server for operators.
	AdminAddress string `json:"adminAddress"`
	// Steerds are the peer addresses of steerd processes. The one of the same host comes first.
	Steerds []string `json:"steerds"`
	// LameDuckMillis is the time in milliseconds for which a stopping process still accepts requests,
	// so that callers' look-ups expire before it rejects them.
	LameDuckMillis int `json:"lameDuckMillis"`
	// StopMillis is the time in milliseconds after which a stopping process aborts the requests in
	// flight. 0 means no limit.
	StopMillis int `json:"stopMillis"`
}

// Defaults and limits of the settings, in milliseconds.
const (
	defaultLameDuckMillis = 4000
	maxMillis             = 86_400_000
)

// NewSettings returns the default settings.
func NewSettings() *Settings { return &Settings{LameDuckMillis: defaultLameDuckMillis} }

// Check implements config.Settings. It returns the first error, which names the setting.
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

// maxSteerds is the largest number of entries in Steerds.
const maxSteerds = 1000
