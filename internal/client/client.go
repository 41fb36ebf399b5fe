// Package client is a client of the daemons' HTTP APIs: the one for callers and
// the one for administration.
//
// A failed operation is retried within a Budget. An operation that changes
// something is retried only if the verdict is "not run", so that it never takes
// effect twice. One that only reads is also retried if its response was lost.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxResponseBytes bounds the size of a response body that is read into memory.
const maxResponseBytes = 256 << 20

// Options configures a Client.
type Options struct {
	// URLs are the base URLs of instances. Attempts go to them in turn, so
	// that a retry goes to another instance.
	URLs []string
	// Key is the secret of the caller's or operator's key. It may be empty
	// for queues that are open to all.
	Key string
	// HTTP is the client to use, or nil for one with the package's defaults.
	HTTP *http.Client
	// Budget bounds the retries of each operation.
	Budget Budget
}

// Client sends operations to a set of interchangeable daemons. It is safe for
// concurrent use.
type Client struct {
	urls   []string
	key    string
	http   *http.Client
	budget Budget
	// attempts counts the attempts of all operations, to use the URLs in
	// turn.
	attempts atomic.Uint64
}

// New returns a client of the daemons at o.URLs. It fails if there is no URL or
// if any of them isn't an http or https URL with a host.
func New(o Options) (*Client, error) {
	if len(o.URLs) == 0 {
		return nil, errors.New("no daemon URL is given; give at least one")
	}
	c := &Client{key: o.Key, http: o.HTTP, budget: o.Budget}
	for _, text := range o.URLs {
		u, err := url.Parse(text)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, errors.Errorf("%q is not the URL of a daemon; expected http://IP:PORT", text)
		}
		c.urls = append(c.urls, strings.TrimSuffix(u.String(), "/"))
	}
	if c.http == nil {
		c.http = newHTTPClient()
	}
	return c, nil
}

const (
	// maxIdleConnections is the number of idle connections that are kept for
	// reuse, for the many concurrent requests of the load generator.
	maxIdleConnections = 512
	// idleConnectionTimeout is shorter than the daemons' own idle timeout, so
	// that the client closes an idle connection first.
	idleConnectionTimeout = 30 * time.Second
)

// newHTTPClient returns an HTTP client that keeps enough connections for many
// concurrent requests. It follows no redirects, since daemons never send any.
func newHTTPClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConns = maxIdleConnections
	transport.MaxIdleConnsPerHost = maxIdleConnections
	transport.IdleConnTimeout = idleConnectionTimeout
	transport.DisableCompression = true
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// operation is an HTTP request without the daemon's URL and the key, so that
// each attempt can go to another instance.
type operation struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// bufferedResponse is a response whose body has been read into memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// send sends an operation to the next instance and returns the response,
// whatever its status, with its body still open. The caller must close it.
func (c *Client) send(ctx context.Context, op operation) (*http.Response, *Error) {
	request, err := c.newRequest(ctx, op)
	if err != nil {
		return nil, &Error{Kind: KindRefused, Detail: err.Error(), Verdict: VerdictNotRun, cause: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, transportError(ctx, err)
	}
	return response, nil
}

// newRequest returns the HTTP request of an operation to the next instance.
func (c *Client) newRequest(ctx context.Context, op operation) (*http.Request, error) {
	base := c.urls[(c.attempts.Add(1)-1)%uint64(len(c.urls))]
	request, err := http.NewRequestWithContext(ctx, op.method, base+op.path, bytes.NewReader(op.body))
	if err != nil {
		return nil, err
	}
	for name, values := range op.header {
		request.Header[name] = values
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	return request, nil
}

// roundTrip sends an operation once and reads the whole response. A status
// other than 2xx is returned as an error.
func (c *Client) roundTrip(ctx context.Context, op operation) (*bufferedResponse, *Error) {
	response, failure := c.send(ctx, op)
	if failure != nil {
		return nil, failure
	}
	defer func() { _ = response.Body.Close() }()
	resp, failure := readResponse(ctx, response)
	if failure != nil {
		return nil, failure
	}
	if resp.status < http.StatusOK || resp.status >= http.StatusMultipleChoices {
		return nil, responseError(resp)
	}
	return resp, nil
}

// readResponse reads the whole body of a response, at most maxResponseBytes.
func readResponse(ctx context.Context, response *http.Response) (*bufferedResponse, *Error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, transportError(ctx, errors.Wrap(err, "the response was cut off"))
	}
	if len(body) > maxResponseBytes {
		return nil, brokenError("the response is too large", nil)
	}
	return &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}, nil
}

// newJSONOperation returns an operation with body encoded as JSON, or without a
// body if body is nil.
func newJSONOperation(method, path string, body any) (operation, error) {
	op := operation{method: method, path: path, header: http.Header{}}
	if body == nil {
		return op, nil
	}
	data, err := json.Marshal(body)
	if err != nil {
		return op, errors.Wrap(err, "encode the request")
	}
	op.header.Set("Content-Type", "application/json")
	op.body = data
	return op, nil
}

// decodeJSON decodes the JSON body of a response.
func decodeJSON(resp *bufferedResponse, into any) *Error {
	if err := json.Unmarshal(resp.body, into); err != nil {
		return protocolError(resp, err.Error())
	}
	return nil
}
