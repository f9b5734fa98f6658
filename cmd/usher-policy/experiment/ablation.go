package usherexperiment

import "github.com/samphireusher/samphireusher/pkg/usheradmit"

// PartNames are the parts of the policy that can be left out.
var PartNames = []string{
	"templates", "forgetting", "learned_risk", "fairness", "lookahead", "locality", "corrections", "warmth", "light", "spreading",
}

// Part returns the parts with the named one set.
func Part(name string) usheradmit.Features {
	return usheradmit.Features{
		Templates:   name == "templates",
		Forgetting:  name == "forgetting",
		LearnedRisk: name == "learned_risk",
		Fairness:    name == "fairness",
		Lookahead:   name == "lookahead",
		Locality:    name == "locality",
		Corrections: name == "corrections",
		Warmth:      name == "warmth",
		Light:       name == "light",
		Spreading:   name == "spreading",
	}
}
