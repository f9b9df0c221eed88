package reply

import (
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"

	"rosemarygrade.dev/lib/pkg/fault"
)

// Kind is the kind of an error of the package.
type Kind string

// Kinds of errors.
const (
	// KindInvalid means that a response is none in the protocol.
	KindInvalid Kind = "invalid"
	// KindTooLong means that a body is longer than its reader accepts.
	KindTooLong Kind = "tooLong"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

// maxQuotedBytes is how much of a name an error quotes.
const maxQuotedBytes = 64

// CheckHead returns an error for the head of a response, final or interim, that is none in the protocol but that net/http accepts:
//   - a status below 100, as it takes any three characters that are a number, such as 000 and -00; or 101, since no request of this system
//     asks to switch protocols,
//   - a name of a field with a blank. net/http keeps such a field apart from the one that was meant, so a body would end elsewhere than by
//     Content-Length or Transfer-Encoding.
func CheckHead(status int, header map[string][]string) error {
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols {
		return fault.New("read head", KindInvalid, "status "+strconv.Itoa(status))
	}
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fault.New("read head", KindInvalid, "name of a field "+strconv.Quote(name[:min(len(name), maxQuotedBytes)]))
		}
	}
	return nil
}
