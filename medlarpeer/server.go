package medlarpeer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarpeer/peerpb"
)

const (
	// maxPeerBody bounds the body of one peer call in bytes.
	maxPeerBody       = 4 << 20
	headerReadTimeout = 2 * time.Second
	bodyReadTimeout   = 10 * time.Second
)

// ServerConfig holds the settings of a Server.
type ServerConfig struct {
	// Key is the system key that every caller must present.
	Key string
	// Traffic counts the bytes of the connections. Nil counts nothing.
	Traffic *Traffic
}

// Server is the listener for other entry instances.
type Server struct {
	http    *http.Server
	traffic *Traffic
}

// NewServer returns a server that passes authenticated calls to handler.
func NewServer(config ServerConfig, handler peerpb.Peer) *Server {
	return &Server{traffic: config.Traffic, http: &http.Server{
		Handler:           authenticate(config.Key, peerpb.NewPeerServer(handler)),
		ReadHeaderTimeout: headerReadTimeout,
		ReadTimeout:       bodyReadTimeout,
		IdleTimeout:       idleConnTimeout,
	}}
}

// Serve accepts connections until Stop. It returns nil after Stop.
func (s *Server) Serve(listener net.Listener) error {
	if s.traffic != nil {
		listener = &countingListener{Listener: listener, traffic: s.traffic}
	}
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Stop refuses new calls and waits for those in progress until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		return s.http.Close()
	}
	return nil
}

// authenticate refuses calls without the system key.
func authenticate(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !medlarwheel.SecretKey(key).Matches([]byte(r.Header.Get(HeaderSystemKey))) {
			http.Error(w, "not a peer of this system", http.StatusForbidden)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxPeerBody)
		next.ServeHTTP(w, r)
	})
}
