package settings_test

import (
	"os"
	"strings"
	"testing"

	"heatherrelay/internal/settings"
)

// TestOperatorsPageListsEverySetting checks that docs/OPERATORS.md contains the current
// reference.
func TestOperatorsPageListsEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATORS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), settings.Markdown()) {
		t.Errorf("docs/OPERATORS.md does not contain the current table of settings:\n%s", settings.Markdown())
	}
}
