package medlarwheel

import "time"

// Moment is a time on the clock of one boot of a machine. The processes of a machine that follow each other can compare
// theirs, whatever happens to the time of day.
type Moment struct {
	// Boot names the boot. An empty name means that the time is not known.
	Boot string `json:"boot,omitempty"`
	// Since is the time since the boot.
	Since time.Duration `json:"since-ns,omitempty"`
}

// Sub returns the time from earlier to m. It reports false if the two are not of one boot.
func (m Moment) Sub(earlier Moment) (time.Duration, bool) {
	return m.Since - earlier.Since, m.Boot != "" && m.Boot == earlier.Boot
}
