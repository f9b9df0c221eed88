package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory of a machine of the small deployments (SYSTEM.md).
	memoryMB = 284
	// graceSeconds is grace_s of the small deployments.
	graceSeconds   = 6
	restartDelay   = 500 * time.Millisecond
	memoryInterval = 10 * time.Millisecond
	readyTimeout   = 10 * time.Second
	portsPerHost   = 8
)

// Ports of a host, as offsets to the first one. The hosts of a case share no address.
const (
	offsetFront, offsetReady, offsetDirectory, offsetControl, offsetPeer, offsetMetrics = 0, 1, 2, 3, 4, 6
)

// zones are the data centres of the hosts, in turn.
var zones = []string{"north-a", "south-a"}

var regions = map[string]string{"north-a": "north", "south-a": "south"}

// record writes what happened to record.txt and to the standard output.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line that also goes to the standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// host is one entry host, whose process the platform starts again when it ends.
type host struct {
	name, front, ready, settings string

	mu      sync.Mutex
	command *exec.Cmd
	// ends is the number of times that the process ended without a signal of the case, kills that of kills for memory.
	ends, kills int
	peakMB      int64
}

// fleet is the system under test: the processes of the deploy file.
type fleet struct {
	program string
	dir     string
	rec     *record
	hosts   []*host

	mu       sync.Mutex
	stopping bool
	group    sync.WaitGroup
}

// startFleet starts n hosts and waits until all are ready.
func startFleet(rec *record, program, dir, storeAddress string, n int) (*fleet, error) {
	f := &fleet{program: program, dir: dir, rec: rec}
	base, err := freePorts(n)
	if err != nil {
		return nil, err
	}
	for i := range n {
		h, err := f.addHost(i, base, storeAddress)
		if err != nil {
			return nil, err
		}
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		f.group.Add(1)
		go f.supervise(h)
	}
	return f, f.waitReady()
}

func ipOf(i int) string { return fmt.Sprintf("127.0.91.%d", 10+i) }

// freePorts returns the first of portsPerHost ports that are free on the addresses of all hosts.
func freePorts(n int) (int, error) {
	for base := 21000 + os.Getpid()%4000; base < 32000; base += portsPerHost {
		if portsAreFree(n, base) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func portsAreFree(n, base int) bool {
	for i := range n {
		for p := base; p < base+portsPerHost; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ipOf(i), p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// addHost writes the settings that deploy/settings.json makes of a machine of a small deployment.
func (f *fleet) addHost(i, base int, storeAddress string) (*host, error) {
	at := func(offset int) string { return fmt.Sprintf("%s:%d", ipOf(i), base+offset) }
	zone := zones[i%len(zones)]
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), front: at(offsetFront), ready: at(offsetReady)}
	data, err := json.MarshalIndent(map[string]any{
		"host": h.name, "ip": ipOf(i), "dataCentre": zone, "region": regions[zone], "regions": regions,
		"callerAddress": h.front, "readyAddress": h.ready, "lookupAddress": at(offsetDirectory), "adminAddress": at(offsetControl),
		"metricsPort": base + offsetMetrics, "peerPorts": []int{base + offsetPeer, base + offsetPeer + 1},
		"seeds":        []string{fmt.Sprintf("%s:%d", ipOf(0), base+offsetControl)},
		"storeAddress": storeAddress, "memoryMegabytes": memoryMB, "graceSeconds": graceSeconds, "repeatRatio": 0.2,
		"repeatWindowSeconds": 10, "repeatSlack": 62, "lookupLifetimeSeconds": 5,
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	h.settings = filepath.Join(f.dir, h.name+".json")
	return h, os.WriteFile(h.settings, data, 0o600)
}

// supervise starts a host's process, and starts it again after each end until the fleet stops.
func (f *fleet) supervise(h *host) {
	defer f.group.Done()
	// The process ends with this program, whatever ends it: the kernel ties that to the thread that started the process.
	runtime.LockOSThread()
	for {
		out, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			f.rec.say("log of %s: %v", h.name, err)
			return
		}
		cmd := exec.Command(f.program, "--settings", h.settings)
		cmd.Stdout, cmd.Stderr = out, out
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		f.mu.Lock()
		if f.stopping {
			f.mu.Unlock()
			return
		}
		err = cmd.Start()
		f.mu.Unlock()
		if err != nil {
			f.rec.say("start of %s: %v", h.name, err)
			return
		}
		h.mu.Lock()
		h.command = cmd
		h.mu.Unlock()
		f.rec.line("%s: process %d starts", h.name, cmd.Process.Pid)
		ended := make(chan struct{})
		go f.watchMemory(h, cmd, ended)
		err = cmd.Wait()
		close(ended)
		_ = out.Close()
		f.mu.Lock()
		stopping := f.stopping
		f.mu.Unlock()
		if stopping {
			return
		}
		h.mu.Lock()
		h.ends++
		h.mu.Unlock()
		f.rec.line("%s: process %d ended: %v", h.name, cmd.Process.Pid, err)
		time.Sleep(restartDelay)
	}
}

// watchMemory does what the platform does with a process that exceeds memory_mb: it kills it.
func (f *fleet) watchMemory(h *host, cmd *exec.Cmd, ended chan struct{}) {
	tick := time.NewTicker(memoryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case <-tick.C:
		}
		mb := residentMB(cmd.Process.Pid)
		h.mu.Lock()
		h.peakMB = max(h.peakMB, mb)
		h.mu.Unlock()
		if mb > memoryMB {
			f.rec.line("%s: process %d holds %d MB, over memory_mb = %d: killed by the platform", h.name, cmd.Process.Pid, mb, memoryMB)
			h.mu.Lock()
			h.kills++
			h.mu.Unlock()
			_ = cmd.Process.Kill()
			return
		}
	}
}

// residentMB returns the resident memory of a process in MiB.
func residentMB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize()) >> 20
}

func (f *fleet) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, h := range f.hosts {
			if resp, err := client.Get("http://" + h.ready + "/rosemarygrade/ready"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					n++
				}
			}
		}
		if n == len(f.hosts) {
			return nil
		}
	}
	return fmt.Errorf("not all hosts are ready after %v", readyTimeout)
}

func (h *host) counts() (ends, kills int, peakMB int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ends, h.kills, h.peakMB
}

// stop ends all processes: SIGTERM, and SIGKILL after the grace time.
func (f *fleet) stop() {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	f.signal(syscall.SIGTERM)
	done := make(chan struct{})
	go func() { f.group.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After((graceSeconds + 1) * time.Second):
		f.signal(syscall.SIGKILL)
		<-done
	}
}

func (f *fleet) signal(s syscall.Signal) {
	for _, h := range f.hosts {
		h.mu.Lock()
		cmd := h.command
		h.mu.Unlock()
		if cmd != nil && cmd.Process != nil {
			_ = cmd.Process.Signal(s)
		}
	}
}
