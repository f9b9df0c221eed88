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
	"sync"
	"syscall"
	"time"

	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/platform/adapt"
	"rosemarygrade.dev/platform/fake"
	"rosemarygrade.dev/soak/pkg/relay"
)

// zones are the data centres; the first two are of one region.
var zones = []string{"north-a", "north-b", "south-a"}

var regions = map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}

// Figures of the fleet.
const (
	targetsEach = 2
	slots       = 4
	workMost    = 40 * time.Millisecond
	restartWait = 300 * time.Millisecond
	portsEach   = 7
	service     = "alpha"
	fileMode    = 0o600
)

// fleet is the processes and what stands around them.
type fleet struct {
	store   *fake.Store
	server  *http.Server
	targets []*fake.BackendServer
	// links stand before the backend servers, and storeLink before the store.
	links     []*relay.Relay
	storeLink *relay.Relay
	hosts     []*host
	program   string
	logs      string

	mu      sync.Mutex
	version int
}

// host is one process and how to start it again.
type host struct {
	name, caller, ready, settings string

	mu      sync.Mutex
	command *exec.Cmd
	broken  bool
	breaks  int
}

// hurt tells whether the host is killed or suspended now; hurts counts how often it was.
func (h *host) hurt() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.broken
}

func (h *host) hurts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.breaks
}

func (h *host) setHurt(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broken = on
	if on {
		h.breaks++
	}
}

func startFleet(ctx context.Context, p Plan, dir string) (*fleet, error) {
	f := &fleet{store: fake.NewStore(), program: p.Program, logs: p.Logs}
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap("store", KindStart, err)
	}
	f.server = &http.Server{Handler: f.store, ReadHeaderTimeout: readyWait}
	go func() { _ = f.server.Serve(l) }()
	if f.storeLink, err = relay.New(ctx, l.Addr().String()); err != nil {
		return nil, fault.Wrap("store", KindStart, err)
	}
	f.configure()
	for i := range targetsEach * len(zones) {
		t, err := fake.NewBackendServer(fmt.Sprintf("i-%d", i), "127.0.0.1")
		if err != nil {
			return nil, fault.Wrap("backend server", KindStart, err)
		}
		t.SetServiceTime(workMost * time.Duration(i+1) / time.Duration(targetsEach*len(zones)))
		link, err := relay.New(ctx, t.Address())
		if err != nil {
			return nil, fault.Wrap("backend server", KindStart, err)
		}
		f.targets, f.links = append(f.targets, t), append(f.links, link)
		f.declare(i, "ready")
	}
	base, err := freeBase(ctx)
	if err != nil {
		return nil, err
	}
	for i := range max(p.Hosts, 2) {
		h, err := writeSettings(dir, f.storeLink.Address(), i, base)
		if err != nil {
			return nil, err
		}
		f.hosts = append(f.hosts, h)
		if err := f.start(h); err != nil {
			return nil, err
		}
	}
	return f, f.await(ctx)
}

// freeBase returns a port from which the ports of a host are counted.
func freeBase(ctx context.Context) (int, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return 0, fault.Wrap("port", KindStart, err)
	}
	addr, isTCP := l.Addr().(*net.TCPAddr)
	if err := l.Close(); err != nil || !isTCP {
		return 0, fault.Wrap("port", KindStart, errors.Join(err, errors.New("no port")))
	}
	return min(addr.Port, 65535-portsEach), nil
}

func writeSettings(dir, store string, i, base int) (*host, error) {
	ip := fmt.Sprintf("127.0.77.%d", 10+i)
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, base+n) }
	zone := zones[i%len(zones)]
	h := &host{name: fmt.Sprintf("host-%d", i), caller: at(0), ready: at(1)}
	data, err := json.Marshal(map[string]any{
		"host": h.name, "ip": ip, "dataCentre": zone, "region": regions[zone], "regions": regions, "storeAddress": store,
		"callerAddress": at(0), "readyAddress": at(1), "lookupAddress": at(2), "adminAddress": at(3), "metricsPort": base + 4,
		"peerPorts": []int{base + 5, base + 6}, "seeds": []string{fmt.Sprintf("127.0.77.10:%d", base+3)}, "repeatSlack": 60,
	})
	if err != nil {
		return nil, fault.Wrap("settings", KindStart, err)
	}
	h.settings = filepath.Join(dir, h.name+".json")
	if err := os.WriteFile(h.settings, data, fileMode); err != nil {
		return nil, fault.Wrap("settings", KindStart, err)
	}
	return h, nil
}

// start starts a host's process.
func (f *fleet) start(h *host) error {
	out := io.Discard
	if f.logs != "" {
		file, err := os.OpenFile(filepath.Join(f.logs, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
		if err != nil {
			return fault.Wrap("log", KindStart, err)
		}
		out = file
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.command = exec.Command(f.program, "--settings", h.settings) //nolint:noctx // It lives longer than any call here.
	h.command.Stdout, h.command.Stderr = out, out
	if err := h.command.Start(); err != nil {
		return fault.Wrap("start "+h.name, KindStart, err)
	}
	return nil
}

// await waits until all hosts are ready.
func (f *fleet) await(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyWait); time.Now().Before(end); sleep(ctx, restartWait) {
		ready := 0
		for _, h := range f.hosts {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+adapt.PathReady, nil)
			if err != nil {
				return fault.Wrap("ready", KindStart, err)
			}
			if resp, err := client.Do(r); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == ok {
					ready++
				}
			}
		}
		if ready == len(f.hosts) {
			return nil
		}
	}
	return fault.New("ready", KindStart, "hosts did not get ready")
}

// configure writes a new version of the same configuration.
func (f *fleet) configure() {
	f.mu.Lock()
	f.version++
	version := f.version
	f.mu.Unlock()
	const timeout = 2
	f.store.Set(fake.KindConfig, fake.NameConfig, fake.Config(version,
		fake.Route{Prefix: "/read/", Idempotent: true, Service: service, Timeout: timeout},
		fake.Route{Prefix: "/write/", Service: service, Timeout: timeout}))
}

func (f *fleet) declare(i int, state string) {
	f.store.Set(fake.KindBackends, fmt.Sprintf("i-%d", i), f.targets[i].SpecWithAddress(f.links[i].Address(), service, zones[i%len(zones)], state, slots))
}

// signal sends a signal to a host's process.
func (f *fleet) signal(h *host, s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.command.Process.Signal(s)
}

// restart ends a host's process by a signal and starts it again. A kill hurts it, a planned stop does not.
func (f *fleet) restart(ctx context.Context, h *host, s syscall.Signal) {
	if s == syscall.SIGKILL {
		h.setHurt(true)
	}
	f.signal(h, s)
	h.mu.Lock()
	command := h.command
	h.mu.Unlock()
	_ = command.Wait()
	sleep(ctx, restartWait)
	if f.start(h) == nil {
		h.setHurt(false)
	}
}

// herd kills all hosts at once and starts them again.
func (f *fleet) herd(ctx context.Context) {
	var group sync.WaitGroup
	for _, h := range f.hosts {
		group.Go(func() { f.restart(ctx, h, syscall.SIGKILL) })
	}
	group.Wait()
}

// suspend stops a host's process for a while.
func (f *fleet) suspend(ctx context.Context, h *host, d time.Duration) {
	h.setHurt(true)
	f.signal(h, syscall.SIGSTOP)
	sleep(ctx, d)
	f.signal(h, syscall.SIGCONT)
	h.setHurt(false)
}

// runs returns how often a request ran at all backend servers.
func (f *fleet) runs(id string) int {
	n := 0
	for _, t := range f.targets {
		n += t.Runs(id)
	}
	return n
}

// stop ends all processes, by plan.
func (f *fleet) stop() error {
	for _, h := range f.hosts {
		f.signal(h, syscall.SIGTERM)
	}
	var errs []error
	for _, h := range f.hosts {
		errs = append(errs, h.command.Wait())
	}
	for i, t := range f.targets {
		f.links[i].Close()
		t.Close()
	}
	f.storeLink.Close()
	return errors.Join(append(errs, f.server.Close())...)
}
