package medlarplacement

import (
	"math"

	"medlarwheel"
)

// KindID is the number of a template within one Estimator. Predictions are looked up by number, because a start takes
// hundreds of them and names are slower to hash and compare.
type KindID uint16

const (
	// kindNone stands for no template.
	kindNone KindID = 0
	// kindOther stands for all templates beyond the number of distinct ids.
	kindOther KindID = math.MaxUint16
)

// kinds numbers templates in the order of their first use. Numbers are never reused.
type kinds struct {
	ids map[medlarwheel.TemplateName]KindID
}

func newKinds() kinds { return kinds{ids: map[medlarwheel.TemplateName]KindID{"": kindNone}} }

// KindOf returns the number of a template.
func (k *kinds) KindOf(template medlarwheel.TemplateName) KindID {
	if id, known := k.ids[template]; known {
		return id
	}
	id := KindID(min(len(k.ids), int(kindOther)))
	if id != kindOther {
		k.ids[template] = id
	}
	return id
}

// Estimator predicts interference. *Interference is one.
type Estimator interface {
	// KindOf returns the number of a template. It does not change.
	KindOf(medlarwheel.TemplateName) KindID
	// Effect returns the logarithm of the slowdown of the victim by one task of the aggressor at a load.
	Effect(victim, aggressor KindID, load float64) float64
}

// noInterference predicts none.
type noInterference struct{ kinds }

// Effect returns 0.
func (*noInterference) Effect(KindID, KindID, float64) float64 { return 0 }
