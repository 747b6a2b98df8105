// Package storer defines what the system keeps outside its own processes: a table
// with transactions, an object store and the list of instances.
//
// Every row has a version that the store assigns and never repeats for a key; a
// transaction applies all its writes if every check matches, and none otherwise.
package storer

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// EnginePool is the pool of the model engines.
const EnginePool = "models"

// Row is one row of the table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	// Deleted marks a row of Changes that no longer exists.
	Deleted bool `json:"deleted,omitempty"`
}

// GetName returns the instance's name.
func (in Instance) GetName() string { return in.Name }

// Check requires a row to have a version; version 0 requires its absence.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row.
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

// Instance is one line of the platform's list.
type Instance struct {
	Name string `json:"name"`
	// Role is "entry" or "sidecar".
	Role string `json:"role"`
	// Centre is the data centre.
	Centre string `json:"centre"`
	// Pool is "models" or the pool of plain services behind a sidecar.
	Pool string `json:"pool,omitempty"`
	// Address is where the process listens for its peers, as IP:port.
	Address string `json:"address"`
	// Started is the start of the process, in Unix nanoseconds. It tells a process
	// from an earlier one of the same name.
	Started int64 `json:"started,omitempty"`
	Leaving bool  `json:"leaving,omitempty"`
	// Backend is the address of the backend server beside a sidecar, as IP:port.
	Backend string `json:"backend,omitempty"`
}

// Table is the platform's table service.
type Table interface {
	// Get returns the row of key, or a row with version 0 if there is none.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys begin with prefix, by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies a transaction and returns the versions of the rows put, or
	// a ConflictError. After any other error it may have been applied.
	Commit(ctx context.Context, tx Transaction) ([]uint64, error)
}

// Changes are rows of one table as of a version of the store.
type Changes struct {
	Rows    []Row
	Version uint64
}

// Feeder is a store that tells what has changed in a table. The name of a table
// is the part of its rows' keys before the first slash.
type Feeder interface {
	// Snapshot returns all rows of a table.
	Snapshot(ctx context.Context, table string) (Changes, error)
	// Follow returns the rows that changed after a version. It waits for the first
	// one for at most wait. A HistoryError asks for a new snapshot.
	Follow(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// Store is the platform's object store.
type Store interface {
	// Load returns an object, or a MissingError.
	Load(ctx context.Context, name string) ([]byte, error)
	Save(ctx context.Context, name string, data []byte) error
}

// Lister is the platform's instance list. The list lags behind the truth.
type Lister interface {
	// Instances returns the list and its tag. If the list still has the tag
	// known, it returns an UnchangedError.
	Instances(ctx context.Context, known string) (list []Instance, tag string, err error)
	// Register announces this process; a platform that lists instances by itself
	// ignores it.
	Register(ctx context.Context, in Instance) error
	Deregister(ctx context.Context, name string) error
}

// ConflictError reports a check that did not match.
type ConflictError struct {
	Key string `json:"key"`
}

// Error names the row.
func (e *ConflictError) Error() string { return "row " + e.Key + " has another version" }

// MissingError reports an object that does not exist.
type MissingError struct {
	Name string
}

// Error names the object.
func (e *MissingError) Error() string { return "object " + e.Name + " does not exist" }

// UnchangedError reports that what was asked for has not changed.
type UnchangedError struct{}

// Error says so.
func (e *UnchangedError) Error() string { return "not changed" }

// RefusedError reports a call that the store did not perform, and will not.
type RefusedError struct {
	Status int
}

// Error gives the status.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the store refused the call with status %d", e.Status)
}

// BusyError reports a call beyond the store's rate, which was not performed.
type BusyError struct{}

// Error says so.
func (e *BusyError) Error() string { return "the store's rate is used up" }

// UnknownError reports a call without an answer. A write may have taken effect,
// or may still do so.
type UnknownError struct {
	cause error
}

// NewUnknownError returns the error of a call that ended with cause.
func NewUnknownError(cause error) *UnknownError { return &UnknownError{cause: cause} }

// Error gives the cause.
func (e *UnknownError) Error() string { return "the store did not answer: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.cause }

// HistoryError reports that the changes after a version are no longer kept.
type HistoryError struct {
	After uint64
}

// Error names the version.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("the store no longer has the changes after version %d", e.After)
}

// Outcome is a short word for how a call ended, for metrics.
func Outcome(err error) string {
	var (
		refused *RefusedError
		busy    *BusyError
		unknown *UnknownError
	)
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &refused):
		return "refused " + strconv.Itoa(refused.Status)
	case errors.As(err, &busy):
		return "busy"
	case errors.As(err, &unknown):
		return "unknown"
	}
	return "unreadable"
}

// FormatError reports an answer that cannot be read.
type FormatError struct {
	Text  string
	cause error
}

// NewFormatError returns the error of an answer that could not be read.
func NewFormatError(text string, cause error) *FormatError {
	return &FormatError{Text: text, cause: cause}
}

// Error describes the answer and the cause.
func (e *FormatError) Error() string {
	if e.cause == nil {
		return e.Text
	}
	return e.Text + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.cause }
