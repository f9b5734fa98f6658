package daemon_test

import (
	"fmt"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

const (
	// limitWindow, limitFactor and limitSlack bound the requests that reach a target which names a limit, limitHeard is how long
	// after an answer that named it a host may still send more; from the users' pages.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitHeard  = 500 * time.Millisecond
)

// limitExcess describes the worst window in which a target got more requests than the limit allows that it names, from hosts
// that it had told; empty if there is none. Where the limit changed within a window, the highest one counts.
func limitExcess(arrivals []usherstandin.Arrival, hostOf func(usherstandin.Arrival) string) string {
	toldAt := map[string]time.Time{}
	var counted []usherstandin.Arrival
	worst, excess := "", 0.0
	for _, a := range arrivals {
		host := hostOf(a)
		if !a.Limited {
			// All are free from here on.
			toldAt, counted = map[string]time.Time{}, nil
			continue
		}
		if told, known := toldAt[host]; !known {
			toldAt[host] = a.At
		} else if a.At.Sub(told) > limitHeard {
			counted = append(counted, a)
		}
		for len(counted) > 0 && a.At.Sub(counted[0].At) > limitWindow {
			counted = counted[1:]
		}
		highest := a.Limit
		for _, c := range counted {
			highest = max(highest, c.Limit)
		}
		allowed := limitFactor*highest*limitWindow.Seconds() + limitSlack
		if over := float64(len(counted)) - allowed; over > excess {
			worst, excess = fmt.Sprintf("%d requests in 4 s with a limit of %g, %.1f allowed", len(counted), highest, allowed), over
		}
	}
	return worst
}

func fromAddress(a usherstandin.Arrival) string { return a.From }
