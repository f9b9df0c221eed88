package server_test

import (
	"net/http"
	"testing"

	"rosemarygrade.dev/entryd/pkg/server"
)

// TestHeads guards against heads that net/http accepts although they are no head of a response.
func TestHeads(t *testing.T) {
	const rest = "Rosemary-Request-Id: id-1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
	for name, response := range map[string]string{
		"status 000":                               "HTTP/1.1 000 OK\r\n" + rest,
		"status 099":                               "HTTP/1.1 099 OK\r\n" + rest,
		"status -00":                               "HTTP/1.1 -00 OK\r\n" + rest,
		"a switch that nobody asked for":           "HTTP/1.1 101 Switching Protocols\r\n" + rest,
		"a blank in a name":                        "HTTP/1.1 200 OK\r\nX Y: z\r\n" + rest,
		"a blank before a colon":                   "HTTP/1.1 200 OK\r\nX-Y : z\r\n" + rest,
		"framing that does not count":              "HTTP/1.1 200 OK\r\nRosemary-Request-Id: id-1\r\nTransfer-Encoding : chunked\r\nConnection: close\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"a line that begins with a blank":          "HTTP/1.1 200 OK\r\nX: y\r\n X-Y: z\r\n" + rest,
		"an interim line that begins with a blank": "HTTP/1.1 103 Early Hints\r\nX: y\r\n\tX-Y: z\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"a control byte in a name":                 "HTTP/1.1 200 OK\r\nX\x01Y: z\r\n" + rest,
		"a blank in an interim response":           "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := raw(t, response)
			assertAborted(t, server.NewClient().Do(t.Context(), address, request(http.MethodPost, "/", false), &recorder{}), false)
		})
	}
}
