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
	node   *node.Node
	ttl    time.Duration
	table  atomic.Pointer[Table]
	mu     sync.Mutex
	blocks cidr.Cache
	built  basis
	count  atomic.Uint64
}

// NewServer returns a server. Refresh must run before the first answer and again at short intervals.
func NewServer(n *node.Node, ttl time.Duration) *Server {
	return &Server{node: n, ttl: ttl}
}

// Count returns how many look-ups were answered.
func (s *Server) Count() uint64 { return s.count.Load() }

// basis is what a table was built from.
type basis struct {
	snap    *model.Snapshot
	members uint64
	slot    int64
}

// Refresh rebuilds the table if the configuration, the membership or the key slot changed.
func (s *Server) Refresh(now time.Time) {
	snap := s.node.Store().Snapshot()
	live := s.node.Live(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := basis{snap: snap, members: member.Hash(live), slot: keySlot(now)}
	if b == s.built {
		return
	}
	s.built = b
	s.table.Store(NewTable(now, snap, live, s.blocks.Table(snap), s.ttl, s.node.Region()))
}

// failure is the JSON body of an answer without hosts.
type failure struct {
	Kind   string `json:"kind"`
	Reason string `json:"reason"`
}

// retryAfterSeconds is when a caller may ask again.
const retryAfterSeconds = "1"

// Register adds the look-up route.
func (s *Server) Register(e *echo.Echo) {
	e.GET("/v1/lookup", echo.WrapHandler(http.HandlerFunc(s.ServeHTTP)))
}

// ServeHTTP answers one look-up.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.count.Add(1)
	q, err := queryOf(r.URL.RawQuery)
	if err != nil {
		reply(w, http.StatusBadRequest, failure{Kind: "badQuery", Reason: err.Error()})
		return
	}
	addr, spread, err := callerOf(r.RemoteAddr, q.address)
	if err != nil {
		reply(w, http.StatusBadRequest, failure{Kind: "badAddress", Reason: err.Error()})
		return
	}
	if !s.node.Ready() {
		unready(w, "no configuration has been loaded yet")
		return
	}
	if q.service != "" && s.node.Store().Snapshot().Service(q.service) == nil {
		reply(w, http.StatusNotFound, failure{Kind: "unknownService", Reason: "no service of that name is in force"})
		return
	}
	table := s.table.Load()
	if table == nil {
		unready(w, "no view yet")
		return
	}
	data, ok := table.Encoded(addr, spread)
	if !ok {
		unready(w, "no entry host is live")
		return
	}
	write(w, http.StatusOK, data)
}

func unready(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	reply(w, http.StatusServiceUnavailable, failure{Kind: "notReady", Reason: reason})
}

// callerOf returns the address that the caller declares, or the one that it speaks from, and a
// number that differs between callers.
func callerOf(remoteAddr, declared string) (netip.Addr, uint64, error) {
	remote, err := netip.ParseAddrPort(remoteAddr)
	if err != nil {
		return netip.Addr{}, 0, err
	}
	addr := remote.Addr()
	if declared != "" {
		if addr, err = netip.ParseAddr(declared); err != nil {
			return netip.Addr{}, 0, err
		}
	}
	b := addr.As16()
	key := binary.LittleEndian.AppendUint16(b[:], remote.Port())
	return addr, xxhash.Sum64(key), nil
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	write(w, status, data)
}

// jsonType is shared by all answers; nobody changes it.
var jsonType = []string{"application/json"}

func write(w http.ResponseWriter, status int, data []byte) {
	w.Header()["Content-Type"] = jsonType
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// query is what a look-up asks.
type query struct{ address, service string }

// queryOf reads a query. The usual one has nothing escaped and needs no map.
func queryOf(raw string) (query, error) {
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
