package ushermeasure

import (
	"fmt"
	"runtime"
	"time"

	"github.com/samphireusher/samphireusher/bench/usherload"
	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

const (
	viewHosts   = 350
	viewTargets = 1200
	// viewInUse is how many workspaces are resolved before memory is measured.
	viewInUse = 1024
)

// published is a configuration as the platform serves it.
type published struct {
	index  []byte
	shards map[usherconfig.Digest][]byte
}

// runView measures a configuration in a daemon: its memory, the start from nothing and a change of one workspace.
func runView(plan Plan, write Writer) error {
	fleet := usherload.Fleet{Schedulers: viewHosts / 2, Gateways: viewHosts - viewHosts/2, Targets: viewTargets, Workspaces: plan.Point.Workspaces}
	first, second := publish(fleet, 0), publish(fleet, 1)
	changed, changedBytes := second.without(first)
	for repeat := range plan.Repeats {
		empty := heapBytes()
		began := time.Now()
		view, err := usherconfig.Assemble(first.index, clone(first.shards))
		if err != nil {
			return err
		}
		assembled := time.Since(began)
		for i := range min(viewInUse, plan.Point.Workspaces) {
			if _, ok := view.Workspace(usherload.Workspace(i)); !ok {
				return fmt.Errorf("workspace %d is missing", i)
			}
		}
		heap := heapBytes() - empty
		before := take()
		next, err := view.Advance(second.index, changed)
		if err != nil {
			return err
		}
		_, processor, allocations := take().since(before)
		peak := heapBytes() - empty
		runtime.KeepAlive(view)
		runtime.KeepAlive(next)
		r := recorder{plan: plan, repeat: repeat, write: write}
		err = r.figures(
			figure{"heap", "MB", heap / 1e6},
			figure{"heap_while_changing", "MB", peak / 1e6},
			figure{"start_time", "ms", assembled.Seconds() * 1e3},
			figure{"start_bytes", "B", float64(first.bytes())},
			figure{"values", "", float64(len(first.shards) + 1)},
			figure{"change_processor", "ms", processor.Seconds() * 1e3},
			figure{"change_allocations", "", allocations},
			figure{"change_bytes", "B", float64(changedBytes + len(second.index))},
		)
		if err != nil {
			return err
		}
	}
	return nil
}

// publish renders the fleet's declaration in which some workspaces are changed.
func publish(fleet usherload.Fleet, changed int) published {
	s := fleet.Snapshot()
	s.Revision += uint64(changed)
	for i := range changed {
		s.Workspaces[i] = s.Workspaces[i].WithQuota(7, 7)
	}
	p := published{shards: map[usherconfig.Digest][]byte{}}
	for _, v := range usherconfig.Render(s) {
		if v.Key == usherconfig.IndexKey {
			p.index = v.Data
			continue
		}
		p.shards[usherconfig.DigestOf(v.Data)] = v.Data
	}
	return p
}

// without returns the shards that an earlier configuration does not have, and their bytes.
func (p published) without(earlier published) (map[usherconfig.Digest][]byte, int) {
	shards, bytes := map[usherconfig.Digest][]byte{}, 0
	for digest, data := range p.shards {
		if _, ok := earlier.shards[digest]; !ok {
			shards[digest] = data
			bytes += len(data)
		}
	}
	return shards, bytes
}

func (p published) bytes() int {
	bytes := len(p.index)
	for _, data := range p.shards {
		bytes += len(data)
	}
	return bytes
}

// clone copies shards, as they come from the network.
func clone(shards map[usherconfig.Digest][]byte) map[usherconfig.Digest][]byte {
	copied := map[usherconfig.Digest][]byte{}
	for digest, data := range shards {
		copied[digest] = append([]byte(nil), data...)
	}
	return copied
}
