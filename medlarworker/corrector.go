package medlarworker

import (
	"math"

	"medlarwheel"
)

// Corrector corrects declared sizes and run times by the values measured for earlier attempts of the same template.
type Corrector struct {
	config    Config
	templates map[medlarwheel.TemplateName]*templateHistory
}

type templateHistory struct {
	cpu     histogram
	memory  histogram
	runTime histogram
}

// NewCorrector returns a corrector without measurements. It leaves declared values unchanged.
func NewCorrector(config Config) *Corrector {
	return &Corrector{config: config, templates: make(map[medlarwheel.TemplateName]*templateHistory)}
}

// ObserveSize records the peak usage of one attempt of a template.
func (c *Corrector) ObserveSize(template medlarwheel.TemplateName, declared, peak medlarwheel.Resources) {
	h := c.history(template)
	if declared.CPU > 0 {
		h.cpu.add(float64(peak.CPU) / float64(declared.CPU))
	}
	if declared.Memory > 0 {
		h.memory.add(float64(peak.Memory) / float64(declared.Memory))
	}
}

// ObserveRunTime records the run time of an attempt that completed without an interruption.
func (c *Corrector) ObserveRunTime(template medlarwheel.TemplateName, declared, measured medlarwheel.Duration) {
	if declared > 0 && measured >= 0 {
		c.history(template).runTime.add(float64(measured) / float64(declared))
	}
}

// Size returns the corrected size of a task. Accelerators stay as declared, because they are assigned as whole units.
// largest is the size of the largest worker on which the declared size fits. The corrected size does not exceed it,
// because the task could then never start.
func (c *Corrector) Size(
	template medlarwheel.TemplateName, declared, largest medlarwheel.Resources,
) medlarwheel.Resources {
	h := c.templates[template]
	if h == nil {
		return declared
	}
	cpu := medlarwheel.MilliCPU(c.corrected(&h.cpu, c.config.CPUQuantile, int64(declared.CPU)))
	memory := medlarwheel.MegaBytes(c.corrected(&h.memory, c.config.MemoryQuantile, int64(declared.Memory)))
	return medlarwheel.Resources{
		CPU:          min(cpu, max(largest.CPU, declared.CPU)),
		Memory:       min(memory, max(largest.Memory, declared.Memory)),
		Accelerators: declared.Accelerators,
	}
}

// RunTime returns the corrected run time of a task.
func (c *Corrector) RunTime(template medlarwheel.TemplateName, declared medlarwheel.Duration) medlarwheel.Duration {
	h := c.templates[template]
	if h == nil {
		return declared
	}
	return medlarwheel.Duration(c.corrected(&h.runTime, c.config.RunTimeQuantile, int64(declared)))
}

// Retain drops the histories of the templates for which keep returns false.
func (c *Corrector) Retain(keep func(medlarwheel.TemplateName) bool) {
	for name := range c.templates {
		if !keep(name) {
			delete(c.templates, name)
		}
	}
}

func (c *Corrector) history(template medlarwheel.TemplateName) *templateHistory {
	h := c.templates[template]
	if h == nil {
		h = &templateHistory{}
		c.templates[template] = h
	}
	return h
}

// corrected returns the weighted mean of the measured quantile and the declared value on a logarithmic scale, within the
// configured bounds and rounded up. The weight of the measured quantile grows with the number of samples. A declared value
// above zero stays above zero.
func (c *Corrector) corrected(h *histogram, quantile float64, declared int64) int64 {
	if h.total == 0 || declared <= 0 {
		return declared
	}
	weight := float64(h.total) / (float64(h.total) + c.config.PriorSamples)
	factor := math.Exp2(weight * h.quantile(quantile))
	factor = min(max(factor, c.config.MinFactor), c.config.MaxFactor)
	return max(1, int64(math.Ceil(float64(declared)*factor)))
}
