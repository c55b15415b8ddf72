package matcher_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/matcher"
)

func newTable() *matcher.Table {
	return matcher.NewTable(matcher.Declaration{
		Revision: 3,
		Routes: []matcher.Route{
			{Name: "all", Host: "api.example", Prefix: "/"},
			{Name: "chat", Host: "api.example", Prefix: "/chat/"},
			{Name: "deep", Host: "api.example", Prefix: "/chat/deep/"},
			{Name: "other", Host: "other.example", Prefix: "/chat/"},
		},
		Accounts: []matcher.Account{{Name: "office", APIKeys: []string{"k1", "k2"}}},
	})
}

func TestRoute(t *testing.T) {
	rows := map[string]struct{ host, path, want string }{
		"longest prefix":       {"api.example", "/chat/deep/1", "deep"},
		"shorter prefix":       {"api.example", "/chat/1", "chat"},
		"prefix ends in slash": {"api.example", "/chatter", "all"},
		"host with port":       {"api.example:8080", "/chat/1", "chat"},
		"host in capitals":     {"API.example", "/chat/1", "chat"},
		"another host":         {"other.example", "/chat/1", "other"},
		"no prefix":            {"other.example", "/none/", ""},
		"no host":              {"none.example", "/chat/1", ""},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			got := ""
			if route := newTable().Route(row.host, row.path); route != nil {
				got = route.Name
			}
			if got != row.want {
				t.Errorf("Route(%q, %q) got %q, want %q", row.host, row.path, got, row.want)
			}
		})
	}
}

func TestAccount(t *testing.T) {
	for key, want := range map[string]bool{"k1": true, "k2": true, "k3": false, "": false} {
		if got := newTable().Account(key) != nil; got != want {
			t.Errorf("Account(%q) got %t, want %t", key, got, want)
		}
	}
}

func TestRouteHasTheLongestMatchingPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b"})
		var routes []matcher.Route
		for _, segments := range rapid.SliceOfN(rapid.SliceOfN(segment, 0, 3), 1, 6).Draw(t, "prefixes") {
			prefix := "/" + strings.Join(segments, "/")
			routes = append(routes, matcher.Route{Host: "h", Prefix: strings.TrimSuffix(prefix, "/") + "/"})
		}
		path := "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, "path"), "/") + "/"
		got := matcher.NewTable(matcher.Declaration{Routes: routes}).Route("h", path)
		for _, route := range routes {
			if strings.HasPrefix(path, route.Prefix) && (got == nil || len(route.Prefix) > len(got.Prefix)) {
				t.Errorf("Route(%q) got %v, want %q or longer", path, got, route.Prefix)
			}
		}
	})
}
