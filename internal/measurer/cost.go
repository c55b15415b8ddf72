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

// CostResult is the cost and quality of one run.
type CostResult struct {
	// Ratio is the cost relative to the oracle's for the same requests.
	Ratio float64
	// Shortfall is the largest amount by which an account's mean rating lies
	// below its target; negative when all are above.
	Shortfall float64
	Failed    int
	// Median is the median time to the end of an answer.
	Median time.Duration
}

// Cost runs a warm-up and then measures cost and quality against an oracle
// that knows each request's rating on each version.
func Cost(ctx context.Context, setting Setting, accounts []string, rate float64, warm, measured time.Duration) (CostResult, error) {
	s, err := Open(ctx, setting)
	if err != nil {
		return CostResult{}, err
	}
	defer Close(s)
	Send(ctx, s, Load{Rate: rate, Duration: warm, Accounts: accounts, Prompt: Plain(setting.Seed + 1_000_000)}, setting.Seed)
	requests := Send(ctx, s, Load{Rate: rate, Duration: measured, Accounts: accounts, Prompt: Plain(setting.Seed)}, setting.Seed)
	catalog, err := compiler.Compile(1, s.Declaration())
	if err != nil {
		return CostResult{}, err
	}
	return costOf(requests, catalog, s.Qualities), nil
}

func costOf(requests []Request, catalog *compiler.Catalog, rating *faker.Qualities) CostResult {
	result := CostResult{Shortfall: -1}
	byAccount := map[string][]Request{}
	var took []time.Duration
	for _, request := range requests {
		if request.Answer == nil {
			result.Failed++
			continue
		}
		byAccount[request.Account] = append(byAccount[request.Account], request)
		took = append(took, request.Took)
	}
	result.Median = Quantile(took, 0.5)
	paid, least := 0.0, 0.0
	for name, answered := range byAccount {
		account := catalog.Accounts[name]
		quality := 0.0
		for _, request := range answered {
			cost, err := gateway.ParseCost(request.Answer.Cost)
			if err != nil {
				continue
			}
			paid += float64(cost)
			quality += rating.Score(request.Answer.Version, request.Prompt)
		}
		result.Shortfall = max(result.Shortfall, account.Policy.Quality-quality/float64(len(answered)))
		least += oracle(answered, account, catalog, rating)
	}
	if least > 0 {
		result.Ratio = paid / least
	}
	return result
}

// option is one version for one request, as the oracle sees it.
type option struct {
	cost  float64
	score float64
}

// oracle returns the least cost of the requests whose mean rating meets the
// target, with each request's rating on each version known beforehand. It
// searches the price of quality at which the best choice of each request just
// meets the target.
func oracle(requests []Request, account *compiler.Account, catalog *compiler.Catalog, rating *faker.Qualities) float64 {
	var all [][]option
	for _, request := range requests {
		var options []option
		for id := range account.Policy.Versions {
			version := catalog.Versions[id]
			options = append(options, option{
				cost:  float64(version.Price.Charge(request.Answer.Input, request.Answer.Output)),
				score: rating.Score(id.String(), request.Prompt),
			})
		}
		slices.SortFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
		all = append(all, options)
	}
	low, high := 0.0, 1e9
	for range 60 {
		price := (low + high) / 2
		if _, mean := bestAt(all, price); mean >= account.Policy.Quality {
			high = price
		} else {
			low = price
		}
	}
	cost, _ := bestAt(all, high)
	return cost
}

// bestAt returns the cost and mean rating when each request takes the option
// with the best rating for its cost at a price of quality.
func bestAt(all [][]option, price float64) (cost, mean float64) {
	for _, options := range all {
		best := slices.MaxFunc(options, func(a, b option) int {
			return cmp.Compare(price*a.score-a.cost, price*b.score-b.cost)
		})
		cost += best.cost
		mean += best.score
	}
	return cost, mean / float64(len(all))
}
