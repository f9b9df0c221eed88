package proxy

import (
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// asterisk is the target of an OPTIONS request that asks about the server as a whole. It matches no route.
const asterisk = "*"

// target is the request target that a backend server gets, and the host that it belongs to.
type target struct{ uri, host string }

// path returns the part of the target before its query.
func (t target) path() string {
	path, _, _ := strings.Cut(t.uri, "?")
	return path
}

// readTarget returns the target of a request as the caller wrote it: r.URL would change its escapes. It returns false for a target
// that is not the path of one request. CONNECT is rejected in all forms, as a response to it ends the HTTP of its connection.
func readTarget(r *http.Request) (target, bool) {
	uri := r.RequestURI
	switch {
	case r.Method == http.MethodConnect || !isPrintable(uri):
		return target{}, false
	case uri == asterisk && r.Method == http.MethodOptions, strings.HasPrefix(uri, "/"):
		return target{uri: uri, host: r.Host}, true
	default:
		return readAbsolute(r.Method, uri)
	}
}

// readAbsolute returns the path and the host of a target in absolute form, "http://host/path". The Host header does not count.
func readAbsolute(method, uri string) (target, bool) {
	const scheme = "http://"
	if len(uri) < len(scheme) || !strings.EqualFold(uri[:len(scheme)], scheme) {
		return target{}, false
	}
	host, path := uri[len(scheme):], ""
	if i := strings.IndexAny(host, "/?"); i >= 0 {
		host, path = host[:i], host[i:]
	}
	if host == "" || !httpguts.ValidHostHeader(host) {
		return target{}, false
	}
	switch {
	case path == "" && method == http.MethodOptions:
		path = asterisk
	case !strings.HasPrefix(path, "/"):
		path = "/" + path
	}
	return target{uri: path, host: host}, true
}

// isPrintable reports whether a target has no byte that could end it in a request line, and no fragment. Other bytes that URLs
// must not contain are common in practice.
func isPrintable(uri string) bool {
	for i := range len(uri) {
		if b := uri[i]; b <= ' ' || b == 0x7f || b == '#' {
			return false
		}
	}
	return true
}
