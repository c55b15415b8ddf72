package demonstrator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"quetzalgrade.example/quetzalgrade/internal/demonstrator"
	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/pkg/caller"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
	"quetzalgrade.example/quetzalgrade/pkg/schema/schemaconnect"
)

// rawResponse is the response to a request that was sent without the client
// library.
type rawResponse struct {
	status int
	kind   string
	ran    string
	body   string
}

func sendRaw(t *testing.T, s *demonstrator.Simulation, request *http.Request) rawResponse {
	t.Helper()
	response, err := s.Client.Do(request)
	if err != nil {
		t.Fatalf("Do() got error %v, want a response", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("read response: %v", err)
	}
	var parsed struct {
		Error struct {
			Type string `json:"type"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &parsed)
	return rawResponse{response.StatusCode, parsed.Error.Type, parsed.Error.Ran, string(body)}
}

// TestClientInterface guards against a request that gets the wrong status or error
// kind, or a refused request that is not reported as not run.
func TestClientInterface(t *testing.T) {
	const chat, booking = "/v1/chat/completions", "/v1/services/turn-ledger/turns"
	const hello = `{"messages":[{"role":"user","content":"hello"}]}`
	rows := map[string]struct {
		method, path, body string
		header             map[string]string
		status             int
		kind               string
	}{
		"a complete response":                  {method: "POST", path: chat, body: hello, status: 200},
		"a list of content parts":              {method: "POST", path: chat, body: `{"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`, status: 200},
		"unknown fields are ignored":           {method: "POST", path: chat, body: `{"messages":[{"role":"user","content":"hi"}],"temperature":0.2}`, status: 200},
		"no API key":                           {method: "POST", path: chat, body: hello, header: map[string]string{"Authorization": ""}, status: 401, kind: "unauthenticated"},
		"an unknown API key":                   {method: "POST", path: chat, body: hello, header: map[string]string{"Authorization": "Bearer nobody"}, status: 401, kind: "unauthenticated"},
		"invalid JSON":                         {method: "POST", path: chat, body: `{"messages":`, status: 400, kind: "bad_request"},
		"a wrong type":                         {method: "POST", path: chat, body: `{"messages":"hello"}`, status: 400, kind: "bad_request"},
		"no messages":                          {method: "POST", path: chat, body: `{}`, status: 400, kind: "bad_request"},
		"several choices":                      {method: "POST", path: chat, body: `{"n":2,"messages":[{"role":"user","content":"x"}]}`, status: 400, kind: "bad_request"},
		"zero max_tokens":                      {method: "POST", path: chat, body: `{"max_tokens":0,"messages":[{"role":"user","content":"x"}]}`, status: 400, kind: "bad_request"},
		"an unsupported content type":          {method: "POST", path: chat, body: hello, header: map[string]string{"Content-Type": "text/plain"}, status: 415, kind: "wrong_content"},
		"a body that is too large":             {method: "POST", path: chat, body: strings.Repeat("x", 1<<20+1), status: 413, kind: "body_too_large"},
		"an unknown model":                     {method: "POST", path: chat, body: `{"model":"none","messages":[{"role":"user","content":"x"}]}`, status: 403, kind: "forbidden"},
		"a forbidden model":                    {method: "POST", path: chat, body: `{"model":"wren@v1","messages":[{"role":"user","content":"x"}]}`, status: 403, kind: "forbidden"},
		"an invalid deadline":                  {method: "POST", path: chat, body: hello, header: map[string]string{"Quetzal-Deadline": "soon"}, status: 400, kind: "bad_request"},
		"a deadline that is too short":         {method: "POST", path: chat, body: hello, header: map[string]string{"Quetzal-Deadline": "1ms"}, status: 503, kind: "deadline_unmet"},
		"an invalid conversation token":        {method: "POST", path: chat, body: hello, header: map[string]string{"Quetzal-Conversation": "qc1.x.y"}, status: 400, kind: "bad_request"},
		"an unknown path":                      {method: "GET", path: "/v2", status: 404, kind: "not_found"},
		"a service of the wrong kind":          {method: "POST", path: "/v1/services/rota-helper/x", status: 404, kind: "not_found"},
		"an undeclared call":                   {method: "DELETE", path: booking, status: 404, kind: "not_found"},
		"an idempotent call":                   {method: "GET", path: "/v1/services/turn-ledger/roster?week=3", status: 200},
		"a booking without an idempotency key": {method: "POST", path: booking, body: `{"n":1}`, status: 200},
		"a booking with an idempotency key":    {method: "POST", path: booking, body: `{"n":2}`, header: map[string]string{"Idempotency-Key": "k1"}, status: 200},
		"an idempotency key that is too long":  {method: "POST", path: booking, body: `{}`, header: map[string]string{"Idempotency-Key": strings.Repeat("k", 2000)}, status: 400, kind: "bad_request"},
		"the models of the account":            {method: "GET", path: "/v1/models", status: 200},
	}
	runSimulation(t, "derwent", nil, func(t *testing.T, s *demonstrator.Simulation) {
		base := "http://" + s.Daemons()[0].Server.Addresses().Clients.String()
		for name, row := range rows {
			request, err := http.NewRequestWithContext(t.Context(), row.method, base+row.path, bytes.NewReader([]byte(row.body)))
			if err != nil {
				t.Fatalf("%s: build request: %v", name, err)
			}
			request.Header.Set("Authorization", "Bearer "+demonstrator.APIKey("rota-office"))
			request.Header.Set("Content-Type", "application/json")
			for key, value := range row.header {
				request.Header.Set(key, value)
			}
			got := sendRaw(t, s, request)
			if got.status != row.status || got.kind != row.kind {
				t.Errorf("%s: got status %d and kind %q, want %d and %q: %s", name, got.status, got.kind, row.status, row.kind, got.body)
			}
			if row.kind != "" && got.ran != "no" {
				t.Errorf("%s: ran got %q, want no", name, got.ran)
			}
		}
	})
}

// TestReusedIdempotencyKeyIsRefused guards against a response that is replayed to a
// different request because it has the same idempotency key.
func TestReusedIdempotencyKeyIsRefused(t *testing.T) {
	runSimulation(t, "derwent", nil, func(t *testing.T, s *demonstrator.Simulation) {
		call := caller.Call{Service: "turn-ledger", Method: http.MethodPost, Path: "/turns", Key: "k", Body: []byte(`{"a":1}`)}
		if _, err := s.AccountClient(s.Daemons()[0], "rota-office").Call(t.Context(), call); err != nil {
			t.Fatalf("Call() got error %v, want nil", err)
		}
		call.Body = []byte(`{"a":2}`)
		_, err := s.AccountClient(s.Daemons()[1], "rota-office").Call(t.Context(), call)
		if callerErr, ok := err.(*caller.Error); !ok || callerErr.Kind != "key_reused" { //nolint:errorlint // the client returns the error unwrapped
			t.Errorf("Call() got error %v, want key_reused", err)
		}
		// The same key under another account identifies another booking.
		if _, err := s.AccountClient(s.Daemons()[1], "night-valves").Call(t.Context(), call); err != nil {
			t.Errorf("Call() of another account got error %v, want nil", err)
		}
	})
}

// TestClientDisconnectCancelsEngineStream guards against engines that keep
// generating for a client that closed its connection.
func TestClientDisconnectCancelsEngineStream(t *testing.T) {
	adjust := func(o *demonstrator.Options) { o.EngineSpeed = faker.EngineSpeed{DecodePace: time.Second} }
	runSimulation(t, "derwent", adjust, func(t *testing.T, s *demonstrator.Simulation) {
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		_, err := s.AccountClient(s.Daemons()[0], "rota-office").Chat(ctx, caller.Chat{Messages: userMessage("a long story"), Stream: true})
		if err == nil {
			t.Fatal("Chat() got nil, want an error after the client disconnected")
		}
		time.Sleep(2 * time.Minute)
		for _, engine := range s.Engines {
			for _, run := range engine.Executions() {
				if run.Complete {
					t.Errorf("run of %q got complete, want cancelled", run.Prompt)
				}
			}
		}
	})
}

// TestPeersAndOperatorsAreAuthenticated guards against peer and operator calls that
// are accepted without a valid token, cluster or change.
func TestPeersAndOperatorsAreAuthenticated(t *testing.T) {
	runSimulation(t, "derwent", nil, func(t *testing.T, s *demonstrator.Simulation) {
		addresses := s.Daemons()[0].Server.Addresses()
		token := func(value string) connect.Option {
			return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
				return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
					request.Header().Set("Authorization", "Bearer "+value)
					return next(ctx, request)
				}
			}))
		}
		rows := map[string]struct {
			call func() error
			want connect.Code
		}{
			"an operator without a token": {func() error {
				_, err := schemaconnect.NewOperatorServiceClient(s.Client, "http://"+addresses.Operators.String()).Inspect(t.Context(), connect.NewRequest(&schema.InspectRequest{}))
				return err
			}, connect.CodeUnauthenticated},
			"a peer without a token": {func() error {
				_, err := schemaconnect.NewPeerServiceClient(s.Client, "http://"+addresses.Peers.String()).Fetch(t.Context(), connect.NewRequest(&schema.FetchRequest{}))
				return err
			}, connect.CodeUnauthenticated},
			"a peer of another cluster": {func() error {
				client := schemaconnect.NewPeerServiceClient(s.Client, "http://"+addresses.Peers.String(), token("peer-token-of-the-demo"))
				_, err := client.Fetch(t.Context(), connect.NewRequest(&schema.FetchRequest{Sender: &schema.Sender{Cluster: "mekong", Name: "x"}}))
				return err
			}, connect.CodePermissionDenied},
			"a change without a reason": {func() error {
				_, err := s.OperatorClient(s.Daemons()[0], s.Client).Apply(t.Context(), connect.NewRequest(&schema.ApplyRequest{Declaration: s.Declaration(), Author: "a"}))
				return err
			}, connect.CodeInvalidArgument},
			"a declaration that does not compile": {func() error {
				_, err := s.OperatorClient(s.Daemons()[0], s.Client).Apply(t.Context(), connect.NewRequest(&schema.ApplyRequest{Declaration: &schema.Declaration{}, Author: "a", Reason: "r"}))
				return err
			}, connect.CodeInvalidArgument},
		}
		for name, row := range rows {
			if got := connect.CodeOf(row.call()); got != row.want {
				t.Errorf("%s: code got %s, want %s", name, got, row.want)
			}
		}
	})
}
