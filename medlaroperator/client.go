package medlaroperator

import (
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
)

const (
	// defaultTimeout limits one call to one instance.
	defaultTimeout = 10 * time.Second
	// watchMargin is added to the wait of a watch to cover network transit.
	watchMargin = 5 * time.Second
)

// ClientConfig holds the settings of a Client.
type ClientConfig struct {
	// Addresses are the addresses of entry instances. A read is sent to the next one if an instance cannot be reached.
	Addresses []string
	// OperatorKey authenticates the operator. If it is empty, no key is sent.
	OperatorKey string
	// Timeout limits one call. Zero means 10 s.
	Timeout time.Duration
}

// Client is a client of the operator interface. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	http   *fasthttp.Client
}

// NewClient returns a client. Connections are opened on demand.
func NewClient(config ClientConfig) *Client {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	return &Client{config: config, http: &fasthttp.Client{
		Name: "medlarwheel",
		// Disables the retries of the library, because a change must not be sent twice.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// WriteOptions holds the author of a change and the version that it is based on.
type WriteOptions struct {
	Author medlarwheel.Author
	// ExpectedVersion is the current version of the item. Zero means that the item must not exist.
	ExpectedVersion medlarwheel.ConfigVersion
}

// Put writes the configuration item path/name. The body is its JSON text, such as that of a template.
func (c *Client) Put(path, name string, body []byte, options WriteOptions) (WriteResult, error) {
	return call[WriteResult](c, request{method: fasthttp.MethodPut, path: itemWritePath(path, name, options), body: body, author: options.Author})
}

// Withdraw withdraws the configuration item path/name.
func (c *Client) Withdraw(path, name string, options WriteOptions) (WriteResult, error) {
	return call[WriteResult](c, request{method: fasthttp.MethodDelete, path: itemWritePath(path, name, options), author: options.Author})
}

// Item reads the configuration item path/name.
func (c *Client) Item(path, name string) (medlarwheel.ConfigItem, error) {
	return call[medlarwheel.ConfigItem](c, request{method: fasthttp.MethodGet, path: path + "/" + url.PathEscape(name)})
}

// Watch waits for changes after a version and returns them. It returns an empty delta if there are none within wait.
func (c *Client) Watch(after medlarwheel.ConfigVersion, wait time.Duration) (medlarwheel.ConfigDelta, error) {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "wait": {wait.String()}}
	r := request{method: fasthttp.MethodGet, path: PathWatch + "?" + query.Encode(), timeout: wait + watchMargin}
	return call[medlarwheel.ConfigDelta](c, r)
}

// Get sends a GET request to path and decodes the response into a value of type T.
func Get[T any](c *Client, path string) (T, error) {
	return call[T](c, request{method: fasthttp.MethodGet, path: path})
}

// Post sends body in a POST request to path and decodes the response into a value of type T.
func Post[T any](c *Client, path string, body []byte) (T, error) {
	return call[T](c, request{method: fasthttp.MethodPost, path: path, body: body})
}

func itemWritePath(path, name string, options WriteOptions) string {
	return path + "/" + url.PathEscape(name) + "?expected=" + strconv.FormatUint(uint64(options.ExpectedVersion), 10)
}

type request struct {
	method  string
	path    string
	body    []byte
	author  medlarwheel.Author
	timeout time.Duration
}

// call tries the instances in order until one responds. A change is sent to the next instance only if the connection to
// the previous one could not be opened, so that it is sent at most once.
func call[T any](c *Client, r request) (T, error) {
	var value T
	var lastErr error
	for _, address := range c.config.Addresses {
		data, err := c.send(address, r)
		if err == nil {
			return value, decodeInto(address, data, &value)
		}
		var responseErr *Error
		if errors.As(err, &responseErr) {
			return value, err
		}
		lastErr = medlarwheel.WithOperation(r.method+" "+r.path, address, err)
		if r.method != fasthttp.MethodGet && !isDialError(err) {
			return value, &Error{Code: CodeOutcomeUnknown, Message: lastErr.Error() + "; the change may have taken effect"}
		}
	}
	if lastErr == nil {
		lastErr = errors.New("no entry instance given")
	}
	return value, &Error{Code: CodeUnavailable, Message: lastErr.Error()}
}

func decodeInto(address string, data []byte, value any) error {
	if len(data) == 0 {
		return nil
	}
	return medlarwheel.WithOperation("decode response", address, json.Unmarshal(data, value))
}

func (c *Client) send(address string, r request) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + r.path)
	req.Header.SetMethod(r.method)
	req.SetBody(r.body)
	if c.config.OperatorKey != "" {
		req.Header.Set(HeaderOperatorKey, c.config.OperatorKey)
	}
	if r.author != "" {
		req.Header.Set(HeaderAuthor, string(r.author))
	}
	timeout := r.timeout
	if timeout == 0 {
		timeout = c.config.Timeout
	}
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return nil, err
	}
	body := append([]byte(nil), resp.Body()...)
	if resp.StatusCode() < fasthttp.StatusMultipleChoices {
		return body, nil
	}
	responseErr := &Error{}
	if json.Unmarshal(body, responseErr) != nil || responseErr.Code == "" {
		responseErr = &Error{Code: CodeInternal, Message: "status " + strconv.Itoa(resp.StatusCode()) + " from " + address}
	}
	return nil, responseErr
}

func isDialError(err error) bool {
	var dial *fasthttp.ErrDialWithUpstream
	return errors.As(err, &dial) || errors.Is(err, fasthttp.ErrDialTimeout)
}
