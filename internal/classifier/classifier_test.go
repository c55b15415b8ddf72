package classifier_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
)

// TestThePageListsEachKind checks that docs/ERRORS.md agrees with the table.
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
		t.Errorf("rows of the page got %d, want %d", rows, len(kinds))
	}
	for kind, response := range kinds {
		want := fmt.Sprintf("| `%s` | %d | %s | %s | %t | %s |", kind, response.Status, response.Code, response.Execution, response.Retryable, response.Help)
		if !strings.Contains(string(page), want) {
			t.Errorf("the page lacks the row %s", want)
		}
	}
}

func TestEveryKindHasACompleteResponse(t *testing.T) {
	for kind, response := range classifier.Kinds() {
		if response.Status < 400 || response.Code == 0 || response.Execution == "" || response.Help == "" {
			t.Errorf("answer of %s got %+v, want a status, a code, ran and help", kind, response)
		}
	}
}
