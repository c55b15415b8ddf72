package forwarder

import (
	"math"
	"testing"

	"quetzalgrade.example/quetzalgrade/internal/matcher"
)

// TestEnginePriority guards against an engine that runs less urgent requests before more
// urgent ones, because it is told only the step of the cascade, nothing where the client has
// chosen the model, or a number that it does not know.
func TestEnginePriority(t *testing.T) {
	models := []string{"small", "large"}
	rows := map[string]struct {
		route    matcher.Route
		account  *matcher.Account
		anyModel bool
		size     int
		want     int
	}{
		"most urgent route, first step":      {matcher.Route{Priority: 0, Models: models}, nil, true, 0, 0},
		"most urgent route, later step":      {matcher.Route{Priority: 0, Models: models}, nil, true, 1, 2},
		"less urgent route, first step":      {matcher.Route{Priority: 1, Models: models}, nil, true, 0, 0},
		"third route, later step":            {matcher.Route{Priority: 2, Models: models}, nil, true, 1, 4},
		"account without a priority":         {matcher.Route{Priority: 2, Models: models}, &matcher.Account{Priority: -1}, true, 1, 4},
		"account before route":               {matcher.Route{Priority: 2, Models: models}, &matcher.Account{Priority: 0}, true, 1, 4},
		"less urgent account before route":   {matcher.Route{Priority: 0, Models: models}, &matcher.Account{Priority: 1}, true, 1, 5},
		"less urgent account, first step":    {matcher.Route{Priority: 0, Models: models}, &matcher.Account{Priority: 1}, true, 0, 1},
		"third account, first step":          {matcher.Route{Priority: 0, Models: models}, &matcher.Account{Priority: 2}, true, 0, 1},
		"route beyond those told apart":      {matcher.Route{Priority: 1000, Models: models}, &matcher.Account{Priority: 1}, true, 1, 7},
		"account beyond those of the engine": {matcher.Route{Priority: 0, Models: models}, &matcher.Account{Priority: math.MaxInt}, true, 1, 9},
		"route below those of the engine":    {matcher.Route{Priority: -4, Models: models}, nil, true, 1, 2},
		"model chosen by the client":         {matcher.Route{Priority: 1, Models: models}, nil, false, 0, 3},
		"plain service":                      {matcher.Route{Priority: 1}, nil, true, 0, -1},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			c := &call{Request: Request{AnyModel: row.anyModel}, route: &row.route, account: row.account, size: row.size}
			if got := c.enginePriority(); got != row.want {
				t.Errorf("enginePriority() got %d, want %d", got, row.want)
			}
		})
	}
}
