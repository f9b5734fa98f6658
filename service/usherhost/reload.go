package usherhost

import (
	"bytes"
	"context"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushersetting"
)

// settingsCheckInterval is how often the settings are checked for changes: the platform may change them without a
// signal.
const settingsCheckInterval = 2 * time.Second

// watchSettings applies changes to the settings that may change at run time (see applySettings), at once after a signal.
// All others, such as addresses and names, keep their values from the start of the process.
func (h *Host) watchSettings(ctx context.Context, reloadRequested <-chan struct{}) {
	if h.platform.Settings == nil {
		return
	}
	known, err := h.platform.Settings()
	if err != nil {
		h.log.Warn("settings could not be read; current settings remain in effect", "error", errorText(err))
	}
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadRequested:
		case <-ticker.C:
		}
		data, err := h.platform.Settings()
		if err != nil {
			h.log.Warn("settings could not be read; current settings remain in effect", "error", errorText(err))
			continue
		}
		if bytes.Equal(data, known) {
			continue
		}
		known = data
		h.reload(data)
	}
}

// reload validates new settings as a whole and applies them.
func (h *Host) reload(data []byte) {
	var s Settings
	if err := ushersetting.Parse(data, &s); err != nil {
		h.log.Error("settings are invalid; current settings remain in effect", "error", errorText(err))
		return
	}
	h.state.applySettings(&s)
	h.log.Info("settings reloaded", "seeds", len(s.Cluster.Seeds), "retry_ratio", s.Retries.Ratio, "retry_allowance", s.Retries.Allowance, "grace", s.Stop.Grace.String())
}

// applySettings applies the settings that may change at run time.
func (s *sharedState) applySettings(settings *Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cluster.SetSeeds(settings.seeds())
	s.gracePeriod = settings.Stop.Grace
	s.retryDefaults.Ratio, s.retryDefaults.Allowance, s.retryDefaults.Window = settings.Retries.Ratio, settings.Retries.Allowance, settings.Retries.Window
	for _, b := range s.retryBudgets {
		b.Ratio, b.Allowance, b.Window = settings.Retries.Ratio, settings.Retries.Allowance, settings.Retries.Window
	}
}

// stopGracePeriod returns the time between SIGTERM and SIGKILL.
func (s *sharedState) stopGracePeriod() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gracePeriod
}
