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

// Fleet is a running fleet.
type Fleet = demonstrator.Simulation

// ScaleResult is the cost of control for each daemon without any requests.
type ScaleResult struct {
	Daemons int
	// Bytes is what a daemon writes and reads a second.
	Bytes float64
	// Core is the share of a core, stand-ins included.
	Core float64
	// Memory is the heap for each daemon in bytes, stand-ins included.
	Memory float64
	// Appends and Reads are calls of the whole fleet to the log, a second.
	Appends float64
	Reads   float64
	// Force is how long a revision took to be in force everywhere.
	Force time.Duration
	// Notice is how long it took until every daemon counted a killed one dead.
	Notice time.Duration
}

// Scale runs a number of daemons without requests and measures their control
// traffic over a time.
func Scale(ctx context.Context, perZone int, seed uint64, quiet time.Duration) (ScaleResult, error) {
	s, err := Open(ctx, Setting{Deployment: "mekong", Seed: seed, PerZone: perZone})
	if err != nil {
		return ScaleResult{}, err
	}
	defer Close(s)
	daemons := s.Daemons()
	time.Sleep(15 * time.Second)
	result := ScaleResult{Daemons: len(daemons)}
	bytes, cpu := trafficOf(s), cpuTime()
	appends, reads := s.Platform.Log.Calls()
	time.Sleep(quiet)
	count, seconds := float64(len(daemons)), quiet.Seconds()
	result.Bytes = float64(trafficOf(s)-bytes) / count / seconds
	result.Core = (cpuTime() - cpu).Seconds() / count / seconds
	laterAppends, laterReads := s.Platform.Log.Calls()
	result.Appends = float64(laterAppends-appends) / seconds
	result.Reads = float64(laterReads-reads) / seconds
	result.Memory = heap() / count
	result.Force, err = timeToForce(ctx, s)
	if err != nil {
		return result, err
	}
	result.Notice = timeToNotice(s)
	return result, nil
}

func trafficOf(s *Fleet) uint64 {
	var sum uint64
	for _, daemon := range s.Daemons() {
		traffic := s.Fabric.Traffic(daemon.Addr)
		sum += traffic.BytesWritten + traffic.BytesRead
	}
	return sum
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func timeToForce(ctx context.Context, s *Fleet) (time.Duration, error) {
	began := time.Now()
	next := Declaration(s)
	next.Models["egret"].Versions["v2"].Quality = 0.83
	if err := s.Apply(ctx, s.Client, next, "measurer", "change"); err != nil {
		return 0, err
	}
	for !everywhere(s, func(d *demonstrator.Daemon) bool { return d.Server.Revision() == 2 }) {
		if time.Since(began) > time.Minute {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began), nil
}

func timeToNotice(s *Fleet) time.Duration {
	victim := s.Daemons()[0].Name
	began := time.Now()
	s.Crash(victim)
	for !everywhere(s, func(d *demonstrator.Daemon) bool { return !d.Server.IsMemberServing(victim) }) {
		if time.Since(began) > 5*time.Minute {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(began)
}

func everywhere(s *Fleet, holds func(*demonstrator.Daemon) bool) bool {
	for _, daemon := range s.Daemons() {
		if !holds(daemon) {
			return false
		}
	}
	return true
}
