package reply

import (
	"fmt"
	"io"

	"rosemarygrade.dev/lib/pkg/fault"
)

// ReadBody reads a body to its end. It fails with KindTooLong, and stops reading, where the body is longer than limit bytes.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fault.New("read body", KindTooLong, fmt.Sprintf("longer than %d bytes", limit))
	}
	return data, nil
}
