package medlarplacement

import (
	"math"

	"medlarwheel"
)

// TemplateID is a number that one Estimator assigns to a template. Predictions are looked up by number, because one
// placement needs hundreds of them and names are slower to hash and compare.
type TemplateID uint16

const (
	// noTemplate stands for the absence of a template.
	noTemplate TemplateID = 0
	// otherTemplate is shared by all templates that are first used when no distinct id is left.
	otherTemplate TemplateID = math.MaxUint16
)

// templateIDs numbers templates in the order of their first use. Numbers are never reused.
type templateIDs struct {
	byName map[medlarwheel.TemplateName]TemplateID
}

func newTemplateIDs() templateIDs {
	return templateIDs{byName: map[medlarwheel.TemplateName]TemplateID{"": noTemplate}}
}

// TemplateIDOf returns the number of a template and assigns one at its first use.
func (t *templateIDs) TemplateIDOf(template medlarwheel.TemplateName) TemplateID {
	if id, known := t.byName[template]; known {
		return id
	}
	id := TemplateID(min(len(t.byName), int(otherTemplate)))
	if id != otherTemplate {
		t.byName[template] = id
	}
	return id
}

// Estimator predicts interference between templates. It is implemented by *InterferenceModel.
type Estimator interface {
	// TemplateIDOf returns the number of a template. The number of a template does not change.
	TemplateIDOf(medlarwheel.TemplateName) TemplateID
	// Effect returns the logarithm of the slowdown of the victim that one task of the aggressor causes at a load, which is
	// the fraction of the worker's processors in use.
	Effect(victim, aggressor TemplateID, load float64) float64
}

// noInterference predicts no interference.
type noInterference struct{ templateIDs }

// Effect returns 0.
func (*noInterference) Effect(TemplateID, TemplateID, float64) float64 { return 0 }
