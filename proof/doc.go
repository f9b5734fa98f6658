// Package usherproof proves the promises of the system under failure. It has tests only.
//
// The tests without a build tag run the whole fleet in one process and in virtual time. A round of random_test.go draws
// failures from a seed, runs them over a mixed load, mends everything and has package usherhistory check what callers
// and targets saw.
//
// # Usage
//
//	go test -race ./proof/...
//	USHER_SEED=7 USHER_ROUNDS=20 go test -race -run TestRandomFailures ./proof
//	make proof
package usherproof
