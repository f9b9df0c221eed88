package reply_test

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/reply"
)

// TestReadBody guards against a body that is cut at its limit and taken for all of it.
func TestReadBody(t *testing.T) {
	const limit = 10
	for _, length := range []int{0, 1, limit} {
		got, err := reply.ReadBody(strings.NewReader(strings.Repeat("x", length)), limit)
		assert.NilError(t, err)
		assert.Equal(t, len(got), length)
	}
	_, err := reply.ReadBody(strings.NewReader(strings.Repeat("x", limit+1)), limit)
	assert.Equal(t, fault.KindOf[reply.Kind](err), reply.KindTooLong)
	broken := errors.New("broken")
	_, err = reply.ReadBody(iotest.ErrReader(broken), limit)
	assert.Assert(t, errors.Is(err, broken))
}
