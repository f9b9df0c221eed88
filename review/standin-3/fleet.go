package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Places of the fleet: three regions with two zones each.
var (
	zones   = []string{"alm-a", "ast-a", "shy-a", "alm-b", "ast-b", "shy-b"}
	regions = map[string]string{"alm-a": "almaty", "alm-b": "almaty", "ast-a": "astana", "ast-b": "astana", "shy-a": "shymkent", "shy-b": "shymkent"}
)

type host struct {
	name, zone, settings       string
	caller, ready, admin, logs string
	command                    *exec.Cmd
}

// startHosts writes the settings of n processes, each on a loopback address of its own, and starts them.
func startHosts(program, dir, storeAddress string, n int) ([]*host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	base := min(l.Addr().(*net.TCPAddr).Port, 65000)
	_ = l.Close()
	ip := func(i int) string { return fmt.Sprintf("127.0.83.%d", 10+i) }
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(i), base+3))
	}
	var out []*host
	for i := range n {
		at := func(k int) string { return fmt.Sprintf("%s:%d", ip(i), base+k) }
		zone := zones[i%len(zones)]
		h := &host{name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone: zone, caller: at(0), ready: at(1), admin: at(3)}
		// The fields of deploy/settings.json.
		data, err := json.Marshal(map[string]any{
			"host": h.name, "ip": ip(i), "dataCentre": zone, "region": regions[zone], "regions": regions,
			"callerAddress": at(0), "readyAddress": at(1), "lookupAddress": at(2), "adminAddress": at(3), "metricsPort": base + 4,
			"peerPorts": []int{base + 5, base + 6}, "seeds": seeds, "storeAddress": storeAddress, "memoryMegabytes": 284,
			"maxDescriptors": 4100, "graceSeconds": 6, "repeatRatio": 0.2, "repeatWindowSeconds": 10, "repeatSlack": 184,
			"lookupLifetimeSeconds": 5,
		})
		if err != nil {
			return out, err
		}
		h.settings, h.logs = filepath.Join(dir, h.name+".json"), filepath.Join(dir, h.name+".log")
		if err := os.WriteFile(h.settings, data, 0o600); err != nil {
			return out, err
		}
		if err := h.start(program); err != nil {
			return out, err
		}
		out = append(out, h)
	}
	return out, nil
}

func (h *host) start(program string) error {
	f, err := os.OpenFile(h.logs, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	h.command = exec.Command(program, "--settings", h.settings)
	h.command.Stdout, h.command.Stderr = f, f
	// The processes end with this one.
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return h.command.Start()
}

func (h *host) kill() {
	if h.command != nil && h.command.Process != nil {
		_ = h.command.Process.Kill()
		_ = h.command.Wait()
	}
}

var control = &http.Client{Timeout: time.Second}

func (h *host) isReady() bool {
	resp, err := control.Get("http://" + h.ready + "/rosemarygrade/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// state is what a process says of itself on its admin page.
type state struct {
	Watcher       bool              `json:"watcher"`
	ConfigVersion uint64            `json:"configVersion"`
	Hosts         map[string]string `json:"hosts"`
}

func (h *host) state() (state, error) {
	var out state
	resp, err := control.Get("http://" + h.admin + "/debug/state")
	if err != nil {
		return out, err
	}
	defer func() { _ = resp.Body.Close() }()
	return out, json.NewDecoder(resp.Body).Decode(&out)
}
