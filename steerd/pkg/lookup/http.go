package lookup

import (
	"encoding/binary"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"rosemarygrade.dev/lib/pkg/cidr"
	"rosemarygrade.dev/lib/pkg/member"
	"rosemarygrade.dev/lib/pkg/model"
	"rosemarygrade.dev/steerd/pkg/node"
)

// Server answers look-ups over HTTP.
type Server struct {
	node      *node.Node
	ttl       time.Duration
	table     atomic.Pointer[Table]
	mu        sync.Mutex
	blocks    cidr.Cache
	builtFrom tableInputs
	lookups   atomic.Uint64
}

// NewServer returns a server. ttl is how long callers may use an answer. Refresh must be called
// before the first look-up and then periodically; look-ups use the table of the last call.
func NewServer(n *node.Node, ttl time.Duration) *Server {
	return &Server{node: n, ttl: ttl}
}

// Count returns the number of look-ups served, including those answered with an error.
func (s *Server) Count() uint64 { return s.lookups.Load() }

// tableInputs identifies the configuration, membership and time slot that a table was built from.
type tableInputs struct {
	config      *model.Snapshot
	membersHash uint64
	timeSlot    int64
}

// Refresh rebuilds the table if the configuration, the membership or the time slot has changed.
func (s *Server) Refresh(now time.Time) {
	snap := s.node.Store().Snapshot()
	alive := s.node.Alive(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	inputs := tableInputs{config: snap, membersHash: member.Hash(alive), timeSlot: timeSlot(now)}
	if inputs == s.builtFrom {
		return
	}
	s.builtFrom = inputs
	s.table.Store(NewTable(now, snap, alive, s.blocks.Table(snap), s.ttl, s.node.Region()))
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Kind   string `json:"kind"`
	Reason string `json:"reason"`
}

// retryAfterSeconds is the Retry-After header of a response while the server is not ready.
const retryAfterSeconds = "1"

// Register adds the look-up route to e.
func (s *Server) Register(e *echo.Echo) {
	e.GET("/v1/lookup", echo.WrapHandler(http.HandlerFunc(s.ServeHTTP)))
}

// ServeHTTP answers one look-up.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.lookups.Add(1)
	q, err := parseQuery(r.URL.RawQuery)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Kind: "badQuery", Reason: err.Error()})
		return
	}
	addr, callerHash, err := callerAddress(r.RemoteAddr, q.address)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Kind: "badAddress", Reason: err.Error()})
		return
	}
	if !s.node.Ready() {
		writeNotReady(w, "no configuration has been loaded yet")
		return
	}
	if q.service != "" && s.node.Store().Snapshot().Service(q.service) == nil {
		writeJSON(w, http.StatusNotFound, errorBody{Kind: "unknownService", Reason: "no service of that name is in force"})
		return
	}
	table := s.table.Load()
	if table == nil {
		writeNotReady(w, "no view yet")
		return
	}
	data, ok := table.AnswerJSON(addr, callerHash)
	if !ok {
		writeNotReady(w, "no entry host is live")
		return
	}
	writeBody(w, http.StatusOK, data)
}

func writeNotReady(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	writeJSON(w, http.StatusServiceUnavailable, errorBody{Kind: "notReady", Reason: reason})
}

// callerAddress returns the address given in the query, or the remote address if there is none, and
// a hash of the address and the remote port, which differs between callers.
func callerAddress(remoteAddr, queryAddress string) (netip.Addr, uint64, error) {
	remote, err := netip.ParseAddrPort(remoteAddr)
	if err != nil {
		return netip.Addr{}, 0, err
	}
	addr := remote.Addr()
	if queryAddress != "" {
		if addr, err = netip.ParseAddr(queryAddress); err != nil {
			return netip.Addr{}, 0, err
		}
	}
	b := addr.As16()
	key := binary.LittleEndian.AppendUint16(b[:], remote.Port())
	return addr, xxhash.Sum64(key), nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	writeBody(w, status, data)
}

// jsonType is shared by all responses, to save an allocation each; it must not be changed.
var jsonType = []string{"application/json"}

func writeBody(w http.ResponseWriter, status int, data []byte) {
	w.Header()["Content-Type"] = jsonType
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// query is the parsed query string of a look-up.
type query struct{ address, service string }

// parseQuery parses a query string. It allocates a map only for one with escapes, which is rare.
func parseQuery(raw string) (query, error) {
	var q query
	if strings.ContainsAny(raw, "%+;") {
		values, err := url.ParseQuery(raw)
		return query{address: values.Get("address"), service: values.Get("service")}, err
	}
	for raw != "" {
		var pair string
		pair, raw, _ = strings.Cut(raw, "&")
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "address":
			q.address = value
		case "service":
			q.service = value
		}
	}
	return q, nil
}
