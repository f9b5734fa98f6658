package usherview_test

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

var seed uint64 = 1

// TestMain sets the seed of all randomized tests from USHER_SEED.
func TestMain(m *testing.M) {
	flag.Parse()
	if text := os.Getenv("USHER_SEED"); text != "" {
		var err error
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil || seed == 0 {
			panic("USHER_SEED must be a whole number above 0")
		}
	}
	for name, value := range map[string]string{
		"rapid.seed": strconv.FormatUint(seed, 10), "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
