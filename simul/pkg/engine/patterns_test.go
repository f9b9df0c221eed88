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

// seeds is how many plays of a pattern are compared.
const seeds = 2

// assertBetter plays a pattern with two policies on the same seeds. The plain rule sends a request to the
// next backend server when one is full.
func assertBetter(t *testing.T, file, plain, better string) {
	t.Helper()
	t.Parallel()
	s, err := spec.Load(filepath.Join("..", "..", "scenarios", file+".json"))
	assert.NilError(t, err)
	a, err := policy.Parse(plain)
	assert.NilError(t, err)
	b, err := policy.Parse(better)
	assert.NilError(t, err)
	sum := 0.0
	for seed := range uint64(seeds) {
		sum += engine.Play(s, b, seed+1).Total().Worth() - engine.Play(s, a, seed+1).Total().Worth()
	}
	assert.Assert(t, sum > 0, "%s is worth %+.3f against %s", better, sum/seeds, plain)
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
func TestObjectsSpreadFreely(t *testing.T) {
	assertBetter(t, "regionalWaves", "freeShare=0", "default")
}
func TestParkedAtBackends(t *testing.T) { assertBetter(t, "regionalWaves", "parked=0", "default") }
func TestAllBackendsShed(t *testing.T) {
	assertBetter(t, "allBackendsShed", "retryRoomMillis=250", "default")
}

// TestRegionsMoveSlowly plays waves and a burst of a data centre of a large deployment: from one window to the next at most 15%
// of a region's requests may change the region in which they run, the users' limit.
func TestRegionsMoveSlowly(t *testing.T) {
	const most = 0.15
	s, err := spec.Load(filepath.Join("..", "..", "scenarios", "largeRegionalWaves.json"))
	assert.NilError(t, err)
	rules, err := policy.Parse("default")
	assert.NilError(t, err)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			moved := engine.Play(s, rules, seed+1).Shift(0, time.Duration(s.Seconds*float64(time.Second)))
			assert.Assert(t, moved > 0, "nothing was counted")
			assert.Assert(t, moved <= most, "%.3f of a region's requests moved", moved)
		})
	}
}

func TestSameSeedSamePlay(t *testing.T) {
	s, err := spec.Load(filepath.Join("..", "..", "scenarios", "burstOfOneZone.json"))
	assert.NilError(t, err)
	rules, err := policy.Parse("default")
	assert.NilError(t, err)
	assert.Equal(t, engine.Play(s, rules, 3).Total(), engine.Play(s, rules, 3).Total())
}
