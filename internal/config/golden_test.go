package config

import (
	"encoding/json"
	"testing"

	"gingertally/internal/goldentest"
)

// The names of the platform's settings.
func TestSettingsGolden(t *testing.T) {
	text, err := json.MarshalIndent(goldentest.Filled[Settings](), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	var lines goldentest.Lines
	lines.Add("%s", text)
	lines.Check(t, "settings.txt")
}
