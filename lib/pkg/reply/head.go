package reply

import (
	"net/http"
	"strconv"

	"rosemarygrade.dev/lib/pkg/fault"
)

// Kind is the kind of an error of the package.
type Kind string

// KindInvalid means that a response is none in the protocol.
const KindInvalid Kind = "invalid"

// Error is the error type of the package.
type Error = fault.Error[Kind]

// CheckStatus returns an error for a status that is none of a response to a request of this system, which never asks to switch protocols.
// net/http accepts any three characters that are a number, such as 000 and -00.
func CheckStatus(status int) error {
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols {
		return fault.New("read head", KindInvalid, "status "+strconv.Itoa(status))
	}
	return nil
}
