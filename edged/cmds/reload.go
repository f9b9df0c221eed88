package cmds

import (
	"context"
	"net"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"rosemarygrade.dev/lib/pkg/config"
)

// settingsPollInterval is the interval between checks of the settings file, which may change without a signal.
const settingsPollInterval = 2 * time.Second

// notifyHangup returns a channel that receives SIGHUP. It is called first of all and the channel is never unregistered,
// because a SIGHUP without a handler ends the process.
func notifyHangup() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// reload reads the settings file again after a SIGHUP and when the file has changed. Invalid settings are rejected as a
// whole.
func (p *process) reload(ctx context.Context, path string, hup <-chan os.Signal) error {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	// The file may have changed since the process read it, so the first check always reads it.
	var lastModified time.Time
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			signalled = true
		case <-t.C:
		}
		modified := p.modifiedAt(path)
		if !signalled && modified.Equal(lastModified) {
			continue
		}
		lastModified = modified
		loaded := NewSettings()
		if err := config.Load(path, loaded); err != nil {
			p.log.Error("settings file rejected; the previous settings stay active", "event", "reload", "error", err)
			continue
		}
		if signalled || !reflect.DeepEqual(loaded, p.reloadable.Load()) {
			p.applySettings(time.Now(), loaded)
		}
	}
}

func (p *process) modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		p.log.Warn("could not read the modification time of the settings file", "event", "reload", "error", err)
		return time.Time{}
	}
	return info.ModTime()
}

// applySettings activates the settings that may change while the process runs: seeds, grace time and look-up lifetime. It
// logs whether any others, which need a restart, have changed.
func (p *process) applySettings(now time.Time, loaded *Settings) {
	static := *loaded
	old := p.settings
	static.Seeds, static.GraceSeconds, static.LookupLifetimeSeconds = old.Seeds, old.GraceSeconds, old.LookupLifetimeSeconds
	restart := !reflect.DeepEqual(&static, old)
	p.reloadable.Store(loaded)
	p.addSeeds(now, loaded)
	p.log.Info("settings file reloaded", "event", "reload", "restartNeeded", restart, "graceSeconds", loaded.GraceSeconds,
		"lookupLifetimeSeconds", loaded.LookupLifetimeSeconds, "seeds", len(loaded.Seeds))
}

func (p *process) addSeeds(now time.Time, s *Settings) {
	for _, seed := range s.Seeds {
		ip, _, err := net.SplitHostPort(seed)
		if err != nil {
			p.log.Warn("ignoring a seed with a malformed address", "event", "reload", "seed", seed, "error", err)
			continue
		}
		p.gossip.AddPeer(now, ip)
	}
}
