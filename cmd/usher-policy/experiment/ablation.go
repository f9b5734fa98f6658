package usherexperiment

import "github.com/samphireusher/samphireusher/pkg/usheradmit"

// FeatureNames are the features of the policy that can be switched off, as --without takes them.
var FeatureNames = []string{
	"templates", "forgetting", "learned_risk", "fairness", "lookahead", "locality", "corrections", "warmth", "light", "spreading",
}

// Feature returns the set that holds the named feature only.
func Feature(name string) usheradmit.Features {
	return usheradmit.Features{
		Templates:       name == "templates",
		Decay:           name == "forgetting",
		LearnedRisk:     name == "learned_risk",
		Fairness:        name == "fairness",
		Lookahead:       name == "lookahead",
		Locality:        name == "locality",
		ForeignLoad:     name == "corrections",
		WarmUp:          name == "warmth",
		ReservedTargets: name == "light",
		Spreading:       name == "spreading",
	}
}
