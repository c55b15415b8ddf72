package classifier_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
)

// TestErrorPageListsEachKind guards against a kind whose response in docs/ERRORS.md
// differs from the code or is missing there.
func TestErrorPageListsEachKind(t *testing.T) {
	page, err := os.ReadFile("../../docs/ERRORS.md")
	if err != nil {
		t.Fatalf("read page: %v", err)
	}
	rows := 0
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `") {
			rows++
		}
	}
	kinds := classifier.Kinds()
	if rows != len(kinds) {
		t.Errorf("rows of docs/ERRORS.md got %d, want %d", rows, len(kinds))
	}
	for kind, response := range kinds {
		want := fmt.Sprintf("| `%s` | %d | %s | %s | %t | %s |", kind, response.Status, response.Code, response.Execution, response.Retryable, response.Help)
		if !strings.Contains(string(page), want) {
			t.Errorf("docs/ERRORS.md got no row for the kind, want %s", want)
		}
	}
}

// TestEveryKindHasACompleteResponse guards against a new kind without an HTTP
// status, a Connect code, an execution status or a help text.
func TestEveryKindHasACompleteResponse(t *testing.T) {
	for kind, response := range classifier.Kinds() {
		if response.Status < 400 || response.Code == 0 || response.Execution == "" || response.Help == "" {
			t.Errorf("response of %s got %+v, want a status, a code, execution and help", kind, response)
		}
	}
}
