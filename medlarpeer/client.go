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

// HeaderSystemKey is the header that carries the system key, which the entry instances share.
const HeaderSystemKey = "Medlar-System-Key"

const (
	// idleConnsPerPeer bounds the idle connections to one peer. Batching keeps the number of concurrent calls low.
	idleConnsPerPeer = 4
	idleConnTimeout  = 90 * time.Second
	// dialTimeout bounds connection establishment. A shorter call timeout takes precedence.
	dialTimeout = 500 * time.Millisecond
)

// ClientConfig holds the settings of a Client.
type ClientConfig struct {
	// Key is the system key, sent with every call.
	Key string
	// Timeout bounds one call.
	Timeout time.Duration
	// Traffic counts the bytes sent and received. Nil disables the count.
	Traffic *Traffic
}

// Client creates and caches one Twirp client per peer address. All of them share one HTTP transport.
type Client struct {
	config    ClientConfig
	transport *http.Transport

	mu    sync.Mutex
	peers map[string]peerpb.Peer
}

// NewClient returns a Client. Connections are opened by the first call to a peer.
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

// Peer returns the Twirp client for the peer at address.
func (c *Client) Peer(address string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer, ok := c.peers[address]; ok {
		return peer
	}
	peer := peerpb.NewPeerProtobufClient("http://"+address, &authenticatedClient{
		key: c.config.Key,
		// Redirects are not part of the protocol and would send the key to another address.
		client: &http.Client{Transport: c.transport, CheckRedirect: noRedirect},
	})
	c.peers[address] = peer
	return peer
}

// Context returns a context that ends after the call timeout.
func (c *Client) Context(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, c.config.Timeout)
}

// CloseIdle closes the idle connections, so that the next call opens a new one. It is called at shutdown and after a
// timeout, because the pooled connections may be dead.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// authenticatedClient is an HTTP client that adds the system key to every request.
type authenticatedClient struct {
	key    string
	client *http.Client
}

// Do sends r with the system key. Its errors name the address of the peer.
func (a *authenticatedClient) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set(HeaderSystemKey, a.key)
	response, err := a.client.Do(r)
	return response, medlarwheel.WithOperation("peer call", r.URL.Host, err)
}
