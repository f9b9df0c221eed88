package lookup

import (
	"encoding/binary"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"rosemarygrade.dev/lib/pkg/block"
	"rosemarygrade.dev/steerd/pkg/node"
)

// Server answers look-ups over HTTP.
type Server struct {
	node   *node.Node
	ttl    time.Duration
	table  atomic.Pointer[Table]
	mu     sync.Mutex
	blocks block.Cache
	count  atomic.Uint64
}

// NewServer returns a server. Refresh must run before the first answer and again at short intervals.
func NewServer(n *node.Node, ttl time.Duration) *Server {
	return &Server{node: n, ttl: ttl}
}

// Count returns how many look-ups were answered.
func (s *Server) Count() uint64 { return s.count.Load() }

// Refresh rebuilds the table from the present configuration and membership.
func (s *Server) Refresh(now time.Time) {
	snap := s.node.Store().Snapshot()
	live := s.node.Live(now)
	s.mu.Lock()
	defer s.mu.Unlock()
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
	addr, spread, err := callerOf(r)
	if err != nil {
		reply(w, http.StatusBadRequest, failure{Kind: "badAddress", Reason: err.Error()})
		return
	}
	if !s.node.Ready() {
		unready(w, "no configuration has been loaded yet")
		return
	}
	if name := r.URL.Query().Get("service"); name != "" && s.node.Store().Snapshot().Service(name) == nil {
		reply(w, http.StatusNotFound, failure{Kind: "unknownService", Reason: "no service of that name is in force"})
		return
	}
	table := s.table.Load()
	if table == nil {
		unready(w, "no view yet")
		return
	}
	answer, ok := table.Answer(addr, spread)
	if !ok {
		unready(w, "no entry host is live")
		return
	}
	reply(w, http.StatusOK, answer)
}

func unready(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	reply(w, http.StatusServiceUnavailable, failure{Kind: "notReady", Reason: reason})
}

// callerOf returns the address that the caller declares, or the one that it speaks from, and a
// number that differs between callers.
func callerOf(r *http.Request) (netip.Addr, uint64, error) {
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}, 0, err
	}
	addr := remote.Addr()
	if declared := r.URL.Query().Get("address"); declared != "" {
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
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
