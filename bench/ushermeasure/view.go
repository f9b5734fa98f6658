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
	// viewResolved is the number of workspaces that are resolved before memory is measured, as if they were in use.
	viewResolved = 1024
)

// renderedConfig is a configuration as the platform serves it.
type renderedConfig struct {
	index  []byte
	shards map[usherconfig.Digest][]byte
}

// runView measures the configuration of a daemon: its memory, its assembly at the start and a change of one workspace.
func runView(plan Plan, write Writer) error {
	fleet := usherload.Fleet{Schedulers: viewHosts / 2, Gateways: viewHosts - viewHosts/2, Targets: viewTargets, Workspaces: plan.Point.Workspaces}
	first, second := renderConfig(fleet, 0), renderConfig(fleet, 1)
	changed, changedBytes := second.shardsMissingFrom(first)
	for repeat := range plan.Repeats {
		empty := heapBytes()
		began := time.Now()
		view, err := usherconfig.Assemble(first.index, cloneShards(first.shards))
		if err != nil {
			return err
		}
		assembled := time.Since(began)
		for i := range min(viewResolved, plan.Point.Workspaces) {
			if _, ok := view.Workspace(usherload.Workspace(i)); !ok {
				return fmt.Errorf("workspace %d is missing", i)
			}
		}
		heap := heapBytes() - empty
		before := takeSample()
		next, err := view.Advance(second.index, changed)
		if err != nil {
			return err
		}
		_, processor, allocations := takeSample().since(before)
		peak := heapBytes() - empty
		runtime.KeepAlive(view)
		runtime.KeepAlive(next)
		r := recorder{plan: plan, repeat: repeat, write: write}
		err = r.recordAll(
			measurement{"heap", "MB", heap / 1e6},
			measurement{"heap_while_changing", "MB", peak / 1e6},
			measurement{"start_time", "ms", assembled.Seconds() * 1e3},
			measurement{"start_bytes", "B", float64(first.bytes())},
			measurement{"values", "", float64(len(first.shards) + 1)},
			measurement{"change_processor", "ms", processor.Seconds() * 1e3},
			measurement{"change_allocations", "", allocations},
			measurement{"change_bytes", "B", float64(changedBytes + len(second.index))},
		)
		if err != nil {
			return err
		}
	}
	return nil
}

// renderConfig renders the fleet's declaration with the first workspaces changed.
func renderConfig(fleet usherload.Fleet, changed int) renderedConfig {
	s := fleet.Snapshot()
	s.Revision += uint64(changed)
	for i := range changed {
		s.Workspaces[i] = s.Workspaces[i].WithQuota(7, 7)
	}
	p := renderedConfig{shards: map[usherconfig.Digest][]byte{}}
	for _, v := range usherconfig.Render(s) {
		if v.Key == usherconfig.IndexKey {
			p.index = v.Data
			continue
		}
		p.shards[usherconfig.DigestOf(v.Data)] = v.Data
	}
	return p
}

// shardsMissingFrom returns the shards that an earlier configuration lacks, and their size in bytes.
func (p renderedConfig) shardsMissingFrom(earlier renderedConfig) (map[usherconfig.Digest][]byte, int) {
	shards, bytes := map[usherconfig.Digest][]byte{}, 0
	for digest, data := range p.shards {
		if _, ok := earlier.shards[digest]; !ok {
			shards[digest] = data
			bytes += len(data)
		}
	}
	return shards, bytes
}

func (p renderedConfig) bytes() int {
	bytes := len(p.index)
	for _, data := range p.shards {
		bytes += len(data)
	}
	return bytes
}

// cloneShards copies the shards, as a daemon receives its own copy from the network.
func cloneShards(shards map[usherconfig.Digest][]byte) map[usherconfig.Digest][]byte {
	copied := map[usherconfig.Digest][]byte{}
	for digest, data := range shards {
		copied[digest] = append([]byte(nil), data...)
	}
	return copied
}
