package measurer_test

import (
	"context"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/internal/measurer"
	"quetzalgrade.example/quetzalgrade/internal/picker"
	"quetzalgrade.example/quetzalgrade/internal/router"
)

var workersByDeployment = map[string]int{"derwent": 12, "mekong": 18}

// measureLatencies measures one variant with each seed. loadShare is the load as
// a fraction of the deployment's capacity.
func measureLatencies(t *testing.T, deployment string, options router.Options, loadShare float64, sharedPrefixes bool, injectFaults func(context.Context, *measurer.Simulation)) []measurer.LatencyResult {
	t.Helper()
	warmUp, duration := 2*time.Second, 8*time.Second
	if isFullMeasurement() {
		warmUp, duration = 6*time.Second, 26*time.Second
	}
	return measureSeeds(t, seedCount(t), func(ctx context.Context, seed uint64) (measurer.LatencyResult, error) {
		load := measurer.Load{
			Rate: loadShare * measurer.Capacity(workersByDeployment[deployment]), Duration: duration,
			Accounts: accountsByDeployment[deployment], NewPrompt: measurer.UniquePrompts(seed), Stream: true,
		}
		if sharedPrefixes {
			load.NewPrompt = measurer.SharedPrefixPrompts(seed)
		}
		config := measurer.SimulationConfig{Deployment: deployment, Seed: seed, Router: measurer.WithCheapestVersion(options), Slots: measurer.SlotsPerWorker, Speed: measurer.LoadEngineSpeed}
		return measurer.MeasureLatency(ctx, config, load, warmUp, injectFaults)
	})
}

func formatMilliseconds(results []measurer.LatencyResult, value func(measurer.LatencyResult) time.Duration) string {
	return spreadOver(results, func(r measurer.LatencyResult) float64 { return 1000 * value(r).Seconds() }).Format("%.0f")
}

func formatPercent(results []measurer.LatencyResult, value func(measurer.LatencyResult) float64) string {
	return spreadOver(results, func(r measurer.LatencyResult) float64 { return 100 * value(r) }).Format("%.1f")
}

func TestMeasureLatency(t *testing.T) {
	variants := []struct {
		name    string
		options router.Options
	}{
		{"full", router.Options{}},
		{"without hedges", router.Options{NoHedge: true}},
		{"without admission", router.Options{NoAdmission: true}},
		{"random", router.Options{Picker: picker.Options{Baseline: picker.Random}, NoHedge: true, NoAdmission: true}},
		{"round robin", router.Options{Picker: picker.Options{Baseline: picker.RoundRobin}, NoHedge: true, NoAdmission: true}},
		{"least reported load", router.Options{Picker: picker.Options{Baseline: picker.LeastLoaded}, NoHedge: true, NoAdmission: true}},
	}
	table := measurer.Table{
		Title:   "Latency by load",
		Note:    "Milliseconds to the first token and to the end; answers a second; refusals in percent and the 99th percentile of the time until one.",
		Columns: []string{"deployment", "load", "choice", "first p50", "first p95", "first p99", "end p50", "end p99", "goodput", "refused %", "refused after ms", "failed %"},
	}
	for _, deployment := range []string{"derwent", "mekong"} {
		for _, loadShare := range []float64{0.8, 1.5} {
			for _, variant := range variants {
				if !isFullMeasurement() && loadShare != 0.8 {
					continue
				}
				results := measureLatencies(t, deployment, variant.options, loadShare, false, nil)
				table.Rows = append(table.Rows, []string{
					deployment, fmt.Sprintf("%.0f%%", 100*loadShare), variant.name,
					formatMilliseconds(results, func(r measurer.LatencyResult) time.Duration { return r.FirstTokenP50 }),
					formatMilliseconds(results, func(r measurer.LatencyResult) time.Duration { return r.FirstTokenP95 }),
					formatMilliseconds(results, func(r measurer.LatencyResult) time.Duration { return r.FirstTokenP99 }),
					formatMilliseconds(results, func(r measurer.LatencyResult) time.Duration { return r.TotalP50 }),
					formatMilliseconds(results, func(r measurer.LatencyResult) time.Duration { return r.TotalP99 }),
					spreadOver(results, func(r measurer.LatencyResult) float64 { return r.Goodput }).Format("%.1f"),
					formatPercent(results, func(r measurer.LatencyResult) float64 { return r.RefusedShare }),
					formatMilliseconds(results, func(r measurer.LatencyResult) time.Duration { return r.RefusalP99 }),
					formatPercent(results, func(r measurer.LatencyResult) float64 { return r.FailedShare }),
				})
			}
		}
	}
	writeTable(t, table)
}

// injectEngineFaults returns a function that sets the faults on one engine in
// six, before the load starts.
func injectEngineFaults(faults faker.EngineFaults) func(context.Context, *measurer.Simulation) {
	return func(_ context.Context, simulation *measurer.Simulation) {
		var addresses []string
		for address := range simulation.Engines {
			addresses = append(addresses, address)
		}
		slices.Sort(addresses)
		for i, address := range addresses {
			if i%6 == 0 {
				simulation.Engines[address].SetFaults(faults)
			}
		}
	}
}

func TestMeasureEjection(t *testing.T) {
	faults := []struct {
		name   string
		faults faker.EngineFaults
	}{
		{"ten times slower", faker.EngineFaults{SlowdownFactor: 10}},
		{"fails at once", faker.EngineFaults{FailRequests: true}},
	}
	table := measurer.Table{
		Title:   "Sick engines",
		Note:    "One engine in six is sick during the whole load, at 50% of the fleet's capacity. Milliseconds to the end after the warm-up; failed requests in percent.",
		Columns: []string{"deployment", "fault", "choice", "end p50", "end p95", "end p99", "failed %"},
	}
	for _, deployment := range []string{"derwent", "mekong"} {
		for _, fault := range faults {
			for _, noEjection := range []bool{false, true} {
				name := "full"
				if noEjection {
					name = "without ejection"
				}
				results := measureLatencies(t, deployment, router.Options{Picker: picker.Options{NoEjection: noEjection}}, 0.5, false, injectEngineFaults(fault.faults))
				table.Rows = append(table.Rows, []string{
					deployment, fault.name, name,
					formatMilliseconds(results, func(r measurer.LatencyResult) time.Duration { return r.TotalP50 }),
					formatMilliseconds(results, func(r measurer.LatencyResult) time.Duration { return r.TotalP95 }),
					formatMilliseconds(results, func(r measurer.LatencyResult) time.Duration { return r.TotalP99 }),
					formatPercent(results, func(r measurer.LatencyResult) float64 { return r.FailedShare }),
				})
			}
		}
	}
	writeTable(t, table)
}

func TestMeasureAffinity(t *testing.T) {
	variants := []struct {
		name    string
		options picker.Options
	}{
		{"full", picker.Options{}},
		{"no affinity", picker.Options{NoAffinity: true}},
		{"strict affinity", picker.Options{StrictAffinity: true}},
	}
	table := measurer.Table{
		Title:   "Prefix-cache affinity",
		Note:    "160 prefixes, the first ones more often, 24 fit into an engine's cache; 80% load. Cached prefixes in percent; milliseconds.",
		Columns: []string{"deployment", "choice", "cached %", "first p50", "first p99", "end p99"},
	}
	for _, deployment := range []string{"derwent", "mekong"} {
		for _, variant := range variants {
			results := measureLatencies(t, deployment, router.Options{Picker: variant.options}, 0.8, true, nil)
			table.Rows = append(table.Rows, []string{
				deployment, variant.name,
				formatPercent(results, func(r measurer.LatencyResult) float64 { return r.CacheHitShare }),
				formatMilliseconds(results, func(r measurer.LatencyResult) time.Duration { return r.FirstTokenP50 }),
				formatMilliseconds(results, func(r measurer.LatencyResult) time.Duration { return r.FirstTokenP99 }),
				formatMilliseconds(results, func(r measurer.LatencyResult) time.Duration { return r.TotalP99 }),
			})
		}
	}
	writeTable(t, table)
}

func TestMeasureRollouts(t *testing.T) {
	count := 40
	if isFullMeasurement() {
		count = 1000
	}
	table := measurer.Table{
		Title:   "Exposure to a bad version",
		Note:    fmt.Sprintf("%d simulated roll-outs on the decision code of 6 daemons for each row; ratings arrive 40 requests late; tolerance 2 points; stages 1, 5, 25 and 50%%. People exposed before the stop or the acceptance; requests until then.", count),
		Columns: []string{"drop in points", "method", "exposed median", "exposed p95", "requests median", "stopped %", "accepted %"},
	}
	falseStops := 0.0
	for _, drop := range []float64{0, 0.05, 0.15, 0.40} {
		for _, method := range []measurer.RolloutMethod{measurer.Sequential, measurer.SequentialWithoutShadows, measurer.FixedStages, measurer.FixedSample} {
			var exposed, requests []float64
			stopped, accepted := 0, 0
			for seed := range count {
				result := measurer.SimulateRollout(method, drop, uint64(seed))
				exposed = append(exposed, float64(result.Exposed))
				requests = append(requests, float64(result.Requests))
				if result.Stopped {
					stopped++
				}
				if result.Accepted {
					accepted++
				}
			}
			slices.Sort(exposed)
			if drop == 0 && method == measurer.Sequential {
				falseStops = float64(stopped) / float64(count)
			}
			table.Rows = append(table.Rows, []string{
				fmt.Sprintf("%.0f", 100*drop), method.String(),
				fmt.Sprintf("%.0f", exposed[count/2]),
				fmt.Sprintf("%.0f", exposed[int(math.Min(float64(count-1), 0.95*float64(count)))]),
				fmt.Sprintf("%.0f", measurer.NewSpread(requests).Median),
				fmt.Sprintf("%.1f", 100*float64(stopped)/float64(count)),
				fmt.Sprintf("%.1f", 100*float64(accepted)/float64(count)),
			})
		}
	}
	writeTable(t, table)
	if falseStops > 0.01 && isFullMeasurement() {
		t.Errorf("share of false stops got %.3f, want at most 0.01", falseStops)
	}
}

func TestMeasureScale(t *testing.T) {
	sizes := []int{2}
	duration := 20 * time.Second
	if isFullMeasurement() {
		sizes = []int{2, 10, 30, 120}
		duration = 60 * time.Second
	}
	table := measurer.Table{
		Title:   "Control by number of daemons",
		Note:    "No requests; one process holds all daemons and stand-ins, so core and memory are upper bounds for a daemon. The log's calls are of the whole fleet.",
		Columns: []string{"daemons", "bytes/s a daemon", "% of a core a daemon", "heap MB a daemon", "appends/s", "reads/s", "in force after s", "death noticed everywhere after s"},
	}
	for _, perZone := range sizes {
		results := measureSeeds(t, 1, func(ctx context.Context, seed uint64) (measurer.ScaleResult, error) {
			return measurer.MeasureScale(ctx, perZone, seed, duration)
		})
		result := results[0]
		table.Rows = append(table.Rows, []string{
			fmt.Sprint(result.Daemons),
			fmt.Sprintf("%.0f", result.BytesPerSecond),
			fmt.Sprintf("%.2f", 100*result.CPUShare),
			fmt.Sprintf("%.1f", result.HeapBytes/(1<<20)),
			fmt.Sprintf("%.1f", result.AppendsPerSecond),
			fmt.Sprintf("%.1f", result.ReadsPerSecond),
			fmt.Sprintf("%.1f", result.RevisionDelay.Seconds()),
			fmt.Sprintf("%.1f", result.FailureDetectionTime.Seconds()),
		})
	}
	writeTable(t, table)
}
