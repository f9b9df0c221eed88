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

// settingsEvery is how often the settings file is looked at: it may change without a signal.
const settingsEvery = 2 * time.Second

// hangups returns a channel for SIGHUP. It is asked for before all else and never given back: a SIGHUP that nobody
// takes ends a process.
func hangups() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// reload reads the settings again at SIGHUP and when the file has changed. Wrong settings are refused as
// a whole.
func (p *process) reload(ctx context.Context, path string, hup <-chan os.Signal) error {
	t := time.NewTicker(settingsEvery)
	defer t.Stop()
	// The file may have changed between the start and now, so it is read once in any case.
	var last time.Time
	for {
		asked := false
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			asked = true
		case <-t.C:
		}
		now := p.modified(path)
		if !asked && now.Equal(last) {
			continue
		}
		last = now
		fresh := NewSettings()
		if err := config.Load(path, fresh); err != nil {
			p.log.Error("settings refused, the old ones stay", "event", "reload", "error", err)
			continue
		}
		if asked || !reflect.DeepEqual(fresh, p.reloaded.Load()) {
			p.apply(time.Now(), fresh)
		}
	}
}

func (p *process) modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		p.log.Warn("settings file not seen", "event", "reload", "error", err)
		return time.Time{}
	}
	return info.ModTime()
}

// apply puts into force what may change while the process runs: all but its name, place and addresses.
func (p *process) apply(now time.Time, fresh *Settings) {
	fixed := *fresh
	old := p.settings
	fixed.Seeds, fixed.GraceSeconds, fixed.LookupLifetimeSeconds = old.Seeds, old.GraceSeconds, old.LookupLifetimeSeconds
	restart := !reflect.DeepEqual(&fixed, old)
	p.reloaded.Store(fresh)
	p.meetSeeds(now, fresh)
	p.log.Info("settings read again", "event", "reload", "restartNeeded", restart, "graceSeconds", fresh.GraceSeconds,
		"lookupLifetimeSeconds", fresh.LookupLifetimeSeconds, "seeds", len(fresh.Seeds))
}

func (p *process) meetSeeds(now time.Time, s *Settings) {
	for _, seed := range s.Seeds {
		ip, _, err := net.SplitHostPort(seed)
		if err != nil {
			p.log.Warn("seed unreadable", "event", "reload", "seed", seed, "error", err)
			continue
		}
		p.mesh.AddPeer(now, ip)
	}
}
