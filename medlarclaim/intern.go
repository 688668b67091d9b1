package medlarclaim

import (
	"math"

	"medlarwheel"
)

// holderIndex stands for an instance id in a record.
type holderIndex uint16

// holderTable interns the instance ids of records, counting their uses.
type holderTable struct {
	ids       []medlarwheel.InstanceID
	refCounts []int
	index     map[medlarwheel.InstanceID]holderIndex
	freeList  []holderIndex
}

func newHolderTable() holderTable {
	return holderTable{index: make(map[medlarwheel.InstanceID]holderIndex)}
}

// acquire returns the index of the id with one more use. It fails if 65,536 ids are in use.
func (h *holderTable) acquire(id medlarwheel.InstanceID) (holderIndex, bool) {
	i, found := h.index[id]
	switch {
	case found:
	case len(h.freeList) > 0:
		i = h.freeList[len(h.freeList)-1]
		h.freeList = h.freeList[:len(h.freeList)-1]
		h.ids[i], h.index[id] = id, i
	case len(h.ids) > math.MaxUint16:
		return 0, false
	default:
		i = holderIndex(len(h.ids))
		h.ids, h.refCounts = append(h.ids, id), append(h.refCounts, 0)
		h.index[id] = i
	}
	h.refCounts[i]++
	return i, true
}

func (h *holderTable) release(i holderIndex) {
	h.refCounts[i]--
	if h.refCounts[i] == 0 {
		delete(h.index, h.ids[i])
		h.freeList = append(h.freeList, i)
	}
}
