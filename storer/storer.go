// Package storer defines the interfaces to the storage outside the system's own processes:
// a table with transactions, an object store and the list of instances.
//
// The table assigns a version to every row and never uses one twice for a key, also if the store
// behind it does; see NewVersion. A transaction applies all its writes if every check matches, and
// none otherwise.
package storer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// EnginePool is the name of the pool of model engines.
const EnginePool = "models"

// Row is one row of the table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	// Deleted is set on a row of Changes that was deleted.
	Deleted bool `json:"deleted,omitempty"`
}

// GetName returns the instance's name.
func (in Instance) GetName() string { return in.Name }

// Check requires a row to have the given version. Version 0 requires that there is no such
// row.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put is the write of a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction is a set of writes that depend on checks.
type Transaction struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Instance is one process in the platform's list of instances.
type Instance struct {
	Name string `json:"name"`
	// Role is "entry" or "sidecar".
	Role string `json:"role"`
	// Centre is the name of the data centre.
	Centre string `json:"centre"`
	// Pool is "models" or the pool of plain services behind a sidecar.
	Pool string `json:"pool,omitempty"`
	// Address is where the process listens for its peers, as IP:port.
	Address string `json:"address"`
	// Started is the start of the process in Unix nanoseconds. It distinguishes the process
	// from an earlier one with the same name.
	Started int64 `json:"started,omitempty"`
	Leaving bool  `json:"leaving,omitempty"`
	// Backend is the address of the backend server beside a sidecar, as IP:port.
	Backend string `json:"backend,omitempty"`
}

// Table is the platform's table with transactions.
type Table interface {
	// Get returns the row of key, or a row with version 0 if there is none.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys begin with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies a transaction and returns the versions of the rows in Puts. A
	// ConflictError reports a check that did not match. After any other error the
	// transaction may have been applied.
	Commit(ctx context.Context, tx Transaction) ([]uint64, error)
	// Era returns the latest era of the store that is known, or 0 if the store names none.
	Era() uint64
}

// Changes are rows of one table as of a version of the whole store.
type Changes struct {
	Rows    []Row
	Version uint64
	// Omitted is the number of rows that are left out because they name no key.
	Omitted int
}

// ChangeFeed is a store that can be followed for changes to a table. The name of a table is the
// part of its rows' keys before the first slash.
type ChangeFeed interface {
	// Snapshot returns all rows of a table.
	Snapshot(ctx context.Context, table string) (Changes, error)
	// Follow returns the rows that changed after a version. If there are none, it waits for
	// one for at most wait. After a CompactedError a new snapshot is needed.
	Follow(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Load returns an object. A MissingError reports that it does not exist.
	Load(ctx context.Context, name string) ([]byte, error)
	Save(ctx context.Context, name string, data []byte) error
}

// Lister is the platform's list of instances. The list lags behind the actual state.
type Lister interface {
	// Instances returns the list and its tag. If the tag is still the one given as known,
	// it returns an UnchangedError.
	Instances(ctx context.Context, known string) (list []Instance, tag string, err error)
	// Register adds this process to the list. It has no effect on a platform that lists
	// instances by itself.
	Register(ctx context.Context, in Instance) error
	Deregister(ctx context.Context, name string) error
}

// ConflictError reports a check that did not match.
type ConflictError struct {
	Key string `json:"key"`
}

// Error names the row that has another version.
func (e *ConflictError) Error() string { return "row " + e.Key + " has another version" }

// MissingError reports an object that does not exist.
type MissingError struct {
	Name string
}

// Error names the object that does not exist.
func (e *MissingError) Error() string { return "object " + e.Name + " does not exist" }

// UnchangedError reports that the requested data still has the tag that the caller knows.
type UnchangedError struct{}

// Error returns a fixed text.
func (e *UnchangedError) Error() string { return "not changed" }

// RefusedError reports a call that the store refused, so that it has no effect.
type RefusedError struct {
	Status int
}

// Error describes the refusal with its HTTP status.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the store refused the call with status %d", e.Status)
}

// RateLimitedError reports a call that exceeded the store's rate limit and was not performed.
type RateLimitedError struct{}

// Error returns a fixed text.
func (e *RateLimitedError) Error() string { return "the store's rate limit is exceeded" }

// OutcomeUnknownError reports a call without an answer. A write may have taken effect, or may
// still do so.
type OutcomeUnknownError struct {
	cause error
}

// NewOutcomeUnknownError returns the error of a call that ended with cause instead of an answer.
func NewOutcomeUnknownError(cause error) *OutcomeUnknownError {
	return &OutcomeUnknownError{cause: cause}
}

// Error describes the cause.
func (e *OutcomeUnknownError) Error() string { return "the store did not answer: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.cause }

// CompactedError reports that the store no longer keeps the changes after a version.
type CompactedError struct {
	After uint64
}

// Error names the version after which the changes are no longer kept.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("the store no longer has the changes after version %d", e.After)
}

// Answered reports whether a call that ended with err was answered by a store that works: it was
// performed, or its condition or its position in the feed did not hold.
func Answered(err error) bool {
	var refused *RefusedError
	return err == nil || errors.As(err, &refused) && (refused.Status == http.StatusGone || refused.Status == http.StatusPreconditionFailed)
}

// OutcomeLabel returns the value of the metric label for the outcome of a call that ended with
// err.
func OutcomeLabel(err error) string {
	var (
		refused     *RefusedError
		rateLimited *RateLimitedError
		unknown     *OutcomeUnknownError
		era         *EraError
	)
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &refused):
		return "refused " + strconv.Itoa(refused.Status)
	case errors.As(err, &rateLimited):
		return "busy"
	case errors.As(err, &unknown), errors.As(err, &era):
		return "unknown"
	}
	return "unreadable"
}

// FormatError reports data that cannot be decoded or encoded: an answer, a row or a call.
type FormatError struct {
	// Text describes what failed.
	Text  string
	cause error
}

// NewFormatError returns a FormatError with a text and the cause, which may be nil.
func NewFormatError(text string, cause error) *FormatError {
	return &FormatError{Text: text, cause: cause}
}

// maxCauseBytes is the length to which Error cuts the text of a cause, which may repeat the data
// that cannot be decoded.
const maxCauseBytes = 300

// Error returns the text and the beginning of the cause.
func (e *FormatError) Error() string {
	if e.cause == nil {
		return e.Text
	}
	cause := e.cause.Error()
	if len(cause) > maxCauseBytes {
		cause = strings.ToValidUTF8(cause[:maxCauseBytes], "") + "..."
	}
	return e.Text + ": " + cause
}

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.cause }
