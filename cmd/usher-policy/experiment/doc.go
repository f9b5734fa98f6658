// Package usherexperiment measures the scheduler's policy against engine models in virtual time.
//
// A scenario says which requests arrive, which engines there are and what happens to them. A run plays one scenario with one
// policy: the product's own scheduler, the same told every length (the oracle), or one of two baselines.
// The same seed gives the same figures on every run.
//
// # Usage
//
//	for _, scenario := range usherexperiment.Scenarios(12) {
//		scenario = usherexperiment.Rated(scenario, seed)
//		for _, result := range usherexperiment.Compare(scenario, seed, nil) {
//			if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
//				return err
//			}
//		}
//	}
package usherexperiment
