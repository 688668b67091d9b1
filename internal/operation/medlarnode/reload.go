package medlarnode

import (
	"os"
	"time"

	"medlarwheel/platform"
)

// settingsPollInterval is how often the settings file is checked for changes, since it may change without a signal.
const settingsPollInterval = 2 * time.Second

// Reload reads the settings file again after each signal and each change of the file, and logs the new settings if they
// differ. It does not return.
func (n *Node) Reload(signals <-chan os.Signal, path string) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	present := n.config.Settings
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
			n.log.Error().Str("event", "settings-refused").Err(err).
				Msg("cannot load the settings file; keeping the settings in force")
			continue
		}
		if site != present {
			// Addresses and limits are fixed for the lifetime of a process, so new settings are only logged.
			n.log.Info().Str("event", "settings-changed").Interface("settings", site).Msg("")
			present = site
		}
	}
}

// modificationTime returns when the file was last written, or the zero time if that cannot be read.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
