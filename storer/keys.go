package storer

import (
	"fmt"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// Keys of rows and objects.
const (
	HeadKey      = "config/head"
	ShardPrefix  = "shard/"
	slotPrefix   = "slot/"
	changePrefix = "change/"
	planPrefix   = "plan/"
	claimPrefix  = "claim/"
	// FleetTable has the rows that the processes of a fleet keep where no settings tell
	// them of each other: one for each process, one for each engine that is ordered, and
	// SecretKey, the fleet's secret.
	FleetTable   = "fleet"
	SecretKey    = FleetTable + "/secret"
	MemberPrefix = FleetTable + "/process:"
	HolderPrefix = FleetTable + "/engine:"
)

// MemberKey is the row of a process.
func MemberKey(name string) string { return MemberPrefix + name }

// HolderKey is the row of the process that orders the engine at an address.
func HolderKey(address string) string { return HolderPrefix + address }

// ChangeKey is the row of one configuration change.
func ChangeKey(version uint64) string { return fmt.Sprintf("%s%020d", changePrefix, version) }

// PlanKey is the row of one plan.
func PlanKey(id string) string { return planPrefix + id }

// ShardKey is the row of one shard.
func ShardKey(shard uint32) string { return fmt.Sprintf("%s%04d", ShardPrefix, shard) }

// SlotPrefix is the prefix of all slots of a model.
func SlotPrefix(model string) string { return slotPrefix + model + "/" }

// SlotKey is the row of one slot.
func SlotKey(model string, index uint32) string {
	return fmt.Sprintf("%s%04d", SlotPrefix(model), index)
}

// ClaimKey is the row of one keyed request of a workspace on a route.
func ClaimKey(workspace, route, key string) string {
	return fmt.Sprintf("%s%s/%s/%s", claimPrefix, workspace, route, key)
}

// SnapshotName is the object that holds the configuration at one version.
func SnapshotName(version uint64) string { return fmt.Sprintf("snapshot/%020d", version) }

// Encode returns the bytes of m for a row or an object.
func Encode(m proto.Message) ([]byte, error) {
	data, err := proto.Marshal(m)
	return data, eris.Wrap(err, "encode record")
}

// Decode fills m from the bytes of a row or an object.
func Decode(data []byte, m proto.Message) error {
	return eris.Wrap(proto.Unmarshal(data, m), "decode record")
}
