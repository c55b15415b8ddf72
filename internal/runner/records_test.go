package runner

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalgrade.example/quetzalgrade/internal/quarantiner"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// TestRequestRecord guards against a record of a request from which another daemon learns other
// crashes, trials or ages, or facts about other requests.
func TestRequestRecord(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	history := quarantiner.History{
		Digest:      0x90de,
		Quarantined: true,
		Crashes:     []quarantiner.Crash{{Part: 0x90de, Whole: true, Known: true, Endpoint: "e1@a", At: now.Add(-time.Minute)}},
		Trials:      map[string]time.Time{"entry-1": now.Add(-time.Second)},
	}
	value, err := encodeRequestRecord(history, now)
	if err != nil {
		t.Fatalf("encodeRequestRecord() got error %v, want nil", err)
	}
	digest, facts, err := decodeRequestRecord("90de", value)
	if err != nil || digest != history.Digest || len(facts) != 2 {
		t.Fatalf("decodeRequestRecord() got digest %x, %d facts and error %v, want 90de, 2 and nil", digest, len(facts), err)
	}
	crash, trial := facts[0], facts[1]
	if got := crash.GetCrash(); got.GetPart() != history.Digest || !got.GetWhole() || got.GetEndpoint() != "e1@a" {
		t.Errorf("crash got %v, want that of e1@a", got)
	}
	if got := trial.GetTrial(); got.GetRequest() != history.Digest || got.GetDaemon() != "entry-1" {
		t.Errorf("trial got %v, want that of entry-1", got)
	}
	if got := crash.GetAge().AsDuration(); got != time.Minute {
		t.Errorf("age of the crash got %v, want 1m", got)
	}
	if got := crash.GetLifetime().AsDuration(); got != quarantiner.RequestLifetime {
		t.Errorf("lifetime of the crash got %v, want %v", got, quarantiner.RequestLifetime)
	}
}

// TestInvalidRequestRecord guards against a record of another writer that stops a daemon, or has it
// believe something about another request or a part of a prompt.
func TestInvalidRequestRecord(t *testing.T) {
	encode := func(facts ...*schema.Fact) []byte {
		data, err := proto.Marshal(&schema.Rumours{Facts: facts})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	rows := map[string]struct {
		key     string
		value   []byte
		wantErr bool
	}{
		"key is no digest":  {"zone", encode(), true},
		"value is no facts": {"90de", []byte("\xff\xff"), true},
		"no value":          {"90de", nil, false},
		"other request":     {"90de", encode(&schema.Fact{About: &schema.Fact_Crash{Crash: &schema.PartCrash{Part: 1, Whole: true}}}), false},
		"part of a prompt":  {"90de", encode(&schema.Fact{About: &schema.Fact_Crash{Crash: &schema.PartCrash{Part: 0x90de}}}), false},
		"other fact":        {"90de", encode(&schema.Fact{About: &schema.Fact_Limit{Limit: &schema.EndpointLimit{Endpoint: "e1"}}}), false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			_, facts, err := decodeRequestRecord(row.key, row.value)
			if (err != nil) != row.wantErr || len(facts) > 0 {
				t.Errorf("decodeRequestRecord() got %d facts and error %v, want none and an error: %v", len(facts), err, row.wantErr)
			}
		})
	}
}
