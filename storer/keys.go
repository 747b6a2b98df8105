package storer

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// Keys of rows.
const (
	// ConfigHeadKey is the row with the version of the configuration in force and that of its
	// newest snapshot.
	ConfigHeadKey = "config/head"
	// ShardPrefix is the prefix of the keys of all shards.
	ShardPrefix  = "shard/"
	slotPrefix   = "slot/"
	changePrefix = "change/"
	planPrefix   = "plan/"
	claimPrefix  = "claim/"
	// restoredPrefix and settledPrefix begin the keys that RestoredKey and SettledKey return.
	restoredPrefix = "restored/"
	settledPrefix  = "settled/"
	// FleetTable has the rows by which the processes of a fleet find each other if their
	// settings do not list them: one for each process, one for each engine that a process
	// sends orders to, and the fleet's secret.
	FleetTable = "fleet"
	// SoftwareKey is the row with the versions of their software that backend servers have had.
	SoftwareKey = FleetTable + "/software"
	// SecretKey is the row with the fleet's secret.
	SecretKey = FleetTable + "/secret"
	// MemberPrefix, HolderPrefix and CrashPrefix begin the keys that MemberKey, HolderKey and
	// CrashKey return.
	MemberPrefix = FleetTable + "/process:"
	HolderPrefix = FleetTable + "/engine:"
	CrashPrefix  = FleetTable + "/crashes:"
)

// MemberKey returns the key of the row of the process with the given name.
func MemberKey(name string) string { return MemberPrefix + name }

// HolderKey returns the key of the row that names the process which may send orders to the
// engine at the given address.
func HolderKey(address string) string { return HolderPrefix + address }

// CrashKey returns the key of the row with the records of crashes that a writer knows: the relay of a
// data centre, or a process without a relay.
func CrashKey(writer string) string { return CrashPrefix + writer }

// ChangeKey returns the key of the row of the configuration change with the given version.
func ChangeKey(version uint64) string { return fmt.Sprintf("%s%020d", changePrefix, version) }

// PlanKey returns the key of the row of a plan.
func PlanKey(id string) string { return planPrefix + id }

// ShardKey returns the key of the row of a shard.
func ShardKey(shard uint32) string { return fmt.Sprintf("%s%04d", ShardPrefix, shard) }

// ShardIndex returns the shard whose row has the key, and whether there is one.
func ShardIndex(key string) (uint32, bool) { return indexOf(key, ShardPrefix, ShardKey) }

// SlotIndex returns the slot of a model whose row has the key, and whether there is one.
func SlotIndex(model, key string) (uint32, bool) {
	return indexOf(key, SlotPrefix(model), func(index uint32) string { return SlotKey(model, index) })
}

// indexOf returns the index for which keyOf returns the key, and whether there is one.
func indexOf(key, prefix string, keyOf func(uint32) string) (uint32, bool) {
	index, err := strconv.ParseUint(strings.TrimPrefix(key, prefix), 10, 32)
	return uint32(index), err == nil && keyOf(uint32(index)) == key
}

// SlotPrefix returns the prefix of the keys of all slots of a model.
func SlotPrefix(model string) string { return slotPrefix + model + "/" }

// SlotKey returns the key of the row of a slot.
func SlotKey(model string, index uint32) string {
	return fmt.Sprintf("%s%04d", SlotPrefix(model), index)
}

// ClaimKey returns the key of the row that records the request of a workspace on a route
// with an idempotency key.
func ClaimKey(workspace, route, key string) string {
	return fmt.Sprintf("%s%s/%s/%s", claimPrefix, workspace, route, key)
}

// RestoredKey returns the key of the row by which a process confirms that it has written its
// claims again in an era of the store.
func RestoredKey(era uint64, name string) string { return RestoredPrefix(era) + name }

// RestoredPrefix returns the prefix of the keys that RestoredKey returns for an era.
func RestoredPrefix(era uint64) string { return fmt.Sprintf("%s%04d/", restoredPrefix, era) }

// SettledKey returns the key of the row that states that all claims have been written again in
// an era of the store.
func SettledKey(era uint64) string { return fmt.Sprintf("%s%04d", settledPrefix, era) }

// SnapshotName returns the name of the object with the whole configuration at the given
// version.
func SnapshotName(version uint64) string { return fmt.Sprintf("snapshot/%020d", version) }

// Encode returns m encoded as the value of a row or an object.
func Encode(m proto.Message) ([]byte, error) {
	data, err := proto.Marshal(m)
	return data, eris.Wrap(err, "encode record")
}

// Decode sets m to the message that is encoded in the value of a row or an object.
func Decode(data []byte, m proto.Message) error {
	return eris.Wrap(proto.Unmarshal(data, m), "decode record")
}
