package model

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/wire"
)

// Limits and defaults of object fields.
const (
	maxDeadlineMillis   = 24 * 60 * 60 * 1000
	maxSlots            = 100_000
	maxLatencyMillis    = 60 * 60 * 1000
	maxRampSeconds      = 365 * 24 * 60 * 60
	maxServers          = 20_000
	maxBodyLimitBytes   = 1 << 30
	defaultMaxBodyBytes = 1 << 20
	bitsPerByte         = 8
	percent             = 100
	defaultRetryShare   = 0.1
	defaultHedgeShare   = 0.03
	maxBudgetPercent    = 50
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Parse validates the JSON spec of an object and returns the object. Its errors name the field at fault.
func Parse(kind, name string, spec []byte) (Object, error) {
	if !namePattern.MatchString(name) {
		return nil, fieldError("name", "must be 1 to 63 of a-z, 0-9, dot and hyphen")
	}
	switch kind {
	case wire.KindService:
		return parseAs(name, spec, convertService)
	case wire.KindPlacement:
		return parseAs(name, spec, convertPlacement)
	case wire.KindRegion:
		return parseAs(name, spec, convertRegion)
	case wire.KindShift:
		return parseAs(name, spec, convertShift)
	case wire.KindDrain:
		return parseAs(name, spec, convertDrain)
	case wire.KindRecall:
		return parseAs(name, spec, convertRecall)
	case wire.KindHosts:
		return parseAs(name, spec, convertHosts)
	default:
		return nil, fault.New("parse", KindUnknown, fmt.Sprintf("kind: %q is not known", kind))
	}
}

func parseAs[S any, O Object](name string, spec []byte, convert func(string, S) (O, error)) (Object, error) {
	var s S
	dec := json.NewDecoder(bytes.NewReader(spec))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, fault.Wrap("parse", KindSyntax, err)
	}
	if dec.More() {
		return nil, fault.New("parse", KindSyntax, "spec: data after the object")
	}
	o, err := convert(name, s)
	if err != nil {
		return nil, err
	}
	return o, nil
}

func convertService(name string, s wire.ServiceSpec) (*Service, error) {
	if len(s.Routes) == 0 {
		return nil, fieldError("spec.routes", "at least one route is needed")
	}
	if s.Class != "live" && s.Class != "background" {
		return nil, fieldError("spec.class", `must be "live" or "background"`)
	}
	if s.DeadlineMillis < 1 || s.DeadlineMillis > maxDeadlineMillis {
		return nil, fieldError("spec.deadlineMillis", fmt.Sprintf("must be 1 to %d", maxDeadlineMillis))
	}
	if s.MaxBodyBytes < 0 || s.MaxBodyBytes > maxBodyLimitBytes {
		return nil, fieldError("spec.maxBodyBytes", fmt.Sprintf("must be 0 to %d", maxBodyLimitBytes))
	}
	retry, err := budgetShare("spec.retryBudgetPercent", s.RetryBudgetPercent, defaultRetryShare)
	if err != nil {
		return nil, err
	}
	hedge, err := budgetShare("spec.hedgeBudgetPercent", s.HedgeBudgetPercent, defaultHedgeShare)
	if err != nil {
		return nil, err
	}
	out := &Service{
		name: name, background: s.Class == "background",
		deadline: time.Duration(s.DeadlineMillis) * time.Millisecond,
		maxBody:  s.MaxBodyBytes, retryShare: retry, hedgeShare: hedge,
		keyOptional: s.KeyOptional, echoOptional: s.EchoOptional,
	}
	if out.maxBody == 0 {
		out.maxBody = defaultMaxBodyBytes
	}
	for i, r := range s.Routes {
		if !strings.HasPrefix(r.Prefix, "/") {
			return nil, fieldError(fmt.Sprintf("spec.routes[%d].prefix", i), `must begin with "/"`)
		}
		out.routes = append(out.routes, Route{prefix: r.Prefix, methods: r.Methods, nonIdempotent: r.NonIdempotent})
	}
	return out, nil
}

func budgetShare(path string, value, defaultShare float64) (float64, error) {
	if value < 0 || value > maxBudgetPercent {
		return 0, fieldError(path, fmt.Sprintf("must be 0 to %d", maxBudgetPercent))
	}
	if value == 0 {
		return defaultShare, nil
	}
	return value / percent, nil
}

func convertPlacement(_ string, s wire.PlacementSpec) (*Placement, error) {
	if !namePattern.MatchString(s.Service) {
		return nil, fieldError("spec.service", "must name a service")
	}
	if len(s.Servers) > maxServers {
		return nil, fieldError("spec.servers", fmt.Sprintf("at most %d", maxServers))
	}
	out := &Placement{service: s.Service}
	seen := make(map[string]bool, len(s.Servers))
	for i, v := range s.Servers {
		path := fmt.Sprintf("spec.servers[%d]", i)
		if a, err := netip.ParseAddrPort(v.Address); err != nil || a.Port() == 0 {
			return nil, fieldError(path+".address", "must be IP:port, with a port above 0")
		}
		if seen[v.Address] {
			return nil, fieldError(path+".address", "stands twice")
		}
		seen[v.Address] = true
		if !namePattern.MatchString(v.DataCentre) {
			return nil, fieldError(path+".dataCentre", "must name a data centre")
		}
		if v.Slots < 1 || v.Slots > maxSlots {
			return nil, fieldError(path+".slots", fmt.Sprintf("must be 1 to %d", maxSlots))
		}
		out.servers = append(out.servers, Server{address: v.Address, dataCentre: v.DataCentre, batch: v.Batch, slots: v.Slots})
	}
	return out, nil
}

func convertRegion(name string, s wire.RegionSpec) (*Region, error) {
	if len(s.DataCentres) == 0 {
		return nil, fieldError("spec.dataCentres", "at least one is needed")
	}
	if s.MaxHosts < 1 {
		return nil, fieldError("spec.maxHosts", "must be 1 or more")
	}
	out := &Region{name: name, dataCentres: s.DataCentres, maxHosts: s.MaxHosts}
	for i, dc := range s.DataCentres {
		if !namePattern.MatchString(dc) {
			return nil, fieldError(fmt.Sprintf("spec.dataCentres[%d]", i), "is not a name")
		}
	}
	for i, l := range s.Links {
		path := fmt.Sprintf("spec.links[%d]", i)
		if !namePattern.MatchString(l.To) || l.To == name {
			return nil, fieldError(path+".to", "must name another region")
		}
		if l.BitsPerSecond < bitsPerByte {
			return nil, fieldError(path+".bitsPerSecond", "must be 8 or more")
		}
		if l.LatencyMillis < 0 || l.LatencyMillis > maxLatencyMillis {
			return nil, fieldError(path+".latencyMillis", fmt.Sprintf("must be 0 to %d", maxLatencyMillis))
		}
		out.links = append(out.links, Link{
			to: l.To, bytesPerSecond: l.BitsPerSecond / bitsPerByte,
			latency: time.Duration(l.LatencyMillis) * time.Millisecond,
		})
	}
	for i, b := range s.CallerBlocks {
		p, err := netip.ParsePrefix(b)
		if err != nil {
			return nil, fieldError(fmt.Sprintf("spec.callerBlocks[%d]", i), "must be IP/bits")
		}
		out.blocks = append(out.blocks, p.Masked())
	}
	return out, nil
}

func convertShift(name string, s wire.ShiftSpec) (*Shift, error) {
	for _, f := range []struct{ path, value string }{
		{"spec.service", s.Service}, {"spec.from", s.From}, {"spec.to", s.To},
	} {
		if !namePattern.MatchString(f.value) {
			return nil, fieldError(f.path, "is not a name")
		}
	}
	if s.From == s.To {
		return nil, fieldError("spec.to", "must differ from spec.from")
	}
	if s.CapPercent < 0 || s.CapPercent > percent {
		return nil, fieldError("spec.capPercent", "must be 0 to 100")
	}
	if s.RampSeconds < 0 || s.RampSeconds > maxRampSeconds {
		return nil, fieldError("spec.rampSeconds", fmt.Sprintf("must be 0 to %d", maxRampSeconds))
	}
	return &Shift{
		name: name, service: s.Service, from: s.From, to: s.To,
		capShare: s.CapPercent / percent, ramp: time.Duration(s.RampSeconds) * time.Second,
	}, nil
}

func convertDrain(object string, s wire.DrainSpec) (*Drain, error) {
	switch Scope(s.Scope) {
	case ScopeDataCentre, ScopeRegion, ScopeHost:
	default:
		return nil, fieldError("spec.scope", `must be "dataCentre", "region" or "host"`)
	}
	if !namePattern.MatchString(s.Name) {
		return nil, fieldError("spec.name", "is not a name")
	}
	return &Drain{object: object, scope: Scope(s.Scope), name: s.Name}, nil
}

func convertRecall(object string, s wire.RecallSpec) (*Recall, error) {
	if s.Batch == "" {
		return nil, fieldError("spec.batch", "must name a batch")
	}
	return &Recall{object: object, batch: s.Batch}, nil
}

func convertHosts(_ string, s wire.HostsSpec) (*Hosts, error) {
	return &Hosts{leaving: s.Leaving}, nil
}
