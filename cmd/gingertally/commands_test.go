package main

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"gingertally/internal/client"
	"gingertally/internal/controller/operatorapi"
	"gingertally/internal/core"
	"gingertally/internal/drain"
	"gingertally/internal/goldentest"
	"gingertally/internal/recovery"
	"gingertally/internal/testserver"
)

// Scripts decide by the exit code whether to repeat a command (exitGaveUp), to give up
// (exitRefused), or to look for the job in another cluster (exitNotFound). So every kind of error
// must keep its code.
func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		err  error
		want int
	}{
		{errors.New("disk full"), exitFailed},
		{
			&client.CallError{Operation: "submit job j-1", Err: fmt.Errorf("%w (422): no team", client.ErrRefused)},
			exitRefused,
		},
		{&client.CallError{Operation: "pause drain plan p", Err: client.ErrConflict}, exitRefused},
		{&client.CallError{Operation: "get job j-1", Err: client.ErrNotFound}, exitNotFound},
		{
			&client.CallError{Operation: "get job j-1", Err: fmt.Errorf("%w: status 503", client.ErrGaveUp)},
			exitGaveUp,
		},
		{fmt.Errorf("j-1: %w", errJobCancelled), exitCancelled},
	} {
		if got := exitCode(c.err); got != c.want {
			t.Errorf("%v: exit code %d, want %d", c.err, got, c.want)
		}
	}
}

// An invalid plan is refused before any request is sent.
func TestDrainStartRefusesBadPlan(t *testing.T) {
	err := (&drainStartCmd{ID: "p", MaxAtOnce: 1}).Run() // selects no machines
	if exitCode(err) != exitRefused || !strings.Contains(err.Error(), "drain plan p") {
		t.Errorf("plan without machines: error %v", err)
	}
}

// serveStatus starts a server that answers every request with the given code and body, and returns the
// flag that names it.
func serveStatus(t *testing.T, code int, body string) serverFlag {
	t.Helper()
	return serverFlag{Server: testserver.Start(t, func(request *fasthttp.RequestCtx) {
		request.SetStatusCode(code)
		request.SetBodyString(body)
	})}
}

// A command that needs the leader's status ends with exitGaveUp if it can't get it, with exitFailed if it
// can't decode it. Either way the error names the controller that was asked.
func TestStatusErrors(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		want   int
	}{
		{"leader unknown", 200, `{}`, exitGaveUp},
		{"controller not ready", 503, ``, exitGaveUp},
		{"malformed JSON", 200, `?`, exitFailed},
	} {
		server := serveStatus(t, c.status, c.body)
		_, err := server.leaderStatus()
		if err == nil || exitCode(err) != c.want || !strings.Contains(err.Error(), server.Server) {
			t.Errorf("%s: %v, exit code %d, want %d", c.name, err, exitCode(err), c.want)
		}
	}
}

// Each text contains the rows that operators look for during an incident, and parts that are missing from
// a status don't make it panic.
func TestTexts(t *testing.T) {
	status := goldentest.Filled[operatorapi.Status]()
	team := status.Admission.Classes[0].Team
	drains := goldentest.Filled[drain.Status]()
	differences := goldentest.Filled[recovery.Status]()
	for _, c := range []struct{ name, text, want string }{
		{"status", statusText(status), "\nJOB\tCLASS\tTEAM\tWAITING\tFOR\tREASON\n" + status.Leading.Waiting[0].Ref},
		{"status without a leader", statusText(operatorapi.Status{}), "leader\tunknown\n"},
		{"leader unreachable", statusText(operatorapi.Status{}), "The leader can't be asked."},
		{"admission", admissionText(&status, ""), "\n" + team + "\t"},
		{"admission of a team", admissionText(&status, team), "\n" + team + "\t"},
		{"admission off", admissionText(&operatorapi.Status{}, ""), "admission control is off"},
		{"drains", drainText(&drains), "\n" + drains.Plans[0].Waiting[0].Name + "\t" + drains.Plans[0].ID},
		{"drains off", drainText((&core.Status{}).Drains), "drains are off"},
		{
			"differences", differencesText(7, &differences),
			"\nMACHINE\tSTATE\tLAST DIFFERENCE\n" + differences.Unsettled[0].Machine,
		},
	} {
		if !strings.Contains(c.text, c.want) {
			t.Errorf("%s: %q isn't in\n%s", c.name, c.want, c.text)
		}
	}
	if text := admissionText(&status, "another team"); strings.Contains(text, "\n"+team+"\t") {
		t.Errorf("admission of another team shows classes of %s:\n%s", team, text)
	}
}
