package medlarpeer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"medlarwheel"
	"medlarwheel/medlarpeer/peerpb"
)

// HeaderSystemKey carries the system key.
const HeaderSystemKey = "Medlar-System-Key"

const (
	// idleConnsPerPeer bounds the idle connections to one peer. Calls are batched, so that few are open at once.
	idleConnsPerPeer = 4
	idleConnTimeout  = 90 * time.Second
	// dialTimeout bounds the time to connect; a shorter call timeout ends it earlier.
	dialTimeout = 500 * time.Millisecond
)

// ClientConfig holds the settings of a Client.
type ClientConfig struct {
	// Key is the system key.
	Key string
	// Timeout bounds one call.
	Timeout time.Duration
	// Traffic counts the bytes of the connections. Nil counts nothing.
	Traffic *Traffic
}

// Client holds the clients of all peers by address.
type Client struct {
	config    ClientConfig
	transport *http.Transport

	mu    sync.Mutex
	peers map[string]peerpb.Peer
}

// NewClient returns a Client without connections.
func NewClient(config ClientConfig) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		config: config,
		transport: &http.Transport{
			DialContext:         countingDialer(dialer, config.Traffic),
			MaxIdleConnsPerHost: idleConnsPerPeer,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		peers: make(map[string]peerpb.Peer),
	}
}

func countingDialer(dialer *net.Dialer, traffic *Traffic) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil || traffic == nil {
			return c, err
		}
		return &countingConn{Conn: c, traffic: traffic}, nil
	}
}

// Peer returns the client of the peer at address.
func (c *Client) Peer(address string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer, ok := c.peers[address]; ok {
		return peer
	}
	peer := peerpb.NewPeerProtobufClient("http://"+address, &authenticatedClient{
		key: c.config.Key,
		// Redirects are not part of the protocol and would carry the key to another address.
		client: &http.Client{Transport: c.transport, CheckRedirect: noRedirect},
	})
	c.peers[address] = peer
	return peer
}

// Context returns a context that ends after the call timeout.
func (c *Client) Context(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, c.config.Timeout)
}

// CloseIdle closes the idle connections, so that the next call opens a fresh one. Used at the end, and after a timeout
// because the connection may have gone silent.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

type authenticatedClient struct {
	key    string
	client *http.Client
}

// Do adds the system key and sends the request.
func (a *authenticatedClient) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set(HeaderSystemKey, a.key)
	response, err := a.client.Do(r)
	return response, medlarwheel.WithOperation("peer call", r.URL.Host, err)
}
