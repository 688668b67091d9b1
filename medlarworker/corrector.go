package medlarworker

import (
	"math"

	"medlarwheel"
)

// Corrector replaces declared sizes and run times by what was measured of earlier attempts of the same template.
type Corrector struct {
	config    Config
	templates map[medlarwheel.TemplateName]*templateHistory
}

type templateHistory struct {
	cpu     histogram
	memory  histogram
	runTime histogram
}

// NewCorrector returns a corrector that has measured nothing and leaves declared values as they are.
func NewCorrector(config Config) *Corrector {
	return &Corrector{config: config, templates: make(map[medlarwheel.TemplateName]*templateHistory)}
}

// ObserveSize records the peak of one attempt of a template.
func (c *Corrector) ObserveSize(template medlarwheel.TemplateName, declared, peak medlarwheel.Resources) {
	h := c.history(template)
	if declared.CPU > 0 {
		h.cpu.add(float64(peak.CPU) / float64(declared.CPU))
	}
	if declared.Memory > 0 {
		h.memory.add(float64(peak.Memory) / float64(declared.Memory))
	}
}

// ObserveRunTime records how long one attempt took that was done without an interruption.
func (c *Corrector) ObserveRunTime(template medlarwheel.TemplateName, declared, measured medlarwheel.Duration) {
	if declared > 0 && measured >= 0 {
		c.history(template).runTime.add(float64(measured) / float64(declared))
	}
}

// Size returns the corrected size of a task. Accelerators stay as declared, because they are given out whole. largest is
// the size of the largest worker that the declared size fits: no correction makes a task too large for it, because the
// task would then never start.
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

// Retain drops the histories of templates that are not kept.
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

// corrected weighs the measured quantile against the declared value by the number of samples, on the logarithmic scale,
// and rounds up within the bounds. A declared value above zero stays above zero.
func (c *Corrector) corrected(h *histogram, part float64, declared int64) int64 {
	if h.total == 0 || declared <= 0 {
		return declared
	}
	weight := float64(h.total) / (float64(h.total) + c.config.PriorSamples)
	factor := math.Exp2(weight * h.quantile(part))
	factor = min(max(factor, c.config.MinFactor), c.config.MaxFactor)
	return max(1, int64(math.Ceil(float64(declared)*factor)))
}
