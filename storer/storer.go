// Package storer defines what the system keeps outside its own processes: a table
// with transactions, an object store and the list of instances.
//
// Every row has a version that the store assigns and never repeats for a key; a
// transaction applies all its writes if every check matches, and none otherwise.
package storer

import (
	"context"
)

// EnginePool is the pool of the model engines.
const EnginePool = "models"

// Row is one row of the table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
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
