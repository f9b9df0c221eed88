package conns

import (
	"errors"
	"io"

	"rosemarygrade.dev/edged/pkg/memory"
)

// errHeadTooLong is returned for a response whose head does not end within maxHeadBytes.
var errHeadTooLong = errors.New("the head of the response is too long")

// errNoHeadMemory is returned for a response whose head is long and for which the request may not use more memory.
var errNoHeadMemory = errors.New("no memory for the head of the response")

// headCopies is how often a byte of a head is held while it is being read: in a line, in the copy that it outgrows, and in the fields.
const headCopies = 3

// headLimit reads from a connection, and fails where a head is longer than maxHeadBytes: net/http reads the head of a response
// without a limit. Only the goroutine that reads the response uses it.
type headLimit struct {
	source  io.Reader
	inHead  bool
	left    int
	charged *memory.Buffer
}

// start begins a head, of which some bytes have been read already. A long head is charged to a request.
func (l *headLimit) start(buffered int, charged *memory.Buffer) {
	l.inHead, l.left, l.charged = true, maxHeadBytes-buffered, charged
}

// end ends the head. The rest of the response is bounded by its reader.
func (l *headLimit) end() { l.inHead = false }

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.source.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	// The charge for the request includes the first buffer.
	if beyond := min(n, maxHeadBytes-readBufferBytes-l.left); beyond > 0 && !l.charged.Reserve(headCopies*beyond) {
		return 0, errNoHeadMemory
	}
	return n, err
}
