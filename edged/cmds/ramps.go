package cmds

import "rosemarygrade.dev/edged/pkg/pick"

// maxRamps is the number of ramp-ups in the dump.
const maxRamps = 20

// rampDump is the ramp-up of one backend server in the dump.
type rampDump struct {
	Backend string `json:"backend"`
	Service string `json:"service"`
	// Reason is what the ramp-up follows.
	Reason string `json:"reason"`
	// PerSecond is the rate of requests: of all hosts together, or of the elected host in slow start.
	PerSecond float64 `json:"perSecond"`
	// BadResponses counts the bad responses to this host since the last good one, Flaps the interruptions in short succession.
	BadResponses int `json:"badResponses"`
	Flaps        int `json:"flaps"`
	// Applies is false where the rate is not enforced, because the other backend servers can't take the demand.
	Applies bool `json:"applies"`
}

func newRampDumps(states []pick.RampState) []rampDump {
	states = states[:min(maxRamps, len(states))]
	out := make([]rampDump, 0, len(states))
	for _, s := range states {
		out = append(out, rampDump{
			Backend: s.Backend, Service: s.Service, Reason: string(s.Reason), PerSecond: s.PerSecond, BadResponses: s.BadResponses, Flaps: s.Flaps,
			Applies: s.Applies,
		})
	}
	return out
}
