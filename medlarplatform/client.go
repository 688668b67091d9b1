package medlarplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"

	"medlarwheel"
)

// Client is an HTTP client of the platform. It is safe for concurrent use.
type Client struct {
	config Config
	http   *fasthttp.HostClient

	mu      sync.Mutex // guards breaker and config.Random
	breaker *Breaker
}

// New returns a client. Connections are opened on demand.
func New(config Config) *Client {
	return &Client{
		config:  config,
		breaker: NewBreaker(config.Breaker),
		http: &fasthttp.HostClient{
			Addr:        config.Address,
			Name:        "medlarwheel",
			DialTimeout: dial,
			// Disables the retries of the library after a connection that closed early, because the first copy of the
			// request may have taken effect. Transact resolves such cases by operation id.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxConns:                  config.MaxConnections,
			MaxIdleConnDuration:       config.MaxIdleTime,
			MaxResponseBodySize:       config.MaxResponseBytes,
			DisablePathNormalizing:    true,
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Available reports whether the breaker is closed.
func (c *Client) Available() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.breaker.open
}

// Row reads one row. It returns medlarwheel.ErrNotFound for a row that does not exist.
func (c *Client) Row(ctx context.Context, key string) (medlarwheel.Row, error) {
	var row medlarwheel.Row
	err := c.readJSON(ctx, "row", "/v1/rows/"+escapeSegment(key), &row)
	return row, err
}

// Changes reads a page of the rows with the key prefix that changed after a version.
func (c *Client) Changes(ctx context.Context, prefix string, after medlarwheel.RowVersion, limit int,
) (medlarwheel.ChangePage, error) {
	var page medlarwheel.ChangePage
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(uint64(after), 10)}, "limit": {strconv.Itoa(limit)}}
	err := c.readJSON(ctx, "changes", "/v1/changes?"+query.Encode(), &page)
	return page, err
}

// PutObject stores an object. Storing the same bytes twice has no further effect.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.mutate(ctx, "put-object", fasthttp.MethodPut, "/v1/objects/"+escapeSegment(name), data)
}

// Object reads an object. It returns medlarwheel.ErrNotFound for an object that does not exist.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	r, err := c.call(ctx, "object", fasthttp.MethodGet, "/v1/objects/"+escapeSegment(name), nil)
	return r.body, err
}

// DeleteObject removes an object. It returns no error for an object that does not exist.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	return c.mutate(ctx, "delete-object", fasthttp.MethodDelete, "/v1/objects/"+escapeSegment(name), nil)
}

// Instances reads the list of instances if its version is higher than after. Otherwise it returns false.
func (c *Client) Instances(ctx context.Context, after uint64) (medlarwheel.InstanceList, bool, error) {
	r, err := c.call(ctx, "instances", fasthttp.MethodGet, "/v1/instances?after="+strconv.FormatUint(after, 10), nil)
	if err != nil || r.status == fasthttp.StatusNotModified {
		return medlarwheel.InstanceList{}, false, err
	}
	list, err := medlarwheel.Decode[medlarwheel.InstanceList](r.body)
	if err != nil {
		return medlarwheel.InstanceList{}, false, medlarwheel.WithOperation("instances", c.config.Address, err)
	}
	return list, true, nil
}

// RegisterEntry adds or updates an entry instance in the list.
func (c *Client) RegisterEntry(ctx context.Context, entry medlarwheel.EntryInstance) error {
	return c.register(ctx, "entries", string(entry.ID), entry)
}

// RegisterUpstream adds or updates an upstream in the list.
func (c *Client) RegisterUpstream(ctx context.Context, upstream medlarwheel.Upstream) error {
	return c.register(ctx, "upstreams", string(upstream.ID), upstream)
}

// RemoveEntry removes an entry instance from the list. It returns no error for one that is not listed.
func (c *Client) RemoveEntry(ctx context.Context, id medlarwheel.InstanceID) error {
	return c.mutate(ctx, "remove-entry", fasthttp.MethodDelete, "/v1/instances/entries/"+escapeSegment(string(id)), nil)
}

// RemoveUpstream removes an upstream from the list. It returns no error for one that is not listed.
func (c *Client) RemoveUpstream(ctx context.Context, id medlarwheel.UpstreamID) error {
	return c.mutate(ctx, "remove-upstream", fasthttp.MethodDelete, "/v1/instances/upstreams/"+escapeSegment(string(id)), nil)
}

func (c *Client) register(ctx context.Context, group, id string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return medlarwheel.WithOperation("register", c.config.Address, err)
	}
	return c.mutate(ctx, "register", fasthttp.MethodPut, "/v1/instances/"+group+"/"+escapeSegment(id), body)
}

func (c *Client) mutate(ctx context.Context, operation, method, path string, body []byte) error {
	_, err := c.call(ctx, operation, method, path, body)
	return err
}

func (c *Client) readJSON(ctx context.Context, operation, path string, into any) error {
	r, err := c.call(ctx, operation, fasthttp.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(r.body, into); err != nil {
		// The text is part of the responses to operators.
		return medlarwheel.WithOperation(operation, c.config.Address, fmt.Errorf("answer: %w", err))
	}
	return nil
}

// call makes one exchange and returns an error for every status that is neither 2xx nor Not Modified.
func (c *Client) call(ctx context.Context, operation, method, path string, body []byte) (response, error) {
	r, err := c.exchange(ctx, method, path, body)
	if err == nil {
		err = r.err()
	}
	if method == fasthttp.MethodGet {
		err = withoutEffect(err)
	}
	return r, medlarwheel.WithOperation(operation, c.config.Address, err)
}

// err returns the error that corresponds to the status, or nil for success.
func (r response) err() error {
	failure := &statusError{status: r.status, body: string(r.body[:min(len(r.body), maxErrorBodyLength)])}
	switch {
	case r.status >= 200 && r.status < 300, r.status == fasthttp.StatusNotModified:
		return nil
	case r.status == fasthttp.StatusNotFound:
		return medlarwheel.ErrNotFound
	case r.status == fasthttp.StatusConflict:
		return medlarwheel.ErrStale
	case r.notRun, r.status == fasthttp.StatusTooManyRequests:
		return &UnavailableError{Effect: EffectNone, RetryAfter: r.retryAfter, Cause: failure}
	case r.status >= fasthttp.StatusInternalServerError:
		return &UnavailableError{Effect: EffectUnknown, RetryAfter: r.retryAfter, Cause: failure}
	}
	var faults medlarwheel.Faults
	if json.Unmarshal(r.body, &faults) == nil && len(faults) > 0 {
		return faults
	}
	return failure
}

// maxErrorBodyLength limits the bytes of an unexpected response body that an error includes.
const maxErrorBodyLength = 200
