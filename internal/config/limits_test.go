package config

import (
	"strings"
	"testing"
)

// A controller that waited for the next limits of the state service would exceed them, because nothing
// says when they take effect: the lower one of each present and next limit holds from the start. Any next
// limit may be missing; one that is too low is refused by name.
func TestLowestLimits(t *testing.T) {
	for _, c := range []struct {
		next, refused string
		want          StateLimits
	}{
		{`null`, "", StateLimits{RPS: 60, WriteRPS: 20, ValueKB: 4, TxnOps: 12}},
		{`{}`, "", StateLimits{RPS: 60, WriteRPS: 20, ValueKB: 4, TxnOps: 12}},
		{`{"value_kb": 1, "txn_ops": 2, "write_rps": 1, "new": 5}`, "", StateLimits{RPS: 60, WriteRPS: 1, ValueKB: 1, TxnOps: 2}},
		{`{"value_kb": 16, "txn_ops": 32, "write_rps": 15, "rps": 50}`, "", StateLimits{RPS: 50, WriteRPS: 15, ValueKB: 4, TxnOps: 12}},
		{`{"value_kb": 0.5}`, "settings.state.next.value_kb", StateLimits{}},
		{`{"txn_ops": 1}`, "settings.state.next.txn_ops", StateLimits{}},
		{`{"write_rps": 0}`, "settings.state.next.write_rps", StateLimits{}},
	} {
		text := strings.Replace(validSettings, `"txn_ops":12`, `"txn_ops":12,"next":`+c.next, 1)
		s, err := parse("settings.json", []byte(text))
		switch {
		case c.refused != "":
			if err == nil || !strings.Contains(err.Error(), c.refused) {
				t.Errorf("%s: error %v, want one that names %s", c.next, err, c.refused)
			}
		case err != nil:
			t.Errorf("%s: %v", c.next, err)
		case s.Deployment.State.Lowest() != c.want:
			t.Errorf("%s: lowest limits %+v, want %+v", c.next, s.Deployment.State.Lowest(), c.want)
		}
	}
}
