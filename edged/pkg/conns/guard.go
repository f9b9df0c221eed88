package conns

import (
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"rosemarygrade.dev/lib/pkg/fault"
)

// framingHeaders are the headers that encode writes itself, or that would contradict what it writes.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true}

// checkWritable returns an error of KindInvalid for a request of which a backend server could read another request, or more than
// one. The proxy lets none through; this guards against faults there and in the headers that it adds.
func checkWritable(req *Request) error {
	invalid := func(what, value string) error {
		return fault.New("check request", KindInvalid, what+" "+strconv.Quote(value))
	}
	switch {
	case !httpguts.ValidHeaderFieldName(req.Method):
		return invalid("method", req.Method)
	case !strings.HasPrefix(req.URI, "/") || strings.ContainsFunc(req.URI, isSpaceOrControl):
		return invalid("target", req.URI)
	case !httpguts.ValidHostHeader(req.Host):
		return invalid("host", req.Host)
	}
	for name, values := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) || framingHeaders[http.CanonicalHeaderKey(name)] {
			return invalid("header", name)
		}
		for _, v := range values {
			// The value may be a secret.
			if !httpguts.ValidHeaderFieldValue(v) {
				return invalid("value of header", name)
			}
		}
	}
	return nil
}

func isSpaceOrControl(r rune) bool { return r <= ' ' || r == 0x7f }
