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
	// defaultTimeout bounds one call to one instance.
	defaultTimeout = 10 * time.Second
	// watchMargin is added to the waiting time of a watch for the way there and back.
	watchMargin = 5 * time.Second
)

// ClientConfig holds the settings of a Client.
type ClientConfig struct {
	// Addresses are the addresses of entry instances. Reads go to the next one when one can't be reached.
	Addresses []string
	// OperatorKey authenticates the operator. Empty sends none.
	OperatorKey string
	// Timeout bounds one call. Zero means 10 s.
	Timeout time.Duration
}

// Client calls the operator interface.
type Client struct {
	config ClientConfig
	http   *fasthttp.Client
}

// NewClient returns a client without connections.
func NewClient(config ClientConfig) *Client {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	return &Client{config: config, http: &fasthttp.Client{
		Name: "medlarwheel",
		// A change must not be sent twice by the library.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// WriteOptions tells who makes a change and on top of which version.
type WriteOptions struct {
	Author medlarwheel.Author
	// ExpectedVersion is the version of the entry that the change builds on. Zero means that the entry must not exist.
	ExpectedVersion medlarwheel.ConfigVersion
}

// Put sends an entry, such as the JSON text of a template, to path/name.
func (c *Client) Put(path, name string, body []byte, publish WriteOptions) (WriteResult, error) {
	return call[WriteResult](c, request{method: fasthttp.MethodPut, path: itemWritePath(path, name, publish), body: body, author: publish.Author})
}

// Withdraw removes the entry path/name.
func (c *Client) Withdraw(path, name string, publish WriteOptions) (WriteResult, error) {
	return call[WriteResult](c, request{method: fasthttp.MethodDelete, path: itemWritePath(path, name, publish), author: publish.Author})
}

// Item reads the entry path/name.
func (c *Client) Item(path, name string) (medlarwheel.ConfigItem, error) {
	return call[medlarwheel.ConfigItem](c, request{method: fasthttp.MethodGet, path: path + "/" + url.PathEscape(name)})
}

// Watch waits for changes after a version and returns them. It returns an empty delta when none came within wait.
func (c *Client) Watch(after medlarwheel.ConfigVersion, wait time.Duration) (medlarwheel.ConfigDelta, error) {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "wait": {wait.String()}}
	r := request{method: fasthttp.MethodGet, path: PathWatch + "?" + query.Encode(), timeout: wait + watchMargin}
	return call[medlarwheel.ConfigDelta](c, r)
}

// Get reads path into a value of type T.
func Get[T any](c *Client, path string) (T, error) {
	return call[T](c, request{method: fasthttp.MethodGet, path: path})
}

// Post sends body to path and reads the answer into a value of type T.
func Post[T any](c *Client, path string, body []byte) (T, error) {
	return call[T](c, request{method: fasthttp.MethodPost, path: path, body: body})
}

func itemWritePath(path, name string, publish WriteOptions) string {
	return path + "/" + url.PathEscape(name) + "?expected=" + strconv.FormatUint(uint64(publish.ExpectedVersion), 10)
}

type request struct {
	method  string
	path    string
	body    []byte
	author  medlarwheel.Author
	timeout time.Duration
}

// call tries the instances in order until one answers. A change goes to the next instance only when the connection to
// the one before could not be opened, so that it is sent at most once.
func call[T any](c *Client, r request) (T, error) {
	var value T
	var last error
	for _, entry := range c.config.Addresses {
		data, err := c.send(entry, r)
		if err == nil {
			return value, decodeInto(entry, data, &value)
		}
		var failure *Error
		if errors.As(err, &failure) {
			return value, err
		}
		last = medlarwheel.WithOperation(r.method+" "+r.path, entry, err)
		if r.method != fasthttp.MethodGet && !isDialError(err) {
			return value, &Error{Code: CodeOutcomeUnknown, Message: last.Error() + "; the change may have taken effect"}
		}
	}
	if last == nil {
		last = errors.New("no entry instance given")
	}
	return value, &Error{Code: CodeUnavailable, Message: last.Error()}
}

func decodeInto(entry string, data []byte, value any) error {
	if len(data) == 0 {
		return nil
	}
	return medlarwheel.WithOperation("decode answer", entry, json.Unmarshal(data, value))
}

func (c *Client) send(entry string, r request) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + entry + r.path)
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
	failure := &Error{}
	if json.Unmarshal(body, failure) != nil || failure.Code == "" {
		failure = &Error{Code: CodeInternal, Message: "status " + strconv.Itoa(resp.StatusCode()) + " from " + entry}
	}
	return nil, failure
}

func isDialError(err error) bool {
	var dial *fasthttp.ErrDialWithUpstream
	return errors.As(err, &dial) || errors.Is(err, fasthttp.ErrDialTimeout)
}
