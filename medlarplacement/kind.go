package medlarplacement

import (
	"math"

	"medlarwheel"
)

// TemplateID is the number of a template within one Estimator. Predictions are looked up by number, because a start takes
// hundreds of them and names are slower to hash and compare.
type TemplateID uint16

const (
	// noTemplate stands for no template.
	noTemplate TemplateID = 0
	// otherTemplate stands for all templates beyond the number of distinct ids.
	otherTemplate TemplateID = math.MaxUint16
)

// templateIDs numbers templates in the order of their first use. Numbers are never reused.
type templateIDs struct {
	byName map[medlarwheel.TemplateName]TemplateID
}

func newTemplateIDs() templateIDs {
	return templateIDs{byName: map[medlarwheel.TemplateName]TemplateID{"": noTemplate}}
}

// TemplateIDOf returns the number of a template.
func (k *templateIDs) TemplateIDOf(template medlarwheel.TemplateName) TemplateID {
	if id, known := k.byName[template]; known {
		return id
	}
	id := TemplateID(min(len(k.byName), int(otherTemplate)))
	if id != otherTemplate {
		k.byName[template] = id
	}
	return id
}

// Estimator predicts interference. *Interference is one.
type Estimator interface {
	// TemplateIDOf returns the number of a template. It does not change.
	TemplateIDOf(medlarwheel.TemplateName) TemplateID
	// Effect returns the logarithm of the slowdown of the victim by one task of the aggressor at a load.
	Effect(victim, aggressor TemplateID, load float64) float64
}

// noInterference predicts none.
type noInterference struct{ templateIDs }

// Effect returns 0.
func (*noInterference) Effect(TemplateID, TemplateID, float64) float64 { return 0 }
