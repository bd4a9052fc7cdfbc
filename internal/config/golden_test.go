package config

import (
	"encoding/json"
	"testing"

	"gingertally/internal/goldentest"
)

// Guards against renamed settings: a controller would ignore a value under the old name, or refuse the
// file because the new name is missing.
func TestSettingsGolden(t *testing.T) {
	text, err := json.MarshalIndent(goldentest.Filled[Settings](), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	var lines goldentest.Lines
	lines.Add("%s", text)
	lines.Check(t, "settings.txt")
}
