package measurer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/internal/gateway"
)

// CostResult holds the cost and quality of one simulation run.
type CostResult struct {
	// Ratio is the cost divided by the oracle's cost for the same requests.
	Ratio float64
	// Shortfall is the largest amount by which an account's mean rating is below
	// its quality target. It is negative when all accounts exceed their targets.
	Shortfall float64
	Failed    int
	// Median is the median time until a response is complete.
	Median time.Duration
}

// MeasureCost applies a warm-up load and then measures cost and quality. It
// compares the cost with that of an oracle that is given the rating of each
// request on each version.
func MeasureCost(ctx context.Context, config SimulationConfig, accounts []string, rate float64, warmUp, measured time.Duration) (CostResult, error) {
	simulation, err := StartSimulation(ctx, config)
	if err != nil {
		return CostResult{}, err
	}
	defer CloseSimulation(simulation)
	ApplyLoad(ctx, simulation, Load{Rate: rate, Duration: warmUp, Accounts: accounts, NewPrompt: UniquePrompts(config.Seed + 1_000_000)}, config.Seed)
	requests := ApplyLoad(ctx, simulation, Load{Rate: rate, Duration: measured, Accounts: accounts, NewPrompt: UniquePrompts(config.Seed)}, config.Seed)
	catalog, err := compiler.Compile(1, simulation.Declaration())
	if err != nil {
		return CostResult{}, err
	}
	return summariseCost(requests, catalog, simulation.Qualities), nil
}

func summariseCost(requests []RequestResult, catalog *compiler.Catalog, rating *faker.Qualities) CostResult {
	result := CostResult{Shortfall: -1}
	byAccount := map[string][]RequestResult{}
	var durations []time.Duration
	for _, request := range requests {
		if request.Response == nil {
			result.Failed++
			continue
		}
		byAccount[request.Account] = append(byAccount[request.Account], request)
		durations = append(durations, request.Duration)
	}
	result.Median = Quantile(durations, 0.5)
	totalCost, optimalCost := 0.0, 0.0
	for name, completed := range byAccount {
		account := catalog.Accounts[name]
		quality := 0.0
		for _, request := range completed {
			cost, err := gateway.ParseCost(request.Response.Cost)
			if err != nil {
				continue
			}
			totalCost += float64(cost)
			quality += rating.Score(request.Response.Version, request.Prompt)
		}
		result.Shortfall = max(result.Shortfall, account.Policy.MinRating-quality/float64(len(completed)))
		optimalCost += oracleCost(completed, account, catalog, rating)
	}
	if optimalCost > 0 {
		result.Ratio = totalCost / optimalCost
	}
	return result
}

// versionOption is the cost and rating of one request on one version.
type versionOption struct {
	cost  float64
	score float64
}

// oracleCost returns the lowest cost at which the mean rating of the requests
// meets the account's target, given the rating of each request on each version.
// It searches for the lowest quality price (cost per unit of rating) at which
// choosing the best version for each request meets the target.
func oracleCost(requests []RequestResult, account *compiler.Account, catalog *compiler.Catalog, rating *faker.Qualities) float64 {
	var requestOptions [][]versionOption
	for _, request := range requests {
		var options []versionOption
		for id := range account.Policy.Versions {
			version := catalog.Versions[id]
			options = append(options, versionOption{
				cost:  float64(version.Price.Charge(request.Response.Input, request.Response.Output)),
				score: rating.Score(id.String(), request.Prompt),
			})
		}
		slices.SortFunc(options, func(a, b versionOption) int { return cmp.Compare(a.cost, b.cost) })
		requestOptions = append(requestOptions, options)
	}
	low, high := 0.0, 1e9
	for range 60 {
		qualityPrice := (low + high) / 2
		if _, mean := selectAtPrice(requestOptions, qualityPrice); mean >= account.Policy.MinRating {
			high = qualityPrice
		} else {
			low = qualityPrice
		}
	}
	cost, _ := selectAtPrice(requestOptions, high)
	return cost
}

// selectAtPrice returns the total cost and the mean rating when each request
// uses the option that maximises its rating times the quality price minus its
// cost.
func selectAtPrice(requestOptions [][]versionOption, qualityPrice float64) (cost, mean float64) {
	for _, options := range requestOptions {
		best := slices.MaxFunc(options, func(a, b versionOption) int {
			return cmp.Compare(qualityPrice*a.score-a.cost, qualityPrice*b.score-b.cost)
		})
		cost += best.cost
		mean += best.score
	}
	return cost, mean / float64(len(requestOptions))
}
