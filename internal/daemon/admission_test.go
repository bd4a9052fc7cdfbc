package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/codec"
	"gingertally/internal/config"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/operator"
)

// admissionDaemon is a controller with or without admission control, which isn't running.
func admissionDaemon(t *testing.T, on bool) *Daemon {
	t.Helper()
	settings := operator.Default()
	settings.Admission.Enabled = on
	d, err := New(testSettings("n-1", []config.Peer{{Member: "n-2", Zone: "a", Addr: "127.0.0.1:1"}}, config.Endpoints{Cloud: "127.0.0.1:1", State: "127.0.0.1:1"}), settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.peers.Close)
	return d
}

// A node takes the leader's policy and answers with what it has counted since the last time;
// an older policy changes nothing. Its status says what it applies, and why.
func TestExchange(t *testing.T) {
	d := admissionDaemon(t, true)
	key := admission.Key{Team: "t", Class: "c", Priority: pipeline.Normal}
	exchange := func(p admission.Policy) admission.Batch {
		status, body := d.servePeer(t.Context(), "n-2", http.MethodPost, admissionPath, codec.MustMarshal(p))
		var batch admission.Batch
		if err := codec.Unmarshal(body, &batch); status != http.StatusOK || err != nil {
			t.Fatalf("status %d, %v", status, err)
		}
		return batch
	}
	newest := admission.Policy{Term: 3, Number: 7, Reason: admission.Backlog, Interval: time.Second, Shares: []admission.Share{{Key: key, Fraction: 0.0005, Due: 0.25}}}
	exchange(newest)
	refused := 0
	for i := range 50 {
		if !d.admission.Decide(&pipeline.Spec{Ref: fmt.Sprint("j-", i), Team: "t", Class: "c", Priority: pipeline.Normal, Tasks: 1, CPUs: 1}).Admitted {
			refused++
		}
	}
	older := newest
	older.Term, older.Number, older.Shares = 2, 9, nil
	batch := exchange(older)
	// The counts once lost the class on their way, since two fields had one name.
	if refused < 45 || len(batch.Counts) != 1 || batch.Counts[0].Key != key || batch.Counts[0].Refused != refused || batch.Counts[0].Offered != 50 {
		t.Fatalf("%d refused, counted %+v", refused, batch)
	}
	if again := exchange(newest); len(again.Counts) != 0 {
		t.Fatalf("counted twice: %+v", again)
	}
	s := d.status(time.Now()).Admission
	if s == nil || s.Term != 3 || s.Number != 7 || s.Reason != "backlog" || s.Fallback || len(s.Classes) != 1 {
		t.Fatalf("%+v", s)
	}
	if c := s.Classes[0]; c.Due != 0.25 || c.Offered != 50 || c.Refused != refused {
		t.Fatalf("%+v", c)
	}
}

// A node without admission control tells the leader so, admits everything, and shows nothing.
func TestExchangeWithoutAdmission(t *testing.T) {
	d := admissionDaemon(t, false)
	status, _ := d.servePeer(t.Context(), "n-2", http.MethodPost, admissionPath, codec.MustMarshal(admission.Policy{Term: 1}))
	if status != http.StatusNotFound || d.users.Admission != nil || d.status(time.Now()).Admission != nil {
		t.Fatalf("status %d", status)
	}
}

// A policy with more classes than a value has room for is stored without those that it
// refuses least.
func TestPolicyFitsItsValue(t *testing.T) {
	d := admissionDaemon(t, true)
	s := &leaderSession{daemon: d}
	p := admission.Policy{Term: 1, Number: 1, Reason: admission.Backlog}
	for i := range 200 {
		p.Shares = append(p.Shares, admission.Share{Key: admission.Key{Team: "t", Class: fmt.Sprintf("class-%03d", i)}, Fraction: float64(i+1) / 200})
	}
	fits := s.fitting(p)
	size, err := codec.JSONSize(codec.MustMarshal(fits))
	if err != nil || size > d.coreConfig.MaxValueBytes || len(fits.Shares) < 20 {
		t.Fatalf("%d bytes with %d shares, %v", size, len(fits.Shares), err)
	}
	for _, share := range fits.Shares {
		if share.Fraction > float64(len(fits.Shares)+1)/200 {
			t.Fatalf("%+v is kept", share)
		}
	}
}

// A refusal of another node keeps its time to come back, although answers between nodes have
// no header.
func TestForwardedRetryAfter(t *testing.T) {
	body := codec.MustMarshal(map[string]any{"error": "overloaded: backlog", "retry_after_s": 7.0})
	if got := forwardedRetryAfter(peerAnswer{status: 429, body: body}); got != 7*time.Second {
		t.Errorf("%s", got)
	}
	if got := forwardedRetryAfter(peerAnswer{status: 200, body: body}); got != 0 {
		t.Errorf("%s for an answer that is no refusal", got)
	}
}
