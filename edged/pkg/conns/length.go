package conns

import (
	"net/http"
	"strconv"
)

// sizeOf returns the size of the body of a response of which read bytes were read to the end. A response to HEAD and a 304 have no
// body; their Content-Length is that of the response to GET. A 204 has neither.
func sizeOf(resp *http.Response, read int) int64 {
	const decimal, bits = 10, 63
	switch {
	case resp.StatusCode == http.StatusNoContent:
		return -1
	case resp.Request.Method != http.MethodHead && resp.StatusCode != http.StatusNotModified:
		return int64(read)
	}
	// net/http has refused a response whose Content-Length is not a number.
	size, err := strconv.ParseUint(resp.Header.Get("Content-Length"), decimal, bits)
	if err != nil {
		return -1
	}
	return int64(size)
}
