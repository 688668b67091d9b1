package medlarclaim

import (
	"math"

	"medlarwheel"
)

// holderIndex stands for an instance id in a record.
type holderIndex uint16

// holders interns the instance ids of records, counting their uses.
type holders struct {
	ids    []medlarwheel.InstanceID
	uses   []int
	index  map[medlarwheel.InstanceID]holderIndex
	unused []holderIndex
}

func newHolders() holders {
	return holders{index: make(map[medlarwheel.InstanceID]holderIndex)}
}

// acquire returns the index of the id with one more use. It fails if 65,536 ids are in use.
func (h *holders) acquire(id medlarwheel.InstanceID) (holderIndex, bool) {
	i, found := h.index[id]
	switch {
	case found:
	case len(h.unused) > 0:
		i = h.unused[len(h.unused)-1]
		h.unused = h.unused[:len(h.unused)-1]
		h.ids[i], h.index[id] = id, i
	case len(h.ids) > math.MaxUint16:
		return 0, false
	default:
		i = holderIndex(len(h.ids))
		h.ids, h.uses = append(h.ids, id), append(h.uses, 0)
		h.index[id] = i
	}
	h.uses[i]++
	return i, true
}

func (h *holders) release(i holderIndex) {
	h.uses[i]--
	if h.uses[i] == 0 {
		delete(h.index, h.ids[i])
		h.unused = append(h.unused, i)
	}
}
