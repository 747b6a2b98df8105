package operator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// clientTimeout bounds one call, including the reading of the answer.
const clientTimeout = 30 * time.Second

// StatusError reports a call that was refused. Body is a Failure as JSON.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the HTTP status and the body.
func (e *StatusError) Error() string { return fmt.Sprintf("refused with %d: %s", e.Status, e.Body) }

// Client calls an entry's operator API.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// NewClient returns a client of the entry whose operator API has the URL base. Each
// call presents the operator's token.
func NewClient(base, token string) *Client {
	return &Client{baseURL: base, token: token, http: &http.Client{Timeout: clientTimeout}}
}

// Intent sends an intent as JSON and returns the plan as JSON.
func (c *Client) Intent(ctx context.Context, intent []byte) ([]byte, error) {
	return c.call(ctx, http.MethodPost, "/v1/intents", intent)
}

// Plan returns a plan as JSON.
func (c *Client) Plan(ctx context.Context, id string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, "/v1/plans/"+url.PathEscape(id), nil)
}

// Confirm confirms a plan, which brings its change into force, and returns the plan
// as JSON.
func (c *Client) Confirm(ctx context.Context, id string) ([]byte, error) {
	return c.call(ctx, http.MethodPost, "/v1/plans/"+url.PathEscape(id)+"/confirm", nil)
}

// Grant makes a key for a workspace and returns a GrantedKey as JSON.
func (c *Client) Grant(ctx context.Context, workspace string) ([]byte, error) {
	body := fmt.Appendf(nil, `{"workspace":%q}`, workspace)
	return c.call(ctx, http.MethodPost, "/v1/keys", body)
}

// Withdraw removes a key and returns a Rollout as JSON.
func (c *Client) Withdraw(ctx context.Context, id string) ([]byte, error) {
	return c.call(ctx, http.MethodDelete, "/v1/keys/"+url.PathEscape(id), nil)
}

// Status returns a Status as JSON.
func (c *Client) Status(ctx context.Context) ([]byte, error) {
	return c.call(ctx, http.MethodGet, "/v1/status", nil)
}

// Explain returns the fleet's decision records about a subject as JSON, oldest first.
func (c *Client) Explain(ctx context.Context, subject string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, "/v1/explain?subject="+url.QueryEscape(subject), nil)
}

// Dump returns the state of an instance as JSON. Without a name it is that of the entry.
func (c *Client) Dump(ctx context.Context, instance string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, "/v1/dump?instance="+url.QueryEscape(instance), nil)
}

// call sends a request and returns the body of the answer. An answer other than 200 is
// a StatusError.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build operator call")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	res, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "call entry")
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, eris.Wrap(err, "read entry's answer")
	}
	if res.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: res.StatusCode, Body: string(data)}
	}
	return data, nil
}
