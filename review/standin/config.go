package main

import "time"

// routeHost is the host name of all routes.
const routeHost = "web.example"

// route is a row of the configuration's routes.
type route struct {
	name, prefix, kind, service string
	timeout                     time.Duration
	attempts                    int
	sticky                      bool
}

// limits are the configuration's limits of clients.
type limits struct {
	HeaderBytes   int     `json:"max_header_bytes"`
	BodyBytes     int64   `json:"max_body_bytes"`
	HeaderTimeout float64 `json:"header_timeout_s"`
	IdleTimeout   float64 `json:"idle_timeout_s"`
}

// usualLimits are those that "fleetbench wire" shows for the small deployments.
var usualLimits = limits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderTimeout: 3, IdleTimeout: 15}

type columns struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// putConfig writes a configuration, as the operator does.
func putConfig(s *store, version int, l limits, coldPerSecond, warmup float64, routes ...route) {
	rs := columns{Columns: []string{
		"name", "host", "path_prefix", "type", "timeout_s", "slo_s", "priority", "service", "max_attempts", "sticky", "home_regions", "traffic_split",
	}}
	ss := columns{Columns: []string{"name", "health_path", "max_conns", "protocol", "tls", "warmup_s", "cold_per_s"}}
	seen := map[string]bool{}
	for _, r := range routes {
		rs.Rows = append(rs.Rows, []any{
			r.name, routeHost, r.prefix, r.kind, r.timeout.Seconds(), 0.4, 1, r.service, r.attempts, r.sticky, []string{}, nil,
		})
		if !seen[r.service] {
			seen[r.service] = true
			ss.Rows = append(ss.Rows, []any{r.service, healthPath, 390, "h1", false, warmup, coldPerSecond})
		}
	}
	s.put("config", "main", map[string]any{"version": version, "routes": rs, "services": ss, "limits": l})
}
