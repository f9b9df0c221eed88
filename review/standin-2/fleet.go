package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var regions = map[string]string{"north-a": "north", "south-a": "south"}

// record writes what was sent, answered and run, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, begin: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// host is one process of the system.
type host struct {
	name, front, ready, directory, settings string
	command                                 *exec.Cmd
	ended                                   chan struct{}
}

// fleet is a small deployment: the store, processes of the system and settings as the template of the deploy file gives them.
type fleet struct {
	program, dir string
	record       *record
	store        *store
	hosts        []*host
	// zones are those of the hosts, in turn.
	zones []string
}

// freePorts returns a first port from which n ports are free on an address.
func freePorts(ip string, n int) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		base := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if base+n > 65000 {
			continue
		}
		free := true
		for p := base; p < base+n && free; p++ {
			if l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p)); err != nil {
				free = false
				continue
			}
			_ = l.Close()
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func newFleet(program, dir string, r *record) (*fleet, error) {
	s, err := newStore()
	return &fleet{program: program, dir: dir, record: r, store: s, zones: []string{"north-a", "south-a"}}, err
}

// startHosts starts n processes, each on its own loopback address, and waits until all are ready.
func (f *fleet) startHosts(n int, change func(settings map[string]any)) error {
	const ports = 8
	first := 20 + os.Getpid()%200
	base, err := freePorts(fmt.Sprintf("127.0.%d.10", first), ports)
	if err != nil {
		return err
	}
	for i := range n {
		ip := fmt.Sprintf("127.0.%d.%d", first, 10+i)
		at := func(n int) string { return fmt.Sprintf("%s:%d", ip, base+n) }
		zone := f.zones[i%len(f.zones)]
		settings := map[string]any{
			"host": fmt.Sprintf("front-%s-%d", zone, i), "ip": ip, "dataCentre": zone, "region": regions[zone], "regions": regions,
			"callerAddress": at(0), "readyAddress": at(1), "lookupAddress": at(2), "adminAddress": at(3), "metricsPort": base + 4,
			"peerPorts": []int{base + 5, base + 6}, "seeds": []string{fmt.Sprintf("127.0.%d.10:%d", first, base+3)}, "storeAddress": f.store.address,
			"memoryMegabytes": 284, "maxDescriptors": 4100, "graceSeconds": 6, "repeatRatio": 0.2, "repeatWindowSeconds": 10, "repeatSlack": 64,
			"lookupLifetimeSeconds": 5,
		}
		if change != nil {
			change(settings)
		}
		h := &host{name: settings["host"].(string), front: at(0), ready: at(1), directory: at(2), settings: filepath.Join(f.dir, fmt.Sprintf("node-%d.json", i))}
		data, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(h.settings, data, 0o600); err != nil {
			return err
		}
		if err := f.start(h); err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		if err := f.waitReady(h, 10*time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) start(h *host) error {
	logFile, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.command = exec.Command(f.program, "--settings", h.settings)
	h.command.Stdout, h.command.Stderr = logFile, logFile
	if err := h.command.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		err := c.Wait()
		f.record.add("process %s ended: %v", h.name, err)
		_ = logFile.Close()
		close(ended)
	}(h.command, h.ended)
	f.record.add("process %s started", h.name)
	return nil
}

func (f *fleet) isReady(h *host) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ready + "/rosemarygrade/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) waitReady(h *host, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f.isReady(h) {
			return nil
		}
	}
	return fmt.Errorf("%s did not become ready", h.name)
}

func (f *fleet) signal(h *host, s syscall.Signal) {
	f.record.add("signal %v to %s", s, h.name)
	_ = h.command.Process.Signal(s)
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		_ = h.command.Process.Signal(syscall.SIGCONT)
		_ = h.command.Process.Signal(syscall.SIGKILL)
		select {
		case <-h.ended:
		case <-time.After(5 * time.Second):
		}
	}
}

// sleepUntil waits until a time or the end of the context.
func sleepUntil(ctx context.Context, t time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(t)):
	}
}
