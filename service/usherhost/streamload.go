package usherhost

import "github.com/samphireusher/samphireusher/pkg/usherpool"

// trackLoad counts work of this request at a target, replacing what was counted there before.
func (g *generation) trackLoad(id string, load usherpool.Load) {
	g.releaseLoad(id)
	g.host.state.addLoad(id, load)
	g.releases[id] = func() { g.host.state.addLoad(id, load.Negated()) }
}

func (g *generation) releaseLoad(id string) {
	if release, held := g.releases[id]; held {
		release()
		delete(g.releases, id)
	}
}

func (g *generation) releaseLoads() {
	for id := range g.releases {
		g.releaseLoad(id)
	}
}
