package medlarplacement

import "medlarwheel"

// groupCountKey identifies a group on one rack of a data centre. An empty rack stands for the whole data centre and an
// empty data centre for the whole index.
type groupCountKey struct {
	group      Group
	dataCentre medlarwheel.DataCentreID
	rack       medlarwheel.RackID
}

// groupCounts counts the tasks of each group by rack and by data centre.
type groupCounts map[groupCountKey]int32

func (c groupCounts) add(w *worker, group Group, delta int32) {
	if group == "" {
		return
	}
	c.adjust(groupCountKey{group: group}, delta)
	c.adjust(groupCountKey{group: group, dataCentre: w.dataCentre}, delta)
	c.adjust(rackKey(w, group), delta)
}

func (c groupCounts) adjust(key groupCountKey, delta int32) {
	count := c[key] + delta
	if count <= 0 {
		delete(c, key)
		return
	}
	c[key] = count
}

func (c groupCounts) onRack(w *worker, group Group) int { return int(c[rackKey(w, group)]) }

// fractionInDataCentre returns the fraction of the group's tasks that are in w's data centre.
func (c groupCounts) fractionInDataCentre(w *worker, group Group) float64 {
	return fraction(int64(c[groupCountKey{group: group, dataCentre: w.dataCentre}]), int64(c[groupCountKey{group: group}]))
}

// rackKey returns the key of the worker's rack. Workers without a rack are counted on a rack named "-", because an
// empty rack in the key stands for the data centre.
func rackKey(w *worker, group Group) groupCountKey {
	rack := w.rack
	if rack == "" {
		rack = "-"
	}
	return groupCountKey{group: group, dataCentre: w.dataCentre, rack: rack}
}
