package executor

import (
	"encoding/json"
	"time"

	"oleanderstall/wire"
)

// State is the state of a sidecar as its dump reports it.
type State struct {
	// Instance is the name of the sidecar's instance.
	Instance string `json:"instance"`
	// Config is the version of the sidecar's configuration.
	Config   uint64 `json:"config"`
	Draining bool   `json:"draining"`
	// Ready is set once the sidecar accepts orders; always for a plain service.
	Ready bool `json:"ready"`
	// Capacity and Used are the engine's memory and the reserved part, in bytes.
	Capacity uint64 `json:"capacity"`
	Used     uint64 `json:"used"`
	// Running and Waiting count requests.
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	Replicas []Replica `json:"replicas"`
}

// Replica is a model or adapter of the engine in a dump.
type Replica struct {
	Model string `json:"model"`
	Base  string `json:"base,omitempty"`
	// Slot and Epoch are the index of the slot and the fencing number of the order
	// that loaded the replica.
	Slot  uint32 `json:"slot"`
	Epoch uint64 `json:"epoch"`
	State string `json:"state"`
	// Users is the number of requests that are queued or running on the replica.
	Users int `json:"users"`
	// Idle is the time since the last use, and KeepAlive that for which the replica
	// stays loaded while idle.
	Idle      time.Duration `json:"idle"`
	KeepAlive time.Duration `json:"keep"`
}

// Dump returns the present state of the sidecar.
func (x *Executor) Dump() State {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock()
	state := State{
		Instance: x.member.Self().Name,
		Config:   x.member.View().Version(),
		Draining: x.draining,
		Ready:    x.engine == nil || x.statusKnown && now >= x.ordersFrom,
		Capacity: x.budget.Capacity(),
		Used:     x.budget.Used(),
		Running:  x.running,
		Waiting:  x.queueLength(),
		Replicas: []Replica{},
	}
	for _, r := range x.replicas {
		state.Replicas = append(state.Replicas, Replica{
			Model:     r.model,
			Base:      r.base,
			Slot:      r.slotIndex,
			Epoch:     r.epoch,
			State:     r.state.String(),
			Users:     r.users,
			Idle:      now - r.lastUsed,
			KeepAlive: x.keepAlive(r),
		})
	}
	return state
}

// dump answers with the whole state as JSON, or, if subject is not empty, with the
// recorded events whose subject begins with it.
func (x *Executor) dump(subject string) *wire.Reply {
	var value any = x.Dump()
	if subject != "" {
		value = x.recorder.BySubject(subject)
	}
	data, err := json.Marshal(value)
	if err != nil {
		data = []byte("null")
	}
	return &wire.Reply{Body: &wire.Reply_Text{Text: &wire.Text{Data: data}}}
}
