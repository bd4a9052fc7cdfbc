package overload

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/codec"
	"gingertally/internal/config"
	"gingertally/internal/controller/limits"
	"gingertally/internal/controller/metrics"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/operator"
)

// testNode returns a Node with one team, whose loops aren't running.
func testNode() *Node {
	settings := &config.Settings{Peers: []config.Peer{{Member: "n-2", Zone: "a", Addr: "127.0.0.1:1"}}}
	settings.Deployment.State = config.StateLimits{RPS: 500, WriteRPS: 200, ValueKB: 4, TxnOps: 12}
	return New(Options{
		Settings: operator.Default().Admission,
		Teams:    []string{"t"},
		Quotas:   map[string]placement.Quota{"t": {}},
		Limits:   limits.New(settings),
		Metrics:  metrics.New().Admission,
	})
}

// A controller applies the leader's policy and answers with its counts since the last exchange; an
// older policy changes nothing. The status shows the policy and the reason for it. Guards against
// counts that are lost, reported twice or reported under another key.
func TestExchange(t *testing.T) {
	n := testNode()
	key := admission.Key{Team: "t", Class: "c", Priority: pipeline.Normal}
	exchange := func(p admission.Policy) admission.Batch {
		response := n.ServeExchange(codec.MustMarshal(p))
		var batch admission.Batch
		if err := codec.Unmarshal(response.Body, &batch); response.Status != http.StatusOK || err != nil {
			t.Fatalf("exchange: status %d, %v", response.Status, err)
		}
		return batch
	}
	newest := admission.Policy{
		Term:     3,
		Number:   7,
		Reason:   admission.Backlog,
		Interval: time.Second,
		Shares:   []admission.Share{{Key: key, Fraction: 0.0005, FairShare: 0.25}},
	}
	exchange(newest)
	refused := 0
	for i := range 50 {
		if !n.Decide(&pipeline.Spec{
			Ref:      fmt.Sprint("j-", i),
			Team:     "t",
			Class:    "c",
			Priority: pipeline.Normal,
			Tasks:    1,
			CPUs:     1,
		}).Admitted {
			refused++
		}
	}
	older := newest
	older.Term, older.Number, older.Shares = 2, 9, nil
	batch := exchange(older)
	// The class was once lost in encoding because two fields of the count had the same name.
	if refused < 45 || len(batch.Counts) != 1 || batch.Counts[0].Key != key ||
		batch.Counts[0].Refused != refused || batch.Counts[0].Offered != 50 {
		t.Fatalf("%d jobs refused, but the counts are %+v", refused, batch)
	}
	if again := exchange(newest); len(again.Counts) != 0 {
		t.Fatalf("counts reported twice: %+v", again)
	}
	s := n.Status(time.Now())
	if s == nil || s.Term != 3 || s.Number != 7 || s.Reason != "backlog" || s.Fallback || len(s.Classes) != 1 {
		t.Fatalf("status: %+v", s)
	}
	if c := s.Classes[0]; c.Due != 0.25 || c.Offered != 50 || c.Refused != refused {
		t.Fatalf("status of the class: %+v", c)
	}
}

// If a policy is too large for a value of the state service, the shares with the largest fractions are
// removed: those of the classes that it refuses least. Guards against policies that can't be stored.
func TestPolicyFitsItsValue(t *testing.T) {
	n := testNode()
	p := admission.Policy{Term: 1, Number: 1, Reason: admission.Backlog}
	for i := range 200 {
		p.Shares = append(p.Shares, admission.Share{
			Key:      admission.Key{Team: "t", Class: fmt.Sprintf("class-%03d", i)},
			Fraction: float64(i+1) / 200,
		})
	}
	fits := n.truncateToFit(p)
	size, err := codec.JSONSize(codec.MustMarshal(fits))
	if err != nil || size > n.options.Limits.MaxValueBytes() || len(fits.Shares) < 20 {
		t.Fatalf("the truncated policy has %d bytes and %d shares, %v", size, len(fits.Shares), err)
	}
	for _, share := range fits.Shares {
		if share.Fraction > float64(len(fits.Shares)+1)/200 {
			t.Fatalf("%+v is kept instead of a smaller fraction", share)
		}
	}
}
