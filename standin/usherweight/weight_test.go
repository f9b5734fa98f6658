package usherweight_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphireusher/samphireusher/standin/usherpipe"
	"github.com/samphireusher/samphireusher/standin/usherweight"
)

func TestRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := usherweight.New(usherweight.Config{PerSecond: 0.5, Burst: 2})
		client := usherpipe.Serve(store)
		defer client.Close()
		get := func() (status int, retryAfter string) {
			response, err := client.Get("http://weights/v1/weights/appraiser-1")
			if err != nil {
				return 0, ""
			}
			response.Body.Close()
			return response.StatusCode, response.Header.Get("Retry-After")
		}
		for i, want := range []int{http.StatusOK, http.StatusOK, http.StatusTooManyRequests} {
			if status, retryAfter := get(); status != want || (status != http.StatusOK) != (retryAfter == "2") {
				t.Errorf("call %d: status %d, retry after %q, want %d", i, status, retryAfter, want)
			}
		}
		time.Sleep(2 * time.Second)
		if status, _ := get(); status != http.StatusOK {
			t.Errorf("status %d after Retry-After, want 200", status)
		}
		if record := store.Record(); record.Calls != 4 || record.Refused != 1 || record.Fetched["appraiser-1"] != 3 {
			t.Errorf("record: %+v", record)
		}
		store.SetFaults(usherweight.Faults{Down: true})
		if status, _ := get(); status != 0 {
			t.Errorf("status %d while down, want a dropped connection", status)
		}
		store.SetFaults(usherweight.Faults{SlowMS: 5000})
		start := time.Now()
		if status, _ := get(); status != http.StatusOK || time.Since(start) != 5*time.Second {
			t.Errorf("status %d after %v while slow, want 200 after 5 s", status, time.Since(start))
		}
	})
}
