package standin

import (
	"fmt"
	"os"
	"time"
)

// LotsAlmaty returns options like the site dala-lots-almaty: three controllers, and some of its machines.
func LotsAlmaty() Options {
	return Options{
		Binary: "target/gingertally", Controllers: 3, Zones: []string{"astana-yard", "almaty-yard"},
		Report: 3 * time.Second, Lease: 45 * time.Second, Cancel: 65 * time.Second, GangWaitS: 35, GangPeerS: 4,
		State: StateLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 32}, Latency: 5 * time.Millisecond,
		CloudRPS: 6, ListLagS: 4, CPUShare: 0.144, MemoryMB: 234, MaxSockets: 3500, SkewMS: 25,
		Teams: []map[string]any{{"name": "valuers", "cpus": 0.0, "cpus_max": 0.0, "gpus": 24.0, "gpus_max": 88.0}},
		Objectives: []map[string]any{
			{"kind": "finished", "class": "photo-score", "within_s": 100.0, "share": 0.75},
		},
		Types: []MachineType{
			{Label: "baler-32", VCPUs: 32, MemGB: 128, LocalGB: 50, PullGBPerS: 0.15, Hourly: 2.09, SpotPrice: 0.79, ReadyS: 30,
				Yards: []string{"astana-yard", "almaty-yard"}},
			{Label: "harrow-24g", VCPUs: 24, Cards: 2, MemGB: 96, LocalGB: 90, PullGBPerS: 0.12, Hourly: 5.8, SpotPrice: 2.01,
				ReadyS: 45, Yards: []string{"astana-yard", "almaty-yard"}},
		},
		Machines: []Machines{{"harrow-24g", "astana-yard", 3}, {"harrow-24g", "almaty-yard", 2}, {"baler-32", "astana-yard", 1}},
	}
}

// Trouble reports whether the case is run with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Exit prints a verdict, writes it to the record and returns the exit code.
func Exit(record *Record, code int, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	record.Printf("verdict: %s", text)
	fmt.Println(text)
	return code
}

// LivestockMart returns options like the site steppe-livestock-mart, with a few of its machines.
func LivestockMart() Options {
	zones := []string{"shymkent-mart", "semey-mart", "aktobe-mart"}
	return Options{
		Binary: "target/gingertally", Controllers: 3, Zones: zones,
		Report: 1500 * time.Millisecond, Lease: 12 * time.Second, Cancel: 37 * time.Second, GangWaitS: 45, GangPeerS: 8,
		State: StateLimits{RPS: 200, WriteRPS: 80, ValueKB: 32, TxnOps: 16}, Latency: 6 * time.Millisecond,
		CloudRPS: 2, ListLagS: 6, CPUShare: 0.096, MemoryMB: 98, MaxSockets: 800, SkewMS: 100,
		Teams: []map[string]any{
			{"name": "pen-assessors", "cpus": 3500.0, "cpus_max": 15000.0, "gpus": 200.0, "gpus_max": 600.0},
		},
		Objectives: []map[string]any{
			{"kind": "finished", "class": "weight-ticket-read", "within_s": 100.0, "share": 0.88},
		},
		Types: []MachineType{
			{Label: "yurt-64", VCPUs: 64, MemGB: 256, LocalGB: 25, PullGBPerS: 0.3, Hourly: 4.44, SpotPrice: 1.46, ReadyS: 25,
				Yards: zones},
		},
		Machines: []Machines{{"yurt-64", zones[0], 2}, {"yurt-64", zones[1], 2}, {"yurt-64", zones[2], 2}},
	}
}

// WeightTicketRead returns a submission of the class weight-ticket-read.
func WeightTicketRead(ref string, lots int, guess float64) map[string]any {
	return map[string]any{
		"ref": ref, "lot_kind": "weight-ticket-read", "owner": "pen-assessors", "shape": "sweep", "urgency": "normal",
		"lots": lots, "vcpus": 4.0, "cards": 0.0, "mem_gb": 9.5, "kit": "img-01", "pull_gb": 0.3, "builds": nil, "yard": nil,
		"one_zone": false, "apart": false, "loaners": true, "guess_s": guess, "mark_s": 0.0, "stash_s": 0.0, "due_s": nil,
	}
}

// WeightTicketInfo returns what workers know of such a job, whose tasks run for a time.
func WeightTicketInfo(run time.Duration) JobInfo {
	return JobInfo{Run: run, CPUs: 4, MemGB: 9.5, Image: "img-01", Fetch: time.Second}
}
