package objectstore

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"heatherrelay/internal/connection"
	"heatherrelay/internal/rawjson"
)

// Defaults and limits of the client.
const (
	DefaultCallTimeout = 3 * time.Second
	maxIdleTime        = 20 * time.Second
	maxConnections     = 64
	maxResponseBytes   = 256 << 20
)

// Client calls the platform's object API over HTTP. Each call is sent once, without
// retries, and has a timeout. A call without a usable response fails with
// ErrUnavailable, and all idle connections are then closed, since they may be
// broken like the one that failed. Set the exported fields before the first use
// of Store.
type Client struct {
	Address netip.AddrPort
	// CallTimeout is the timeout of a call, and of a watch in addition to its
	// wait; zero means DefaultCallTimeout.
	CallTimeout time.Duration

	once       sync.Once
	httpClient *connection.HTTPClient
}

// Store returns a Store whose calls go to the platform.
func (c *Client) Store() Store {
	c.once.Do(func() {
		c.httpClient = &connection.HTTPClient{MaxConnections: maxConnections, MaxIdleTime: maxIdleTime, MaxResponseBytes: maxResponseBytes, CloseIdleOnError: true}
		if c.CallTimeout == 0 {
			c.CallTimeout = DefaultCallTimeout
		}
	})
	return Store{
		Get:       c.get,
		Put:       c.put,
		Delete:    c.delete,
		List:      c.list,
		Watch:     c.watch,
		Instances: c.instances,
		Targets:   c.targets,
	}
}

// call is one request to the platform.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// wait is how long the platform may delay the response; set for watches.
	wait time.Duration
}

func objectPath(key string) string {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return "/v1/objects/" + strings.Join(segments, "/")
}

func versionQuery(ifVersion uint64) url.Values {
	return url.Values{"if_version": {strconv.FormatUint(ifVersion, 10)}}
}

func (c *Client) get(ctx context.Context, key string) (Object, error) {
	var object Object
	err := c.do(ctx, call{method: http.MethodGet, path: objectPath(key)}, &object)
	return object, err
}

func (c *Client) put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge.New("%s: %d bytes", key, len(value))
	}
	var object Object
	err := c.do(ctx, call{method: http.MethodPut, path: objectPath(key), query: versionQuery(ifVersion), body: value}, &object)
	return object.Version, err
}

func (c *Client) delete(ctx context.Context, key string, ifVersion uint64) error {
	return c.do(ctx, call{method: http.MethodDelete, path: objectPath(key), query: versionQuery(ifVersion)}, nil)
}

func (c *Client) list(ctx context.Context, prefix string) (Listing, error) {
	var listing Listing
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/objects", query: url.Values{"prefix": {prefix}}}, &listing)
	return listing, err
}

func (c *Client) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var changes Changes
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/watch", query: query, wait: wait}, &changes)
	return changes, err
}

func (c *Client) instances(ctx context.Context) ([]InstanceEntry, error) {
	return rows[InstanceEntry](ctx, c, "/v1/instances")
}

func (c *Client) targets(ctx context.Context) ([]TargetEntry, error) {
	return rows[TargetEntry](ctx, c, "/v1/targets")
}

// rows returns the rows of a list of the platform. A row that cannot be decoded is left out.
func rows[T any](ctx context.Context, c *Client, path string) ([]T, error) {
	var list rowList
	if err := c.do(ctx, call{method: http.MethodGet, path: path}, &list); err != nil {
		return nil, err
	}
	entries := make([]T, 0, len(list))
	for _, row := range list {
		var entry T
		if json.Unmarshal(row, &entry) == nil {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

// rowList is a list whose rows are not decoded.
type rowList []json.RawMessage

// decode splits the text of a list.
func (l *rowList) decode(text []byte) (err error) {
	*l, err = rawjson.Array(text)
	return err
}

// do sends a call and decodes the response into into. It returns when ctx is done,
// although the call may still be in flight.
func (c *Client) do(ctx context.Context, req call, into any) error {
	response, err := c.httpClient.Do(ctx, connection.Request{
		Method:  req.method,
		URI:     "http://" + c.Address.String() + req.path + "?" + req.query.Encode(),
		Body:    req.body,
		Timeout: c.CallTimeout + req.wait,
	})
	if err != nil {
		return ErrUnavailable.New("%s %s: %w", req.method, req.path, err)
	}
	return decode(req, response, into)
}

// errorByStatus maps the status codes with which the platform rejects a call. All
// other status codes leave the outcome open and map to ErrUnavailable.
var errorByStatus = map[int]*errs.Class{
	http.StatusNotFound:              &ErrNotFound,
	http.StatusConflict:              &ErrConflict,
	http.StatusRequestEntityTooLarge: &ErrTooLarge,
	http.StatusTooManyRequests:       &ErrThrottled,
	http.StatusGone:                  &ErrCompacted,
}

func decode(req call, response connection.Response, into any) error {
	if response.Status != http.StatusOK {
		kind, ok := errorByStatus[response.Status]
		if !ok {
			kind = &ErrUnavailable
		}
		return kind.New("%s %s: status %d", req.method, req.path, response.Status)
	}
	if into == nil {
		return nil
	}
	if err := decodeBody(response.Body, into); err != nil {
		return ErrUnavailable.Wrap(fmt.Errorf("%s %s: unreadable answer: %w", req.method, req.path, err))
	}
	return nil
}

func decodeBody(body []byte, into any) error {
	if list, ok := into.(*rowList); ok {
		return list.decode(body)
	}
	return json.Unmarshal(body, into)
}
