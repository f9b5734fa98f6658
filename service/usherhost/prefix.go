package usherhost

import (
	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherprefix"
	"github.com/samphireusher/samphireusher/pkg/ushersuspect"
)

// partIDLength is the length of the ids of parts that hosts tell each other, in hexadecimal digits.
const partIDLength = 16

// prefixMetrics count the streams of this host's callers whose target was expected to keep the beginning of their prompts.
type prefixMetrics struct {
	// keptTokens counts the tokens expected to be kept, diverted the streams that would have gone elsewhere without them,
	// wrong the streams whose first event showed that the target did not keep them.
	keptTokens metrics.Counter
	diverted   metrics.Counter
	wrong      metrics.Counter
}

func newPrefixMetrics(r metrics.Registry) prefixMetrics {
	return prefixMetrics{
		keptTokens: metrics.NewRegisteredCounter("prefixes.kept_tokens", r), diverted: metrics.NewRegisteredCounter("prefixes.diverted", r),
		wrong: metrics.NewRegisteredCounter("prefixes.wrong", r),
	}
}

func (m *prefixMetrics) recordChoice(c usherpool.Choice) {
	m.keptTokens.Inc(int64(c.Kept.Tokens))
	if c.Kept.Otherwise != "" && c.Kept.Otherwise != c.Target.ID {
		m.diverted.Inc(1)
	}
}

// promptParts returns the leading parts of the prompt that other requests may share, under ids of bounded length. Targets
// do not share parts between models.
func (req *requestState) promptParts() []usherpool.Part {
	var parts []usherpool.Part
	for i, id := range req.SharedParts[:min(len(req.SharedParts), usherprefix.MaxParts)] {
		if req.SharedTokens[i] == 0 {
			break
		}
		fingerprint := ushersuspect.NewPartFingerprint(req.service.Name, req.Model+" "+id)
		parts = append(parts, usherpool.Part{ID: fingerprint.String()[:partIDLength], Tokens: req.SharedTokens[i]})
	}
	return parts
}

// keptOutcome returns what the target of the current run was expected to keep, or nil if nothing.
func (g *generation) keptOutcome() *usherpool.KeptOutcome {
	if g.source.Kept.Saving <= 0 {
		return nil
	}
	return &usherpool.KeptOutcome{Parts: g.req.promptParts(), Saving: g.source.Kept.Saving}
}
