package cmds

import (
	"slices"
	"time"

	"rosemarygrade.dev/lib/pkg/config"
)

// Settings are the settings of an edged process. Times are in seconds.
type Settings struct {
	// Host is the name of the host.
	Host string `json:"host"`
	// IP is the IP address of the host.
	IP string `json:"ip"`
	// DataCentre is the data centre of the host.
	DataCentre string `json:"dataCentre"`
	// Region is the region of the data centre.
	Region string `json:"region"`
	// Regions gives the region of each data centre.
	Regions map[string]string `json:"regions"`
	// CallerAddress is the IP:port at which callers send requests.
	CallerAddress string `json:"callerAddress"`
	// ReadyAddress is the IP:port for the platform's readiness check.
	ReadyAddress string `json:"readyAddress"`
	// LookupAddress is the IP:port for look-ups.
	LookupAddress string `json:"lookupAddress"`
	// AdminAddress is the IP:port for operators.
	AdminAddress string `json:"adminAddress"`
	// PeerPorts are the first and the last port for connections between processes of the system. The first is for the exchange of state, the
	// last for the quotas of organisations.
	PeerPorts []int `json:"peerPorts"`
	// MetricsPort is the port of the metrics, on the host's IP.
	MetricsPort int `json:"metricsPort"`
	// Seeds are the addresses of hosts through which this one finds the others; some may be out of date.
	Seeds []string `json:"seeds"`
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string `json:"storeAddress"`
	// MemoryMegabytes is the memory that the process may use.
	MemoryMegabytes int `json:"memoryMegabytes"`
	// MaxDescriptors is the number of file descriptors that the process may open.
	MaxDescriptors int `json:"maxDescriptors"`
	// GraceSeconds is the time from SIGTERM to SIGKILL.
	GraceSeconds float64 `json:"graceSeconds"`
	// RepeatRatio, RepeatWindowSeconds and RepeatSlack bound the retries of all hosts together: in a sliding window, each
	// request earns RepeatRatio retries, and RepeatSlack retries are free.
	RepeatRatio         float64 `json:"repeatRatio"`
	RepeatWindowSeconds float64 `json:"repeatWindowSeconds"`
	RepeatSlack         float64 `json:"repeatSlack"`
	// LookupLifetimeSeconds is the longest time for which callers keep the response to a look-up.
	LookupLifetimeSeconds float64 `json:"lookupLifetimeSeconds"`
}

// NewSettings returns settings with the defaults.
func NewSettings() *Settings {
	return &Settings{
		MemoryMegabytes: defaultMemory, MaxDescriptors: defaultDescriptors, GraceSeconds: defaultGrace, RepeatRatio: defaultRatio,
		RepeatWindowSeconds: defaultWindow, LookupLifetimeSeconds: defaultLifetime,
	}
}

// Defaults and limits of the settings. The defaults take the place of bounds that the platform states, and apply where the
// deployment sets none.
const (
	defaultMemory      = 256
	defaultDescriptors = 4096
	defaultGrace       = 6
	defaultRatio       = 0.1
	defaultWindow      = 10
	defaultLifetime    = 2
	maxMemory          = 1 << 20
	// minDescriptors leaves some connections to each server beside the descriptors that are reserved for files.
	minDescriptors = 300
	maxDescriptors = 1 << 20
	maxSeeds       = 1000
	maxPort        = 65535
	peerPortCount  = 2
)

// Check implements config.Settings.
func (s *Settings) Check() error {
	var c config.Checker
	c.Name("host", s.Host)
	c.Name("dataCentre", s.DataCentre)
	c.Name("region", s.Region)
	c.Address("callerAddress", s.CallerAddress)
	c.Address("readyAddress", s.ReadyAddress)
	c.Address("lookupAddress", s.LookupAddress)
	c.Address("adminAddress", s.AdminAddress)
	c.Address("storeAddress", s.StoreAddress)
	c.Address("ip", s.IP+":1")
	c.Addresses("seeds", s.Seeds)
	c.Range("seeds", len(s.Seeds), 0, maxSeeds)
	c.Range("memoryMegabytes", s.MemoryMegabytes, 1, maxMemory)
	c.Range("maxDescriptors", s.MaxDescriptors, minDescriptors, maxDescriptors)
	c.Range("metricsPort", s.MetricsPort, 1, maxPort)
	c.Range("peerPorts", len(s.PeerPorts), peerPortCount, peerPortCount)
	for _, p := range s.PeerPorts {
		c.Range("peerPorts", p, 1, maxPort)
	}
	// Each of the two is bound.
	c.Range("peerPorts", len(slices.Compact(slices.Sorted(slices.Values(s.PeerPorts)))), peerPortCount, peerPortCount)
	c.Positive("graceSeconds", s.GraceSeconds)
	c.Positive("repeatWindowSeconds", s.RepeatWindowSeconds)
	c.Positive("lookupLifetimeSeconds", s.LookupLifetimeSeconds)
	return c.Err()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
