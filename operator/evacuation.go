package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"oleanderstall/peer"
	"oleanderstall/planner"
	"oleanderstall/recorder"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// EvacuatedCentre is an evacuated data centre and what is left there.
type EvacuatedCentre struct {
	Name string `json:"name"`
	// Sidecars are the listed sidecars there, and Models the models that still have replicas there.
	Sidecars []string `json:"sidecars,omitempty"`
	Models   []string `json:"models,omitempty"`
}

// describeSidecars returns the listed sidecars with their replicas, as the table has them, and their
// free memory, as they say themselves.
func (o *Server) describeSidecars(ctx context.Context) ([]planner.Sidecar, error) {
	models, err := o.replicasBySidecar(ctx)
	if err != nil {
		return nil, err
	}
	instances := o.member.Instances("sidecar")
	sidecars := make([]planner.Sidecar, len(instances))
	limited, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i, in := range instances {
		sidecars[i] = planner.Sidecar{Name: in.Name, Centre: in.Centre, Pool: in.Pool, Models: models[in.Name]}
		if in.Pool == storer.EnginePool {
			wg.Go(func() { sidecars[i].Free, sidecars[i].Unknown = o.freeMemory(limited, in) })
		}
	}
	wg.Wait()
	return sidecars, nil
}

// freeMemory asks a sidecar for the memory of its engine that is free or may be freed, in bytes. It
// reports true if the sidecar does not answer.
func (o *Server) freeMemory(ctx context.Context, in storer.Instance) (bytes uint64, unknown bool) {
	reply, err := peer.Call(ctx, o.caller, in.Address, &wire.Call{Body: &wire.Call_Bid{Bid: &wire.Bid{}}})
	if err != nil || reply.GetOffer() == nil {
		return 0, true
	}
	return reply.GetOffer().GetFree() + reply.GetOffer().GetIdle(), false
}

// replicasBySidecar returns the models that have replicas on each sidecar according to the table, sorted.
func (o *Server) replicasBySidecar(ctx context.Context) (map[string][]string, error) {
	bySidecar := map[string][]string{}
	for _, m := range o.config.View().Models() {
		if m.GetBase() != "" {
			continue
		}
		rows, err := o.table.List(ctx, storer.SlotPrefix(m.GetName()))
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			slot := &wire.Slot{}
			if storer.Decode(r.Value, slot) == nil && slot.GetInstance() != "" && slot.GetModel() == m.GetName() {
				bySidecar[slot.GetInstance()] = append(bySidecar[slot.GetInstance()], m.GetName())
			}
		}
	}
	return bySidecar, nil
}

// describeEvacuated returns the evacuated data centres. What is left there is missing if the platform
// does not answer.
func (o *Server) describeEvacuated(ctx context.Context) []EvacuatedCentre {
	names := o.config.View().EvacuatedCentres()
	if len(names) == 0 {
		return nil
	}
	models, _ := o.replicasBySidecar(ctx)
	centres := make([]EvacuatedCentre, len(names))
	for i, name := range names {
		centres[i].Name = name
		for _, in := range o.member.Instances("sidecar") {
			if in.Centre == name {
				centres[i].Sidecars = append(centres[i].Sidecars, in.Name)
				centres[i].Models = append(centres[i].Models, models[in.Name]...)
			}
		}
		slices.Sort(centres[i].Models)
		centres[i].Models = slices.Compact(centres[i].Models)
	}
	return centres
}

// explainCentre returns a record of what is left in an evacuated data centre if the subject is
// centre/NAME.
func (o *Server) explainCentre(ctx context.Context, subject string) []recorder.Record {
	name, ok := strings.CutPrefix(subject, "centre/")
	if !ok {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	for _, e := range o.describeEvacuated(limited) {
		if e.Name == name {
			text := fmt.Sprintf("evacuated in version %d: no new requests and no loads; sidecars %v, models left %v", o.config.View().Version(), e.Sidecars, e.Models)
			return []recorder.Record{{At: time.Now().UnixMilli(), Instance: o.member.Self().Name, Subject: subject, Text: text}}
		}
	}
	return nil
}
