package ushermeasure

// QuickPlans returns the points with a regression bound. They take less than five minutes.
func QuickPlans() []Plan {
	return []Plan{
		{Relay, Point{Variant: Fast, Streams: 2}, 9},
		{Relay, Point{Variant: Paced, Streams: 200}, 2},
		{Latency, Point{Variant: Paced, Streams: 1000}, 3},
		{Decision, Point{Targets: 12}, 2},
		{Decision, Point{Targets: 1200}, 2},
		{Member, Point{Peers: 8, Targets: 92, Workspaces: 47_000}, 2},
		{Adverts, Point{Gateways: 18, Targets: 92, Workspaces: 10}, 1},
		{Message, Point{Variant: "progress", Items: 50}, 1},
		{Report, Point{}, 3},
		{View, Point{Workspaces: 47_000}, 3},
		{Feed, Point{Peers: 26, Targets: 1200, Workspaces: 47_000}, 2},
		{Fleet, Point{}, 1},
	}
}

// FullPlans returns the points that the capacity report needs.
func FullPlans() []Plan {
	const (
		repeats    = 3
		fewRepeats = 2
	)
	plans := []Plan{
		{Relay, Point{Variant: Fast, Streams: 2}, 9},
		{Relay, Point{Variant: Paced, Streams: 200}, repeats},
		{Latency, Point{Variant: Paced, Streams: 1000}, fewRepeats},
		{Report, Point{}, repeats},
		{Message, Point{Variant: "acquire"}, fewRepeats},
		{Message, Point{Variant: "finish"}, fewRepeats},
	}
	for _, targets := range []int{12, 100, 1200} {
		plans = append(plans, Plan{Decision, Point{Targets: targets}, fewRepeats}, Plan{Member, Point{Peers: 9, Targets: targets, Workspaces: 10}, repeats})
	}
	for _, peers := range []int{27, 90} {
		plans = append(plans, Plan{Member, Point{Peers: peers, Targets: 12, Workspaces: 10}, repeats})
	}
	for _, workspaces := range []int{10, 1000, 47_000} {
		plans = append(plans, Plan{View, Point{Workspaces: workspaces}, repeats})
	}
	for _, items := range []int{10, 100, 400, 1000} {
		plans = append(plans, Plan{Message, Point{Variant: "progress", Items: items}, fewRepeats})
	}
	for _, items := range []int{1, 12, 50} {
		plans = append(plans, Plan{Message, Point{Variant: "advertise", Items: items}, fewRepeats})
	}
	for _, gateways := range []int{9, 27, 90} {
		plans = append(plans, Plan{Adverts, Point{Gateways: gateways, Targets: 12, Workspaces: 10}, fewRepeats})
	}
	plans = append(plans, Plan{Adverts, Point{Gateways: 9, Targets: 100, Workspaces: 10}, 1})
	for _, peers := range []int{9, 27, 90} {
		plans = append(plans, Plan{Feed, Point{Peers: peers, Targets: 92, Workspaces: 10}, fewRepeats})
	}
	for _, streams := range []int{100, 400, 1000} {
		plans = append(plans, Plan{Streams, Point{Variant: Paced, Streams: streams}, fewRepeats})
	}
	return append(plans,
		Plan{Member, Point{Peers: 8, Targets: 92, Workspaces: 47_000}, repeats},
		Plan{Feed, Point{Peers: 26, Targets: 1200, Workspaces: 47_000}, fewRepeats},
		Plan{Fleet, Point{}, fewRepeats},
	)
}
