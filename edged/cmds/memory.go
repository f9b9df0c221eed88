package cmds

import (
	"time"

	"rosemarygrade.dev/edged/pkg/memory"
	"rosemarygrade.dev/edged/pkg/meter"
)

// maxSlowest is the number of requests in the dump whose bodies have made no progress for longest.
const maxSlowest = 10

// memoryDump is the state of the memory and of the connections in the dump.
type memoryDump struct {
	HeldBytes   int64 `json:"heldBytes"`
	BudgetBytes int64 `json:"budgetBytes"`
	Rejected    int64 `json:"rejected"`
	Stalled     int64 `json:"stalled"`
	// Conns are the open connections of each server and to backend servers.
	Conns map[string]int `json:"conns"`
	// ConnsEnded is the number of callers' connections that were closed or not admitted because of a limit.
	ConnsEnded int64 `json:"connsEnded"`
	// Slowest are the requests whose bodies have made no progress for longest.
	Slowest []slowRequest `json:"slowest"`
}

type slowRequest struct {
	ID            string `json:"id"`
	Bytes         int64  `json:"bytes"`
	StalledMillis int64  `json:"stalledMillis"`
}

func (p *process) dumpMemory(now time.Time) memoryDump {
	l := p.limits
	d := memoryDump{
		HeldBytes: p.memory.Held(), BudgetBytes: memory.NewLimits(p.settings.MemoryMegabytes).Budget(), Rejected: p.memory.Rejected(),
		Stalled: p.memory.Stalled(), ConnsEnded: l.callers.Ended(), Slowest: []slowRequest{},
		Conns: map[string]int{
			"callers": l.callers.Open(), "ready": l.ready.Open(), "lookups": l.lookups.Open(), "peers": l.peers.Open(), "admin": l.admin.Open(),
			"metrics": l.metrics.Open(), "backends": p.pool.Open(),
		},
	}
	for _, s := range p.memory.Slowest(now, maxSlowest) {
		d.Slowest = append(d.Slowest, slowRequest{ID: s.ID, Bytes: s.Bytes, StalledMillis: s.StalledFor.Milliseconds()})
	}
	return d
}

// setMemoryGauges updates the metrics of the memory and of the connections.
func (p *process) setMemoryGauges() {
	p.meter.Set(meter.MemoryHeld, p.memory.Held())
	p.meter.Set(meter.MemoryRejected, p.memory.Rejected())
	p.meter.Set(meter.MemoryStalled, p.memory.Stalled())
	p.meter.Set(meter.CallerConns, int64(p.limits.callers.Open()))
	p.meter.Set(meter.CallerConnsEnded, p.limits.callers.Ended())
	p.meter.Set(meter.BackendConns, int64(p.pool.Open()))
}
