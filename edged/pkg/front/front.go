// Package front accepts callers' connections and serves them with the newest limits. A connection that was accepted under
// earlier limits is closed as soon as it has no request in flight. Neither that nor a shutdown drops a request.
package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rosemarygrade.dev/lib/pkg/drain"
	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/plan"
)

// Kind is the kind of an error of the package.
type Kind string

// Kinds of errors.
const (
	// KindAccept means that the listener failed and no more connections are accepted.
	KindAccept Kind = "accept"
	// KindStop means that the listener could not be closed or that connections were still open at the end of a shutdown.
	KindStop Kind = "stop"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

// Limits that apply unless the configuration sets others. Configurations usually set the same header limits and a shorter
// idle timeout.
const (
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderBytes   = 16 << 10
)

// retirePollInterval is the time between checks whether the connections of a retired generation can be closed. New limits must
// apply to all connections within 2.5 s of the store's acknowledgement.
const retirePollInterval = 50 * time.Millisecond

// acceptRetryPause is the pause after a temporary error of Accept, such as too many open files.
const acceptRetryPause = 10 * time.Millisecond

// Server serves callers' connections. It is safe for concurrent use.
type Server struct {
	handler  http.Handler
	listener *drain.Listener
	// acceptDone is closed when no more connections are accepted.
	acceptDone chan struct{}
	// limit bounds the connections of all generations; nil means that they are not bounded.
	limit *drain.Limit

	mu          sync.Mutex
	limits      plan.Limits
	current     *generation
	generations []*generation
	stopping    bool
	// retiring holds the goroutines that end earlier generations.
	retiring sync.WaitGroup
}

// generation is an HTTP server with one set of limits and the connections that were accepted under them. It is the server's
// net.Listener. Once other limits apply it is retired: its connections are closed after their next response, or while they are idle.
type generation struct {
	server  *http.Server
	handler http.Handler
	retired atomic.Bool
	tracker *drain.Tracker
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	addr    net.Addr
}

// enqueue passes a connection to the server's Accept. It returns false if the server is closed.
func (g *generation) enqueue(c net.Conn) bool {
	select {
	case g.conns <- c:
		return true
	case <-g.closed:
		g.tracker.Forget()
		return false
	}
}

// Accept implements net.Listener.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case c := <-g.conns:
		return g.tracker.Wrap(c), nil
	case <-g.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *generation) Close() error {
	g.once.Do(func() { close(g.closed) })
	return nil
}

// Addr implements net.Listener.
func (g *generation) Addr() net.Addr { return g.addr }

// ServeHTTP implements http.Handler.
func (g *generation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.handler.ServeHTTP(&responseWriter{ResponseWriter: w, generation: g}, r)
}

// retire closes the connections of the generation as they become idle, and the server when all have ended.
func (g *generation) retire() {
	g.retired.Store(true)
	begin := time.Now()
	for now := begin; g.tracker.CloseIdle(now, begin) > 0; now = time.Now() {
		time.Sleep(retirePollInterval)
	}
	// No connection is left that Close could cut.
	_ = g.server.Close()
}

// responseWriter asks the caller to close its connection if the generation is retired by the time the response begins.
type responseWriter struct {
	http.ResponseWriter

	generation *generation
	begun      bool
}

// Unwrap returns the writer for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

func (w *responseWriter) begin() {
	if !w.begun && w.generation.retired.Load() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}

// New returns a server on a listener. It accepts connections only after Run is called.
func New(handler http.Handler, listener net.Listener) *Server {
	s := &Server{handler: handler, listener: drain.NewListener(listener), acceptDone: make(chan struct{})}
	s.startGeneration(withDefaults(plan.Limits{}))
	return s
}

// LimitConns sets the limit of connections. It must be called before Run.
func (s *Server) LimitConns(limit *drain.Limit) { s.limit = limit }

// withDefaults returns the limits of connections with the defaults in place of what is not set.
func withDefaults(l plan.Limits) plan.Limits {
	// The proxy checks the length of bodies, for each request.
	l.BodyBytes = 0
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	return l
}

// SetLimits sets the limits of connections, and reports whether they differ from the previous ones. Connections that were
// accepted under the previous ones are closed when they have no request in flight. Once Shutdown has begun, which closes all
// connections that way, it changes nothing.
func (s *Server) SetLimits(limits plan.Limits) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limits = withDefaults(limits)
	if s.stopping || limits == s.limits {
		return false
	}
	previous := s.current
	s.startGeneration(limits)
	s.retiring.Go(func() { s.retire(previous) })
	return true
}

// startGeneration starts an HTTP server with the limits for new connections.
func (s *Server) startGeneration(limits plan.Limits) {
	g := &generation{handler: s.handler, tracker: drain.New(), conns: make(chan net.Conn), closed: make(chan struct{}), addr: s.listener.Addr()}
	g.server = &http.Server{
		Handler: g, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: limits.HeaderBytes,
		ConnState: g.tracker.TrackState,
		// net/http would answer "OPTIONS *" with 200, though no route allows it.
		DisableGeneralOptionsHandler: true,
	}
	s.generations = append(s.generations, g)
	s.limits, s.current = limits, g
	go func() {
		// Serve ends only when the generation is closed; its error says no more than that.
		_ = g.server.Serve(g)
	}()
}

// retire ends a generation that is no longer the current one.
func (s *Server) retire(g *generation) {
	g.retire()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generations = slices.DeleteFunc(s.generations, func(other *generation) bool { return other == g })
}

// Run accepts connections until Shutdown. An error of the listener that is not temporary ends it with KindAccept.
func (s *Server) Run(context.Context) error {
	defer close(s.acceptDone)
	for {
		c, err := s.listener.Accept()
		var netErr net.Error
		switch {
		case err == nil:
			s.dispatch(c)
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.As(err, &netErr):
			time.Sleep(acceptRetryPause)
		default:
			return fault.Wrap("accept", KindAccept, err)
		}
	}
}

// dispatch passes a connection to the current generation.
func (s *Server) dispatch(c net.Conn) {
	c, admitted := s.limit.Admit(time.Now(), c)
	if !admitted {
		return
	}
	s.mu.Lock()
	g := s.current
	g.tracker.Expect()
	s.mu.Unlock()
	if !g.enqueue(c) {
		_ = c.Close()
	}
}

// Shutdown stops accepting connections and waits until all connections have ended. If ctx ends before, it closes those
// that are left and returns an error of KindStop. Run must have been called.
func (s *Server) Shutdown(ctx context.Context) error {
	listenerErr := s.listener.Stop()
	<-s.acceptDone
	s.mu.Lock()
	s.stopping = true
	generations := slices.Clone(s.generations)
	s.mu.Unlock()
	var group sync.WaitGroup
	drainErrs := make([]error, len(generations))
	for i, g := range generations {
		group.Go(func() { drainErrs[i] = g.drain(ctx) })
	}
	group.Wait()
	s.retiring.Wait()
	if err := errors.Join(listenerErr, errors.Join(drainErrs...)); err != nil {
		return fault.Wrap("shutdown", KindStop, err)
	}
	return nil
}

// drain waits until all connections have ended; only then it closes the server. Meanwhile the handler asks callers to close
// their connections.
func (g *generation) drain(ctx context.Context) error {
	err := g.tracker.Wait(ctx)
	return errors.Join(err, g.server.Close())
}
