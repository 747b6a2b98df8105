package placer

import (
	"fmt"
	"math"
	"math/bits"
)

// MemoryBudget accounts for the memory of one engine, in bytes. Weights count from
// before the load is ordered until the unload is confirmed, and KV cache from
// before a request is sent until it has ended.
type MemoryBudget struct {
	capacity uint64
	weights  map[string]uint64
	cache    uint64
}

// ShortageError reports a reservation that exceeds the free memory, in bytes.
type ShortageError struct {
	Need uint64
	Free uint64
}

// Error returns the required and the free bytes.
func (e *ShortageError) Error() string {
	return fmt.Sprintf("need %d bytes of engine memory, %d are free", e.Need, e.Free)
}

// NewMemoryBudget returns an empty budget for an engine with the given memory.
func NewMemoryBudget(capacity uint64) *MemoryBudget {
	return &MemoryBudget{capacity: capacity, weights: map[string]uint64{}}
}

// Free returns the memory that is not reserved, or 0 if the reservations exceed the
// capacity.
func (b *MemoryBudget) Free() uint64 {
	used := b.Used()
	if used >= b.capacity {
		return 0
	}
	return b.capacity - used
}

// Used returns the memory reserved for weights and KV cache, or the highest number if that is
// more.
func (b *MemoryBudget) Used() uint64 {
	used := b.cache
	for _, bytes := range b.weights {
		sum, carry := bits.Add64(used, bytes, 0)
		if carry > 0 {
			return math.MaxUint64
		}
		used = sum
	}
	return used
}

// Capacity returns the memory of the engine.
func (b *MemoryBudget) Capacity() uint64 { return b.capacity }

// Reserve reserves memory for the weights of model. A repeated call for the same model
// keeps the first reservation. It returns a *ShortageError if the memory does not suffice.
func (b *MemoryBudget) Reserve(model string, bytes uint64) error {
	if _, ok := b.weights[model]; ok {
		return nil
	}
	if free := b.Free(); bytes > free {
		return &ShortageError{Need: bytes, Free: free}
	}
	b.weights[model] = bytes
	return nil
}

// Adopt records the weights of a model that the engine already holds, even if they exceed
// the capacity.
func (b *MemoryBudget) Adopt(model string, bytes uint64) { b.weights[model] = bytes }

// Release frees the memory of model after its unload was confirmed.
func (b *MemoryBudget) Release(model string) { delete(b.weights, model) }

// ReserveCache reserves memory for the KV cache of a request. It returns a *ShortageError if
// the memory does not suffice.
func (b *MemoryBudget) ReserveCache(bytes uint64) error {
	if free := b.Free(); bytes > free {
		return &ShortageError{Need: bytes, Free: free}
	}
	b.cache += bytes
	return nil
}

// ReleaseCache releases the KV cache memory of a request.
func (b *MemoryBudget) ReleaseCache(bytes uint64) { b.cache -= min(bytes, b.cache) }
