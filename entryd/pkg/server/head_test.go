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
		"status 000":                     "HTTP/1.1 000 OK\r\n" + rest,
		"status 099":                     "HTTP/1.1 099 OK\r\n" + rest,
		"status -00":                     "HTTP/1.1 -00 OK\r\n" + rest,
		"a switch that nobody asked for": "HTTP/1.1 101 Switching Protocols\r\n" + rest,
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := raw(t, response)
			assertAborted(t, server.NewClient().Do(t.Context(), address, request(http.MethodPost, "/", false), &recorder{}), false)
		})
	}
}
