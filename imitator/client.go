package imitator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"oleanderstall/storer"
)

// StatusError reports an answer with an unexpected HTTP status.
type StatusError struct {
	Status int
	Body   string
}

// Error gives the status and the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered %d: %s", e.Status, e.Body)
}

// maxAnswer bounds the body of an answer, in bytes.
const maxAnswer = 64 << 20

// callTimeout bounds one call to the platform.
const callTimeout = 2 * time.Second

// Client is the HTTP client of the stand-in platform.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform at base, such as http://10.0.0.1:8000.
func NewClient(base string) *Client {
	tr := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	return &Client{base: base, http: &http.Client{Transport: tr, Timeout: callTimeout}}
}

// Get implements storer.Table.
func (c *Client) Get(ctx context.Context, key string) (storer.Row, error) {
	var row storer.Row
	err := c.call(ctx, http.MethodGet, "/v1/rows/"+url.PathEscape(key), nil, &row)
	var status *StatusError
	if eris.As(err, &status) && status.Status == http.StatusNotFound {
		return storer.Row{Key: key}, nil
	}
	return row, err
}

// List implements storer.Table.
func (c *Client) List(ctx context.Context, prefix string) ([]storer.Row, error) {
	var rows []storer.Row
	err := c.call(ctx, http.MethodGet, "/v1/rows?prefix="+url.QueryEscape(prefix), nil, &rows)
	return rows, err
}

// Commit implements storer.Table.
func (c *Client) Commit(ctx context.Context, tx storer.Transaction) ([]uint64, error) {
	var versions []uint64
	err := c.call(ctx, http.MethodPost, "/v1/transactions", tx, &versions)
	var status *StatusError
	if eris.As(err, &status) && status.Status == http.StatusConflict {
		conflict := &storer.ConflictError{}
		if json.Unmarshal([]byte(status.Body), conflict) == nil {
			return nil, conflict
		}
	}
	return versions, err
}

// Load implements storer.Store.
func (c *Client) Load(ctx context.Context, name string) ([]byte, error) {
	data, err := c.send(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(name), nil)
	var status *StatusError
	if eris.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, &storer.MissingError{Name: name}
	}
	return data, err
}

// Save implements storer.Store.
func (c *Client) Save(ctx context.Context, name string, data []byte) error {
	_, err := c.send(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(name), data)
	return err
}

// Instances implements storer.Lister.
func (c *Client) Instances(ctx context.Context, known string) ([]storer.Instance, string, error) {
	res, err := c.do(ctx, http.MethodGet, "/v1/instances", nil, http.Header{"If-None-Match": {known}})
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusNotModified {
		return nil, known, &storer.UnchangedError{}
	}
	data, err := read(res)
	if err != nil {
		return nil, "", err
	}
	var list []storer.Instance
	err = json.Unmarshal(data, &list)
	return list, res.Header.Get("ETag"), eris.Wrap(err, "decode instance list")
}

// Register implements storer.Lister.
func (c *Client) Register(ctx context.Context, in storer.Instance) error {
	return c.call(ctx, http.MethodPut, "/v1/instances/"+url.PathEscape(in.Name), in, nil)
}

// Deregister implements storer.Lister.
func (c *Client) Deregister(ctx context.Context, name string) error {
	return c.call(ctx, http.MethodDelete, "/v1/instances/"+url.PathEscape(name), nil, nil)
}

// call sends in as JSON and decodes the answer into out.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return eris.Wrap(err, "encode platform call")
		}
		body = data
	}
	data, err := c.send(ctx, method, path, body)
	if err != nil || out == nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(data, out), "decode platform answer")
}

func (c *Client) send(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	res, err := c.do(ctx, method, path, body, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	return read(res)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build platform call")
	}
	for name, values := range header {
		req.Header[http.CanonicalHeaderKey(name)] = values
	}
	res, err := c.http.Do(req)
	return res, eris.Wrap(err, "call platform")
}

func read(res *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return nil, eris.Wrap(err, "read platform answer")
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return nil, &StatusError{Status: res.StatusCode, Body: string(data)}
	}
	return data, nil
}
