package medlarupstream

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"medlarwheel"
)

// Owner returns the member that owns a slot of an upstream. It uses rendezvous hashing, so that adding or removing a member
// reassigns only the slots of that member. It returns an empty id if there are no members.
func Owner(upstream medlarwheel.UpstreamID, index int, members []medlarwheel.InstanceID) medlarwheel.InstanceID {
	var owner medlarwheel.InstanceID
	var highest uint64
	var key [24]byte
	binary.LittleEndian.PutUint64(key[:], xxhash.Sum64String(string(upstream)))
	binary.LittleEndian.PutUint64(key[8:], uint64(index))
	for i, m := range members {
		binary.LittleEndian.PutUint64(key[16:], xxhash.Sum64String(string(m)))
		if hash := xxhash.Sum64(key[:]); i == 0 || hash > highest || (hash == highest && m < owner) {
			owner, highest = m, hash
		}
	}
	return owner
}
