// Package usherproof tests the guarantees of the system under failure. It contains tests only.
//
// The tests without a build tag run the whole fleet in one process and in virtual time. Each round of random_test.go
// injects failures drawn from a seed under a mixed load, repairs everything and uses package usherhistory to check what
// the callers and the targets recorded. The tests with the build tag "processes" run the built programs.
//
// # Usage
//
//	go test -race ./proof/...
//	USHER_SEED=7 USHER_ROUNDS=20 go test -race -run TestRandomFailures ./proof
//	make proof
package usherproof
