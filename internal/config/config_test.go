package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// validSettings are settings that parse accepts.
const validSettings = `{"member":"n-0","zone":"a","client_listen":"127.0.0.1:1","peer_listen":"127.0.0.1:2","colour":"red",
"peers":[{"member":"n-1","zone":"b","addr":"127.0.0.1:3"}],"endpoints":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
"settings":{"zones":["a","b"],"teams":[{"name":"t","cpus":0,"cpus_max":8}],"objectives":[{"kind":"new","class":"x"}],
"workers":{"report_s":3,"lease_s":30,"gang_wait_s":30,"gang_peer_s":4,"cancel_s":60},
"state":{"rps":60,"write_rps":20,"value_kb":4,"txn_ops":12},"cloud":{"rps":2,"list_lag_s":10},
"resources":{"cpu_share":0.1,"memory_mb":98,"max_sockets":800},"skew_ms":100}}`

// A missing or invalid setting is refused by an error of one line that names it. A controller that
// accepted it would fail later or exceed its limits. Each row changes one of the valid settings, which
// contain an unknown field and an unknown kind of objective: both must be accepted.
func TestParse(t *testing.T) {
	if _, err := parse("settings.json", []byte(validSettings)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, field string }{
		{`"member":"n-0"`, `"member":""`, "member"},
		{`"zone":"a","client`, `"client`, "zone"},
		{`"client_listen":"127.0.0.1:1"`, `"client_listen":"here"`, "client_listen"},
		{`"member":"n-1"`, `"member":"n-0"`, "peers[0].member"},
		{`"state":"127.0.0.1:5"`, `"state":7`, "endpoints.state"},
		{`"zones":["a","b"]`, `"zones":[]`, "settings.zones"},
		{`"name":"t"`, `"name":""`, "settings.teams[0].name"},
		{`"cpus_max":8`, `"cpus_max":-8`, "settings.teams[0].cpus_max"},
		{`"report_s":3`, `"report_s":0`, "settings.workers.report_s"},
		{`"lease_s":30`, `"lease_s":"long"`, "settings.workers.lease_s"},
		{`"txn_ops":12`, `"txn_ops":1`, "settings.state.txn_ops"},
		{`"memory_mb":98,`, ``, "settings.resources.memory_mb"},
		{`"skew_ms":100`, `"skew_ms":-1`, "settings.skew_ms"},
	} {
		changed := strings.Replace(validSettings, c.old, c.new, 1)
		if changed == validSettings {
			t.Fatalf("%s is not in validSettings", c.old)
		}
		_, err := parse("settings.json", []byte(changed))
		var fieldErr *FieldError
		if !errors.As(err, &fieldErr) || fieldErr.Field != c.field {
			t.Errorf("%s: error %v, want a FieldError of this field", c.field, err)
			continue
		}
		if !strings.Contains(err.Error(), c.field+":") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line that names the field", c.field, err)
		}
	}
	if _, err := parse("settings.json", []byte("{")); err == nil {
		t.Error("a truncated file is accepted")
	}
}

// An error gives the file and the line of the field or of the malformed JSON, so that operators find the
// place. A missing field has no line; one that is set twice has the last one, whose value counts.
func TestErrorNamesFileAndLine(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"value out of bounds", `"lease_s":30`, `"lease_s":0`, ":4: settings.workers.lease_s: missing or not above 0"},
		{"value in a list", `"cpus_max":8`, `"cpus_max":-8`, ":3: settings.teams[0].cpus_max: missing or below 0"},
		{"another type", `"memory_mb":98`, `"memory_mb":"98"`, ":6: settings.resources.memory_mb: expected float64, found string"},
		{"no JSON", `"cpu_share":`, `"cpu_share"`, ":6: not valid JSON: invalid character '0' after object key"},
		{"field set twice", `"skew_ms":100`, `"skew_ms":100,"skew_ms":-1`, ":6: settings.skew_ms: missing or below 0"},
		{"missing field", `"memory_mb":98,`, ``, ": settings.resources.memory_mb: missing or not above 0"},
	} {
		changed := strings.Replace(validSettings, c.old, c.new, 1)
		if changed == validSettings {
			t.Fatalf("%s is not in validSettings", c.old)
		}
		path := filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(path); err == nil || err.Error() != path+c.want {
			t.Errorf("%s: %v, want %s", c.name, err, path+c.want)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: error %v, want os.ErrNotExist", err)
	}
}
