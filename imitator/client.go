package imitator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"oleanderstall/storer"
)

// StatusError reports an answer of the platform with an HTTP status of 300 or higher.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered %d: %s", e.Status, e.Body)
}

// maxAnswerBytes bounds the body of an answer. Longer bodies are truncated.
const maxAnswerBytes = 64 << 20

// callTimeout bounds one call to the platform.
const callTimeout = 2 * time.Second

// Client is an HTTP client of the stand-in platform. It implements storer.Table,
// storer.ObjectStore and storer.Lister.
type Client struct {
	base string
	http *http.Client
	eras storer.Eras
}

// NewClient returns a client of the platform at a base URL, such as
// http://10.0.0.1:8000.
func NewClient(base string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	return &Client{base: base, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Era implements storer.Table.
func (c *Client) Era() uint64 { return c.eras.Latest() }

// Get implements storer.Table. A row that does not exist has version 0.
func (c *Client) Get(ctx context.Context, key string) (storer.Row, error) {
	var row storer.Row
	era, err := c.callJSON(ctx, http.MethodGet, "/v1/rows/"+url.PathEscape(key), nil, nil, &row)
	var status *StatusError
	if eris.As(err, &status) && status.Status == http.StatusNotFound {
		return storer.Row{Key: key}, nil
	}
	row.Version = storer.NewVersion(era, row.Version)
	return row, err
}

// List implements storer.Table.
func (c *Client) List(ctx context.Context, prefix string) ([]storer.Row, error) {
	var rows []storer.Row
	era, err := c.callJSON(ctx, http.MethodGet, "/v1/rows?prefix="+url.QueryEscape(prefix), nil, nil, &rows)
	for i := range rows {
		rows[i].Version = storer.NewVersion(era, rows[i].Version)
	}
	return rows, err
}

// Commit implements storer.Table. It returns a ConflictError if a check does not hold, also one of a
// version of an earlier era, and an EraError if the table is of another era than the latest one that
// is known: nothing is written then.
func (c *Client) Commit(ctx context.Context, tx storer.Transaction) ([]uint64, error) {
	known := c.Era()
	checks := slices.Clone(tx.Checks)
	for i, check := range checks {
		if check.Version > 0 && storer.Era(check.Version) != known {
			return nil, &storer.ConflictError{Key: check.Key}
		}
		checks[i].Version = storer.Number(check.Version)
	}
	tx.Checks = checks
	var header http.Header
	if known > 0 {
		header = http.Header{ifEraHeader: {strconv.FormatUint(known, 10)}}
	}
	var versions []uint64
	era, err := c.callJSON(ctx, http.MethodPost, "/v1/transactions", header, tx, &versions)
	for i := range versions {
		versions[i] = storer.NewVersion(era, versions[i])
	}
	return versions, commitError(err, era, known)
}

// commitError returns the typed error for a transaction that was answered in an era, where another one
// was known, or else err.
func commitError(err error, era, known uint64) error {
	var status *StatusError
	if !eris.As(err, &status) {
		return err
	}
	conflict := &storer.ConflictError{}
	switch {
	case status.Status == http.StatusPreconditionFailed:
		return &storer.EraError{Era: era, Known: known}
	case status.Status == http.StatusConflict && json.Unmarshal([]byte(status.Body), conflict) == nil:
		return conflict
	}
	return err
}

// Load implements storer.ObjectStore. It returns a MissingError for an unknown object.
func (c *Client) Load(ctx context.Context, name string) ([]byte, error) {
	data, err := c.send(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(name), nil)
	var status *StatusError
	if eris.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, &storer.MissingError{Name: name}
	}
	return data, err
}

// Save implements storer.ObjectStore.
func (c *Client) Save(ctx context.Context, name string, data []byte) error {
	_, err := c.send(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(name), data)
	return err
}

// Instances implements storer.Lister. It returns an UnchangedError if knownTag is the
// tag of the current list.
func (c *Client) Instances(ctx context.Context, knownTag string) ([]storer.Instance, string, error) {
	res, err := c.do(ctx, http.MethodGet, "/v1/instances", nil, http.Header{"If-None-Match": {knownTag}})
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusNotModified {
		return nil, knownTag, &storer.UnchangedError{}
	}
	data, err := readAnswer(res)
	if err != nil {
		return nil, "", err
	}
	var list []storer.Instance
	err = json.Unmarshal(data, &list)
	return list, res.Header.Get("ETag"), eris.Wrap(err, "decode instance list")
}

// Register implements storer.Lister.
func (c *Client) Register(ctx context.Context, instance storer.Instance) error {
	_, err := c.callJSON(ctx, http.MethodPut, "/v1/instances/"+url.PathEscape(instance.Name), nil, instance, nil)
	return err
}

// Deregister implements storer.Lister.
func (c *Client) Deregister(ctx context.Context, name string) error {
	_, err := c.callJSON(ctx, http.MethodDelete, "/v1/instances/"+url.PathEscape(name), nil, nil, nil)
	return err
}

// callJSON sends request as JSON and decodes the answer into result. Either may be nil. It returns the
// era of the answer.
func (c *Client) callJSON(ctx context.Context, method, path string, header http.Header, request, result any) (uint64, error) {
	var body []byte
	if request != nil {
		data, err := json.Marshal(request)
		if err != nil {
			return 0, eris.Wrap(err, "encode platform call")
		}
		body = data
	}
	res, err := c.do(ctx, method, path, body, header)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	era := c.eras.Parse(res.Header.Get(eraHeader))
	data, err := readAnswer(res)
	if err != nil || result == nil {
		return era, err
	}
	return era, eris.Wrap(json.Unmarshal(data, result), "decode platform answer")
}

// send sends a request and returns the body of its answer.
func (c *Client) send(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	res, err := c.do(ctx, method, path, body, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	return readAnswer(res)
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

// readAnswer returns the body of an answer, or a StatusError.
func readAnswer(res *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return nil, eris.Wrap(err, "read platform answer")
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return nil, &StatusError{Status: res.StatusCode, Body: string(data)}
	}
	return data, nil
}
