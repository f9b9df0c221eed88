package engine_test

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/simul/pkg/engine"
	"rosemarygrade.dev/simul/pkg/policy"
	"rosemarygrade.dev/simul/pkg/spec"
)

// seeds is how many runs of a scenario are compared.
const seeds = 2

// assertBetter runs a scenario with two policies on the same seeds and checks that better has the higher utility. The
// policy spill sends a request to the next backend server if one is full.
func assertBetter(t *testing.T, file, baseline, better string) {
	t.Helper()
	t.Parallel()
	s, err := spec.Load(filepath.Join("..", "..", "scenarios", file+".json"))
	assert.NilError(t, err)
	a, err := policy.Parse(baseline)
	assert.NilError(t, err)
	b, err := policy.Parse(better)
	assert.NilError(t, err)
	sum := 0.0
	for seed := range uint64(seeds) {
		sum += engine.Run(s, b, seed+1).Total().Utility() - engine.Run(s, a, seed+1).Total().Utility()
	}
	assert.Assert(t, sum > 0, "%s has a mean utility of %+.3f above %s", better, sum/seeds, baseline)
}

func TestRegionalWaves(t *testing.T)      { assertBetter(t, "regionalWaves", "spill", "default") }
func TestBurstOfOneZone(t *testing.T)     { assertBetter(t, "burstOfOneZone", "spill", "default") }
func TestColdStartUnderLoad(t *testing.T) { assertBetter(t, "coldStartUnderLoad", "spill", "default") }
func TestCallersMove(t *testing.T)        { assertBetter(t, "callersMove", "spill", "default") }
func TestFifthOfBackendsSlow(t *testing.T) {
	assertBetter(t, "fifthOfBackendsSlow", "spill", "default")
}
func TestZoneColdAgain(t *testing.T)   { assertBetter(t, "zoneColdAgain", "spill", "default") }
func TestHalfOfHostsGone(t *testing.T) { assertBetter(t, "halfOfHostsGone", "spill", "default") }
func TestObjectsSpreadOverRegions(t *testing.T) {
	assertBetter(t, "regionalWaves", "freeShare=0", "default")
}
func TestQueuedAtBackends(t *testing.T) { assertBetter(t, "regionalWaves", "parked=0", "default") }
func TestAllBackendsShed(t *testing.T) {
	assertBetter(t, "allBackendsShed", "retryRoomMillis=250", "default")
}

// TestRegionsMoveSlowly simulates load waves and a burst in one data centre of a large deployment. From one window to the
// next, at most 15% of a region's requests may change the region in which they run: this limit is a requirement.
func TestRegionsMoveSlowly(t *testing.T) {
	const maxShift = 0.15
	s, err := spec.Load(filepath.Join("..", "..", "scenarios", "largeRegionalWaves.json"))
	assert.NilError(t, err)
	rules, err := policy.Parse("default")
	assert.NilError(t, err)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			shift := engine.Run(s, rules, seed+1).MaxRegionShift(0, time.Duration(s.Seconds*float64(time.Second)))
			assert.Assert(t, shift > 0, "no shift was counted")
			assert.Assert(t, shift <= maxShift, "%.3f of a region's requests changed region", shift)
		})
	}
}

func TestSameSeedSameRun(t *testing.T) {
	s, err := spec.Load(filepath.Join("..", "..", "scenarios", "burstOfOneZone.json"))
	assert.NilError(t, err)
	rules, err := policy.Parse("default")
	assert.NilError(t, err)
	assert.Equal(t, engine.Run(s, rules, 3).Total(), engine.Run(s, rules, 3).Total())
}
