package placement

import "gingertally/internal/core/pipeline"

// Quota holds a team's guarantee and limit. A limit of 0 means no limit.
type Quota struct{ GuaranteedCPUs, GuaranteedGPUs, CPULimit, GPULimit float64 }

// Within reports whether an amount of resources is within the team's limits.
func (t Quota) Within(cpus, gpus float64) bool {
	return (t.CPULimit == 0 || cpus <= t.CPULimit+epsilon) && (t.GPULimit == 0 || gpus <= t.GPULimit+epsilon)
}

// quotaHeadroom returns how many more tasks of the job its team's limit allows.
func (b *Board) quotaHeadroom(j *pipeline.Job) int {
	t, u := b.Cluster.Quota(j.Team), b.Cluster.Usage(j.Team)
	n := maxPerMachine * 1000
	if t.CPULimit > 0 && j.CPUs > 0 {
		n = min(n, int((t.CPULimit-u.CPUs+epsilon)/j.CPUs))
	}
	if t.GPULimit > 0 && j.GPUs > 0 {
		n = min(n, int((t.GPULimit-u.GPUs+epsilon)/j.GPUs))
	}
	return max(n, 0)
}
