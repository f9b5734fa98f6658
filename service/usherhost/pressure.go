package usherhost

import (
	"log/slog"
	runtimemetrics "runtime/metrics"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/ushershare"
)

const (
	// pressureInterval is the time over which the signs of pressure are gathered.
	pressureInterval = time.Second
	// memoryTotal and memoryReleased are the memory that the runtime has obtained and that which it has given back.
	memoryTotal    = "/memory/classes/total:bytes"
	memoryReleased = "/memory/classes/heap/released:bytes"
)

// pressure observes how close this host is to what it can carry, and makes its reports say so.
type pressure struct {
	state *sharedState
	log   *slog.Logger
	// memoryBytes is the allowed memory; zero for no limit. inProgress returns the number of requests in progress.
	memoryBytes uint64
	inProgress  func() int64

	mu    sync.Mutex
	gauge ushershare.Gauge
	level int
	signs ushershare.Signs
	// delay is the sum of the delays of timers since last.
	delay  time.Duration
	timers int
	last   time.Time

	levelGauge metrics.Gauge
	delayGauge metrics.Gauge
}

func newPressure(s *sharedState, megabytes int, inProgress func() int64, log *slog.Logger, registry metrics.Registry) *pressure {
	return &pressure{
		state: s, log: log, memoryBytes: uint64(max(megabytes, 0)) * megabyte, inProgress: inProgress,
		levelGauge: metrics.NewRegisteredGauge("host.pressure", registry), delayGauge: metrics.NewRegisteredGauge("host.timer_delay_us", registry),
	}
}

// recordDelay processes the time by which a timer has fired late.
func (p *pressure) recordDelay(now time.Time, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.timers = p.delay+max(delay, 0), p.timers+1
	if now.Sub(p.last) < pressureInterval {
		return
	}
	signs := ushershare.Signs{Delay: p.delay / time.Duration(p.timers), InProgress: int(p.inProgress()), Memory: p.memoryUse()}
	signs.Part = p.state.partOfRequests(now)
	p.delay, p.timers, p.last, p.signs = 0, 0, now, signs
	before := p.level
	p.level = p.gauge.Update(now, signs)
	p.state.setPressure(p.level)
	p.levelGauge.Update(int64(p.level))
	p.delayGauge.Update(signs.Delay.Microseconds())
	if p.level != before {
		p.log.Info("pressure on this host changed", "level", p.level, "delay_ms", float64(signs.Delay.Microseconds())/1000, "memory", signs.Memory,
			"in_progress", signs.InProgress, "part", signs.Part)
	}
}

// memoryUse returns the part of the allowed memory that is in use.
func (p *pressure) memoryUse() float64 {
	if p.memoryBytes == 0 {
		return 0
	}
	samples := []runtimemetrics.Sample{{Name: memoryTotal}, {Name: memoryReleased}}
	runtimemetrics.Read(samples)
	for _, s := range samples {
		if s.Value.Kind() != runtimemetrics.KindUint64 {
			return 0
		}
	}
	return float64(samples[0].Value.Uint64()-samples[1].Value.Uint64()) / float64(p.memoryBytes)
}

// current returns the level of pressure and the signs that it was last derived from.
func (p *pressure) current() (int, ushershare.Signs) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.level, p.signs
}

func (s *sharedState) setPressure(level int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cluster.SetPressure(s.clock.now(), uint8(level))
}

// partOfRequests returns how many of the fleet's requests in progress this host would have if they were divided by capacity.
func (s *sharedState) partOfRequests(now time.Time) float64 {
	part := ushershare.Part(s.servingHosts(), s.self().Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := 0
	for _, load := range s.pool.TotalLoads(now, func(string) bool { return true }) {
		requests += load.Calls + load.Streams
	}
	return part * float64(requests)
}
