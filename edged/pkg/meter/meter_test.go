package meter_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/edged/pkg/meter"
)

func TestMetricsPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/METRICS.md")
	assert.NilError(t, err)
	for _, c := range meter.Counters() {
		assert.Assert(t, strings.Contains(string(page), "| `"+string(c)+"` |"), "docs/METRICS.md lacks %s", c)
	}
	rows := strings.Count(string(page), "\n| `")
	assert.Equal(t, rows, len(meter.Counters())+1, "docs/METRICS.md has a row without a metric")
}

func TestWriteTo(t *testing.T) {
	m := meter.New()
	m.Add(meter.Requests, 2)
	m.RecordLatency("alpha", 40*time.Millisecond)
	var out strings.Builder
	_, err := m.WriteTo(&out)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out.String(), "requests 2\n"))
	assert.Assert(t, strings.Contains(out.String(), `answerMillis{service="alpha",quantile="0.5"} 4`), out.String())
}
