package measurer

import (
	"context"
	"math"
	"runtime"
	"syscall"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/demonstrator"
)

func sqrt(x float64) float64 { return math.Sqrt(x) }

// Simulation is a running simulated fleet.
type Simulation = demonstrator.Simulation

// ScaleResult holds the control-plane overhead of a fleet that serves no
// requests.
type ScaleResult struct {
	Daemons int
	// BytesPerSecond is the number of bytes that a daemon writes and reads per
	// second.
	BytesPerSecond float64
	// CPUShare is the share of a core that each daemon uses, including the fakes.
	CPUShare float64
	// HeapBytes is the heap size per daemon, including the fakes.
	HeapBytes float64
	// AppendsPerSecond and ReadsPerSecond count the calls of the whole fleet to
	// the log.
	AppendsPerSecond float64
	ReadsPerSecond   float64
	// RevisionDelay is the time until a new revision was in force on all daemons.
	RevisionDelay time.Duration
	// FailureDetectionTime is the time until no daemon listed a crashed daemon as
	// serving.
	FailureDetectionTime time.Duration
}

// MeasureScale runs a fleet with perZone daemons in each zone and no requests.
// It measures the control-plane overhead over the given duration.
func MeasureScale(ctx context.Context, perZone int, seed uint64, duration time.Duration) (ScaleResult, error) {
	simulation, err := StartSimulation(ctx, SimulationConfig{Deployment: "mekong", Seed: seed, PerZone: perZone})
	if err != nil {
		return ScaleResult{}, err
	}
	defer CloseSimulation(simulation)
	daemons := simulation.Daemons()
	time.Sleep(15 * time.Second)
	result := ScaleResult{Daemons: len(daemons)}
	bytes, cpu := totalTraffic(simulation), cpuTime()
	appends, reads := simulation.Platform.Log.Calls()
	time.Sleep(duration)
	count, seconds := float64(len(daemons)), duration.Seconds()
	result.BytesPerSecond = float64(totalTraffic(simulation)-bytes) / count / seconds
	result.CPUShare = (cpuTime() - cpu).Seconds() / count / seconds
	laterAppends, laterReads := simulation.Platform.Log.Calls()
	result.AppendsPerSecond = float64(laterAppends-appends) / seconds
	result.ReadsPerSecond = float64(laterReads-reads) / seconds
	result.HeapBytes = heapBytes() / count
	result.RevisionDelay, err = measureRevisionDelay(ctx, simulation)
	if err != nil {
		return result, err
	}
	result.FailureDetectionTime = measureFailureDetection(simulation)
	return result, nil
}

func totalTraffic(simulation *Simulation) uint64 {
	var sum uint64
	for _, daemon := range simulation.Daemons() {
		traffic := simulation.Fabric.Traffic(daemon.Addr)
		sum += traffic.BytesWritten + traffic.BytesRead
	}
	return sum
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func measureRevisionDelay(ctx context.Context, simulation *Simulation) (time.Duration, error) {
	began := time.Now()
	next := CloneDeclaration(simulation)
	next.Models["egret"].Versions["v2"].Quality = 0.83
	if err := simulation.Apply(ctx, simulation.Client, next, "measurer", "change"); err != nil {
		return 0, err
	}
	for !allDaemons(simulation, func(d *demonstrator.Daemon) bool { return d.Server.Revision() == 2 }) {
		if time.Since(began) > time.Minute {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began), nil
}

func measureFailureDetection(simulation *Simulation) time.Duration {
	crashed := simulation.Daemons()[0].Name
	began := time.Now()
	simulation.CrashDaemon(crashed)
	for !allDaemons(simulation, func(d *demonstrator.Daemon) bool { return !d.Server.IsMemberServing(crashed) }) {
		if time.Since(began) > 5*time.Minute {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(began)
}

func allDaemons(simulation *Simulation, predicate func(*demonstrator.Daemon) bool) bool {
	for _, daemon := range simulation.Daemons() {
		if !predicate(daemon) {
			return false
		}
	}
	return true
}
