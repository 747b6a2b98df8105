package executor

import (
	"encoding/json"
	"time"

	"oleanderstall/wire"
)

// State is the dump of a sidecar.
type State struct {
	Instance string    `json:"instance"`
	Config   uint64    `json:"config"`
	Draining bool      `json:"draining"`
	Ready    bool      `json:"ready"`
	Capacity uint64    `json:"capacity"`
	Used     uint64    `json:"used"`
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	Replicas []Replica `json:"replicas"`
}

// Replica is a loaded model in a dump.
type Replica struct {
	Model string        `json:"model"`
	Base  string        `json:"base,omitempty"`
	Slot  uint32        `json:"slot"`
	Epoch uint64        `json:"epoch"`
	State string        `json:"state"`
	Users int           `json:"users"`
	Idle  time.Duration `json:"idle"`
	Keep  time.Duration `json:"keep"`
}

// Dump returns the state of the sidecar.
func (x *Executor) Dump() State {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock()
	st := State{
		Instance: x.member.Self().Name,
		Config:   x.member.View().Version(),
		Draining: x.draining,
		Ready:    x.engine == nil || x.known && now >= x.ready,
		Capacity: x.ledger.Capacity(),
		Used:     x.ledger.Used(),
		Running:  x.running,
		Waiting:  x.depth(),
		Replicas: []Replica{},
	}
	for _, r := range x.replicas {
		st.Replicas = append(st.Replicas, Replica{
			Model: r.model,
			Base:  r.base,
			Slot:  r.slot,
			Epoch: r.epoch,
			State: r.state.String(),
			Users: r.users,
			Idle:  now - r.last,
			Keep:  x.keep(r),
		})
	}
	return st
}

// dump answers with the whole state, or with the records about a subject.
func (x *Executor) dump(subject string) *wire.Reply {
	var v any = x.Dump()
	if subject != "" {
		v = x.recorder.About(subject)
	}
	data, err := json.Marshal(v)
	if err != nil {
		data = []byte("null")
	}
	return &wire.Reply{Body: &wire.Reply_Text{Text: &wire.Text{Data: data}}}
}
