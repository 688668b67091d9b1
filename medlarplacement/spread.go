package medlarplacement

import "medlarwheel"

// groupCountKey names a rack of a data centre for one group. An empty rack stands for the whole data centre and an empty data
// centre for the whole index.
type groupCountKey struct {
	group      Group
	dataCentre medlarwheel.DataCentreID
	rack       medlarwheel.RackID
}

// groupCounts counts the tasks of each group by rack and data centre.
type groupCounts map[groupCountKey]int32

func (s groupCounts) add(w *worker, group Group, delta int32) {
	if group == "" {
		return
	}
	s.adjust(groupCountKey{group: group}, delta)
	s.adjust(groupCountKey{group: group, dataCentre: w.dataCentre}, delta)
	s.adjust(rackKey(w, group), delta)
}

func (s groupCounts) adjust(key groupCountKey, delta int32) {
	count := s[key] + delta
	if count <= 0 {
		delete(s, key)
		return
	}
	s[key] = count
}

func (s groupCounts) onRack(w *worker, group Group) int { return int(s[rackKey(w, group)]) }

// fractionInDataCentre returns the share of the group's tasks in w's data centre.
func (s groupCounts) fractionInDataCentre(w *worker, group Group) float64 {
	return fraction(int64(s[groupCountKey{group: group, dataCentre: w.dataCentre}]), int64(s[groupCountKey{group: group}]))
}

// rackKey is distinct from the key of a data centre because racks without a name are counted under a name of their own.
func rackKey(w *worker, group Group) groupCountKey {
	rack := w.rack
	if rack == "" {
		rack = "-"
	}
	return groupCountKey{group: group, dataCentre: w.dataCentre, rack: rack}
}
