package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec" //nolint:house // The soak starts the programs that it tests, and ends only those.
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/platform/adapt"
	"rosemarygrade.dev/platform/fake"
	"rosemarygrade.dev/soak/pkg/relay"
)

// dataCentres are the data centres of the fleet; the first two are in one region.
var dataCentres = []string{"north-a", "north-b", "south-a"}

var regions = map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}

// Sizes and durations of the fleet.
const (
	serversPerDataCentre = 2
	slots                = 4
	maxServiceTime       = 40 * time.Millisecond
	restartDelay         = 300 * time.Millisecond
	portsPerHost         = 7
	service              = "alpha"
	fileMode             = 0o600
	dirMode              = 0o700
)

// fleet holds the edged processes, and the fake store and fake backend servers that they use.
type fleet struct {
	store       *fake.Store
	storeServer *http.Server
	servers     []*fake.BackendServer
	// links[i] relays connections to servers[i], and storeLink those to the store.
	links     []*relay.Relay
	storeLink *relay.Relay
	program   string
	logs      string
	// dir holds the settings files; basePort is the first port of each host.
	dir      string
	basePort int

	mu      sync.Mutex
	version int
	// headerBytes is the limit of a request's headers in the configuration.
	headerBytes int
	hosts       []*host
}

// allHosts returns the hosts whose processes were started.
func (f *fleet) allHosts() []*host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.hosts)
}

// host is one edged process, with its addresses and its settings file.
type host struct {
	name, callerAddress, readyAddress, settingsPath string

	mu      sync.Mutex
	command *exec.Cmd
	faulted bool
	faults  int
}

// isFaulted reports whether the host is killed or suspended now.
func (h *host) isFaulted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faulted
}

// faultCount returns how often the host has been killed or suspended.
func (h *host) faultCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faults
}

func (h *host) setFaulted(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faulted = on
	if on {
		h.faults++
	}
}

// startFleet starts the fleet of a plan. If a step fails, it ends what it has started.
func startFleet(ctx context.Context, p Plan, dir string) (*fleet, error) {
	f := &fleet{store: fake.NewStore(), program: p.Program, logs: p.Logs, dir: dir, headerBytes: fake.DefaultHeaderBytes}
	if err := f.start(ctx, p); err != nil {
		f.signalAll(syscall.SIGKILL)
		// The processes were killed, so that their ends are errors.
		_ = f.shutDown()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, p Plan) error {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return fault.Wrap("store", KindStart, err)
	}
	f.storeServer = &http.Server{Handler: f.store, ReadHeaderTimeout: readyTimeout}
	go func() { _ = f.storeServer.Serve(l) }()
	if f.storeLink, err = relay.New(ctx, l.Addr().String()); err != nil {
		return fault.Wrap("store", KindStart, err)
	}
	f.writeConfig()
	for i := range serversPerDataCentre * len(dataCentres) {
		s, err := fake.NewBackendServer(fmt.Sprintf("i-%d", i), "127.0.0.1")
		if err != nil {
			return fault.Wrap("backend server", KindStart, err)
		}
		s.SetServiceTime(maxServiceTime * time.Duration(i+1) / time.Duration(serversPerDataCentre*len(dataCentres)))
		link, err := relay.New(ctx, s.Address())
		if err != nil {
			s.Close()
			return fault.Wrap("backend server", KindStart, err)
		}
		f.servers, f.links = append(f.servers, s), append(f.links, link)
		f.setServerState(i, "ready")
	}
	if f.basePort, err = freeBasePort(ctx); err != nil {
		return err
	}
	for range max(p.Hosts, 2) {
		if _, err := f.addHost(); err != nil {
			return err
		}
	}
	return f.waitReady(ctx, readyTimeout, f.allHosts()...)
}

// addHost starts the process of one more host.
func (f *fleet) addHost() (*host, error) {
	h, err := writeSettings(f.dir, f.storeLink.Address(), len(f.allHosts()), f.basePort)
	if err != nil {
		return nil, err
	}
	if err := f.startHost(h); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = append(f.hosts, h)
	return h, nil
}

// freeBasePort returns the first of the consecutive ports that each host uses on its own loopback address.
func freeBasePort(ctx context.Context) (int, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return 0, fault.Wrap("port", KindStart, err)
	}
	addr, isTCP := l.Addr().(*net.TCPAddr)
	if err := l.Close(); err != nil || !isTCP {
		return 0, fault.Wrap("port", KindStart, errors.Join(err, errors.New("no port")))
	}
	return min(addr.Port, 65535-portsPerHost), nil
}

func writeSettings(dir, store string, i, base int) (*host, error) {
	ip := fmt.Sprintf("127.0.77.%d", 10+i)
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, base+n) }
	dataCentre := dataCentres[i%len(dataCentres)]
	h := &host{name: fmt.Sprintf("host-%d", i), callerAddress: at(0), readyAddress: at(1)}
	data, err := json.Marshal(map[string]any{
		"host": h.name, "ip": ip, "dataCentre": dataCentre, "region": regions[dataCentre], "regions": regions, "storeAddress": store,
		"callerAddress": at(0), "readyAddress": at(1), "lookupAddress": at(2), "adminAddress": at(3), "metricsPort": base + 4,
		"peerPorts": []int{base + 5, base + 6}, "seeds": []string{fmt.Sprintf("127.0.77.10:%d", base+3)}, "repeatSlack": 60,
	})
	if err != nil {
		return nil, fault.Wrap("settings", KindStart, err)
	}
	h.settingsPath = filepath.Join(dir, h.name+".json")
	if err := os.WriteFile(h.settingsPath, data, fileMode); err != nil {
		return nil, fault.Wrap("settings", KindStart, err)
	}
	return h, nil
}

// startHost starts the process of h and appends its output to a file if the plan names a directory for logs.
func (f *fleet) startHost(h *host) error {
	out := io.Discard
	if f.logs != "" {
		if err := os.MkdirAll(f.logs, dirMode); err != nil {
			return fault.Wrap("log", KindStart, err)
		}
		file, err := os.OpenFile(filepath.Join(f.logs, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
		if err != nil {
			return fault.Wrap("log", KindStart, err)
		}
		out = file
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.command = exec.Command(f.program, "--settings", h.settingsPath) //nolint:noctx // The process outlives the context of each call.
	h.command.Stdout, h.command.Stderr = out, out
	if err := h.command.Start(); err != nil {
		return fault.Wrap("start "+h.name, KindStart, err)
	}
	return nil
}

// waitReady waits until all of the hosts are ready, or returns an error after the timeout.
func (f *fleet) waitReady(ctx context.Context, timeout time.Duration, hosts ...*host) error {
	client := &http.Client{Timeout: time.Second}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for ; ctx.Err() == nil; sleep(ctx, restartDelay) {
		ready := 0
		for _, h := range hosts {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.readyAddress+adapt.PathReady, nil)
			if err != nil {
				return fault.Wrap("ready", KindStart, err)
			}
			if resp, err := client.Do(r); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == statusOK {
					ready++
				}
			}
		}
		if ready == len(hosts) {
			return nil
		}
	}
	return fault.New("ready", KindStart, "not all hosts became ready")
}

// writeConfig stores the configuration under a new version, otherwise unchanged.
func (f *fleet) writeConfig() {
	f.mu.Lock()
	f.version++
	version, headerBytes := f.version, f.headerBytes
	f.mu.Unlock()
	const timeout = 2
	f.store.Set(fake.KindConfig, fake.NameConfig, fake.ConfigWithHeaderLimit(version, headerBytes,
		fake.Route{Prefix: "/read/", Idempotent: true, Service: service, Timeout: timeout},
		fake.Route{Prefix: "/write/", Service: service, Timeout: timeout}))
}

// setHeaderLimit stores a configuration with another limit of a request's headers.
func (f *fleet) setHeaderLimit(bytes int) {
	f.mu.Lock()
	f.headerBytes = bytes
	f.mu.Unlock()
	f.writeConfig()
}

// setServerState stores the entry of the i-th backend server, with the state that it advertises.
func (f *fleet) setServerState(i int, state string) {
	f.store.Set(fake.KindBackends, fmt.Sprintf("i-%d", i), f.servers[i].SpecWithAddress(f.links[i].Address(), service, dataCentres[i%len(dataCentres)], state, slots))
}

// signal sends a signal to a host's process.
func (f *fleet) signal(h *host, s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.command.Process.Signal(s)
}

// restart ends a host's process by a signal and starts it again. The host counts as faulted after SIGKILL, but not during a planned stop.
func (f *fleet) restart(ctx context.Context, h *host, s syscall.Signal) {
	if s == syscall.SIGKILL {
		h.setFaulted(true)
	}
	f.signal(h, s)
	h.mu.Lock()
	command := h.command
	h.mu.Unlock()
	_ = command.Wait()
	sleep(ctx, restartDelay)
	if f.startHost(h) == nil {
		h.setFaulted(false)
	}
}

// restartAll kills and restarts all hosts in parallel.
func (f *fleet) restartAll(ctx context.Context) {
	var group sync.WaitGroup
	for _, h := range f.allHosts() {
		group.Go(func() { f.restart(ctx, h, syscall.SIGKILL) })
	}
	group.Wait()
}

// suspend stops a host's process by SIGSTOP and continues it after d.
func (f *fleet) suspend(ctx context.Context, h *host, d time.Duration) {
	h.setFaulted(true)
	f.signal(h, syscall.SIGSTOP)
	sleep(ctx, d)
	f.signal(h, syscall.SIGCONT)
	h.setFaulted(false)
}

// receivedTargets returns the targets with which a request arrived at the backend servers that ran it.
func (f *fleet) receivedTargets(id string) []string {
	var out []string
	for _, s := range f.servers {
		if target := s.ReceivedTarget(id); target != "" {
			out = append(out, target)
		}
	}
	return out
}

// runCount returns how often a request ran, summed over all backend servers.
func (f *fleet) runCount(id string) int {
	n := 0
	for _, s := range f.servers {
		n += s.Runs(id)
	}
	return n
}

func (f *fleet) signalAll(s syscall.Signal) {
	for _, h := range f.allHosts() {
		f.signal(h, s)
	}
}

// shutDown stops all processes by SIGTERM, and the relays and fake servers.
func (f *fleet) shutDown() error {
	f.signalAll(syscall.SIGTERM)
	var errs []error
	for _, h := range f.allHosts() {
		errs = append(errs, h.command.Wait())
	}
	for i, s := range f.servers {
		f.links[i].Close()
		s.Close()
	}
	if f.storeLink != nil {
		f.storeLink.Close()
	}
	if f.storeServer != nil {
		errs = append(errs, f.storeServer.Close())
	}
	return errors.Join(errs...)
}
