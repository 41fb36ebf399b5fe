// Package client speaks to the daemons' HTTP interfaces: the callers' one and
// the one for administration.
//
// An operation is tried again only when the daemon's verdict is "not run", or
// when it only reads, and within a Budget.
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

// maxAnswerBytes bounds an answer that is read into memory.
const maxAnswerBytes = 256 << 20

// Options says where the daemons are and how to speak to them.
type Options struct {
	// URLs are base URLs of instances; another attempt goes to the next one.
	URLs []string
	// Key is the secret of the caller's or operator's key; empty for queues
	// open to all.
	Key string
	// HTTP is the client to use; nil for one with the package's defaults.
	HTTP   *http.Client
	Budget Budget
}

// Client speaks to a set of equal daemons. It is safe for concurrent use.
type Client struct {
	urls   []string
	key    string
	http   *http.Client
	budget Budget
	// next counts attempts, so that they go round the instances.
	next atomic.Uint64
}

// New returns a client.
func New(o Options) (*Client, error) {
	if len(o.URLs) == 0 {
		return nil, errors.New("no address of a daemon is given; name at least one")
	}
	c := &Client{key: o.Key, http: o.HTTP, budget: o.Budget}
	for _, text := range o.URLs {
		u, err := url.Parse(text)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, errors.Errorf("%q is not the URL of a daemon; write http://IP:PORT", text)
		}
		c.urls = append(c.urls, strings.TrimSuffix(u.String(), "/"))
	}
	if c.http == nil {
		c.http = defaultHTTP()
	}
	return c, nil
}

const (
	// idleConnections is enough for the load generator's concurrency.
	idleConnections = 512
	// idleTimeout closes connections before a daemon's own idle timeout.
	idleTimeout = 30 * time.Second
)

// defaultHTTP returns an HTTP client that follows no redirects, which daemons
// never send, and keeps enough connections for many requests at once.
func defaultHTTP() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConns = idleConnections
	transport.MaxIdleConnsPerHost = idleConnections
	transport.IdleConnTimeout = idleTimeout
	transport.DisableCompression = true
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// call is one operation before it is sent.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// answer is a whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// open sends a call to the next instance and returns the response to an
// accepted one with its body still open.
func (c *Client) open(ctx context.Context, op call) (*http.Response, *Error) {
	request, err := c.request(ctx, op)
	if err != nil {
		return nil, &Error{Kind: KindRefused, Detail: err.Error(), Verdict: VerdictNotRun, cause: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, transportError(ctx, err)
	}
	return response, nil
}

func (c *Client) request(ctx context.Context, op call) (*http.Request, error) {
	base := c.urls[(c.next.Add(1)-1)%uint64(len(c.urls))]
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

// once sends a call once and reads the whole answer.
func (c *Client) once(ctx context.Context, op call) (*answer, *Error) {
	response, failure := c.open(ctx, op)
	if failure != nil {
		return nil, failure
	}
	defer func() { _ = response.Body.Close() }()
	a, failure := readAnswer(ctx, response)
	if failure != nil {
		return nil, failure
	}
	if a.status < http.StatusOK || a.status >= http.StatusMultipleChoices {
		return nil, answerError(a)
	}
	return a, nil
}

func readAnswer(ctx context.Context, response *http.Response) (*answer, *Error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, transportError(ctx, errors.Wrap(err, "the answer was cut off"))
	}
	if len(body) > maxAnswerBytes {
		return nil, brokenError("the answer is too large to be read", nil)
	}
	return &answer{status: response.StatusCode, header: response.Header, body: body}, nil
}

// jsonCall returns a call with a JSON body, or none when body is nil.
func jsonCall(method, path string, body any) (call, error) {
	op := call{method: method, path: path, header: http.Header{}}
	if body == nil {
		return op, nil
	}
	data, err := json.Marshal(body)
	if err != nil {
		return op, errors.Wrap(err, "encode request")
	}
	op.header.Set("Content-Type", "application/json")
	op.body = data
	return op, nil
}

// decode reads the JSON body of an answer.
func decode(a *answer, into any) *Error {
	if err := json.Unmarshal(a.body, into); err != nil {
		return protocolError(a, err.Error())
	}
	return nil
}
