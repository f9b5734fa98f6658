// Package usherexperiment simulates the scheduler's policy against engine models in virtual time.
//
// A scenario defines the requests that arrive, the engines and the events that affect them, such as restarts. A run
// simulates one scenario with one policy: the production scheduler, the same scheduler given the length of every output in
// advance (the oracle), or one of two baselines. Runs with the same seed give the same results.
//
// # Usage
//
//	for _, scenario := range usherexperiment.Scenarios(12) {
//		scenario = usherexperiment.WithRate(scenario, seed)
//		for _, result := range usherexperiment.Compare(scenario, seed, nil) {
//			if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
//				return err
//			}
//		}
//	}
package usherexperiment
