package controller

import (
	"net/http"
	"testing"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/codec"
	"gingertally/internal/config"
	"gingertally/internal/controller/overload"
	"gingertally/internal/operator"
	"gingertally/internal/peer"
)

// admissionController returns a controller with or without admission control. It isn't running.
func admissionController(t *testing.T, on bool) *Controller {
	t.Helper()
	settings := operator.Default()
	settings.Admission.Enabled = on
	c, err := New(
		testSettings(
			"n-1", []config.Peer{{Member: "n-2", Zone: "a", Addr: "127.0.0.1:1"}},
			config.Endpoints{Cloud: "127.0.0.1:1", State: "127.0.0.1:1"},
		),
		settings,
	)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.peers.Close)
	return c
}

// exchange sends a controller the leader's policy, and returns the response.
func exchange(t *testing.T, c *Controller, policy admission.Policy) peer.Response {
	t.Helper()
	return c.servePeer(t.Context(), peer.Request{
		Method: http.MethodPost,
		Path:   overload.ExchangePath,
		Body:   codec.MustMarshal(policy),
	})
}

// The leader's policy must reach the gate that decides about users' submissions, and the status that
// operators see.
func TestExchangeWithAdmission(t *testing.T) {
	c := admissionController(t, true)
	response := exchange(t, c, admission.Policy{Term: 3, Number: 7})
	var batch admission.Batch
	if err := codec.Unmarshal(response.Body, &batch); response.Status != http.StatusOK || err != nil {
		t.Fatalf("the exchange has status %d, and its body the error %v", response.Status, err)
	}
	if s := c.status(time.Now()).Admission; c.users.Users.Admission == nil || s == nil || s.Term != 3 || s.Number != 7 {
		t.Fatalf("the service for users has no gate, or the status shows another policy: %+v", s)
	}
}

// A controller without admission control must tell the leader so, admit everything, and show
// nothing in its status.
func TestExchangeWithoutAdmission(t *testing.T) {
	c := admissionController(t, false)
	response := exchange(t, c, admission.Policy{Term: 1})
	if response.Status != http.StatusNotFound || c.users.Users.Admission != nil ||
		c.status(time.Now()).Admission != nil {
		t.Fatalf("status %d", response.Status)
	}
}
