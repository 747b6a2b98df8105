package placer

import "fmt"

// MemoryBudget accounts for the memory of one engine, in bytes. Weights count from
// before the load is ordered until the unload is confirmed, and KV cache from
// before a request is sent until it has ended.
type MemoryBudget struct {
	capacity uint64
	weights  map[string]uint64
	cache    uint64
}

// ShortageError reports a reservation that does not fit.
type ShortageError struct {
	Need uint64
	Free uint64
}

// Error describes the shortage.
func (e *ShortageError) Error() string {
	return fmt.Sprintf("need %d bytes of engine memory, %d are free", e.Need, e.Free)
}

// NewMemoryBudget returns the ledger of an engine with that memory.
func NewMemoryBudget(capacity uint64) *MemoryBudget {
	return &MemoryBudget{capacity: capacity, weights: map[string]uint64{}}
}

// Free returns the memory that is not reserved.
func (l *MemoryBudget) Free() uint64 {
	used := l.Used()
	if used >= l.capacity {
		return 0
	}
	return l.capacity - used
}

// Used returns the reserved memory.
func (l *MemoryBudget) Used() uint64 {
	used := l.cache
	for _, bytes := range l.weights {
		used += bytes
	}
	return used
}

// Capacity returns the engine's memory.
func (l *MemoryBudget) Capacity() uint64 { return l.capacity }

// Reserve takes memory for the weights of model. Reserving a model again keeps
// the first reservation.
func (l *MemoryBudget) Reserve(model string, bytes uint64) error {
	if _, ok := l.weights[model]; ok {
		return nil
	}
	if free := l.Free(); bytes > free {
		return &ShortageError{Need: bytes, Free: free}
	}
	l.weights[model] = bytes
	return nil
}

// Adopt records weights that the engine already holds, even beyond its memory.
func (l *MemoryBudget) Adopt(model string, bytes uint64) { l.weights[model] = bytes }

// Release returns the memory of model after its unload was confirmed.
func (l *MemoryBudget) Release(model string) { delete(l.weights, model) }

// Cache takes memory for the KV cache of a request.
func (l *MemoryBudget) Cache(bytes uint64) error {
	if free := l.Free(); bytes > free {
		return &ShortageError{Need: bytes, Free: free}
	}
	l.cache += bytes
	return nil
}

// Return gives back the KV cache memory of a request.
func (l *MemoryBudget) Return(bytes uint64) { l.cache -= min(bytes, l.cache) }
