package settings_test

import (
	"os"
	"strings"
	"testing"

	"heatherrelay/internal/settings"
)

func TestTheOperatorsPageListsEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATORS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), settings.Markdown()) {
		t.Errorf("docs/OPERATORS.md lacks the table of settings as it is now:\n%s", settings.Markdown())
	}
}
