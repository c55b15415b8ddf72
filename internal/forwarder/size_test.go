package forwarder

import (
	"testing"

	"quetzalgrade.example/quetzalgrade/internal/matcher"
)

// TestEnginePriority guards against an engine that runs less urgent requests before more
// urgent ones, because it is told only the step of the cascade, nothing where the client has chosen
// the model, or a number that it does not know.
func TestEnginePriority(t *testing.T) {
	models := []string{"small", "large"}
	rows := map[string]struct {
		route    matcher.Route
		account  *matcher.Account
		anyModel bool
		size     int
		want     int
	}{
		"most urgent route, first step":       {matcher.Route{Priority: 0, Models: models}, nil, true, 0, 0},
		"most urgent route, later step":       {matcher.Route{Priority: 0, Models: models}, nil, true, 1, 1},
		"less urgent route, first step":       {matcher.Route{Priority: 1, Models: models}, nil, true, 0, 2},
		"third route, later step":             {matcher.Route{Priority: 2, Models: models}, nil, true, 1, 5},
		"account without a priority":          {matcher.Route{Priority: 2, Models: models}, &matcher.Account{Priority: -1}, true, 0, 4},
		"account before route":                {matcher.Route{Priority: 2, Models: models}, &matcher.Account{Priority: 0}, true, 1, 1},
		"less urgent account before route":    {matcher.Route{Priority: 0, Models: models}, &matcher.Account{Priority: 3}, true, 0, 6},
		"priority beyond those of the engine": {matcher.Route{Priority: 1000, Models: models}, nil, true, 1, 9},
		"priority below those of the engine":  {matcher.Route{Priority: -4, Models: models}, nil, true, 0, 0},
		"model chosen by the client":          {matcher.Route{Priority: 1, Models: models}, nil, false, 0, 3},
		"plain service":                       {matcher.Route{Priority: 1}, nil, true, 0, -1},
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
