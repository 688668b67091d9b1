package medlarnode

import (
	"os"
	"time"

	"medlarwheel/platform"
)

// settingsPollInterval is how often the settings file is looked at, since it may change without a signal.
const settingsPollInterval = 2 * time.Second

// Reload reads the settings file again after each signal and each change of the file, and logs what has changed. It
// returns when the process ends.
func (n *Node) Reload(signals <-chan os.Signal, path string) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	present := n.config.Site
	changed := modificationTime(path)
	for {
		select {
		case <-signals:
			n.log.Info().Str("event", "reload-asked").Msg("")
		case <-ticker.C:
			at := modificationTime(path)
			if at.Equal(changed) {
				continue
			}
			changed = at
		}
		site, err := platform.LoadSettings(path)
		if err != nil {
			n.log.Error().Str("event", "settings-refused").Err(err).Msg("")
			continue
		}
		if site != present {
			// Addresses and limits are fixed for the life of a process; what a change means for it is logged.
			n.log.Info().Str("event", "settings-changed").Interface("settings", site).Msg("")
			present = site
		}
	}
}

// modificationTime returns when the file was last written, or the zero time if that can't be read.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
