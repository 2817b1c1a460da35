package delegate

import (
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/wire"
)

const (
	// maxCheckpointBytes is the maximum size of a checkpoint, as encoded. A start has to carry it with the text of the task.
	maxCheckpointBytes = 64 << 10
	// maxEscape is how many times as many bytes a text may take in JSON.
	maxEscape = 6
)

// limitCheckpoints removes the checkpoints of a worker's answer that are too large for a message, and those that do not fit into the
// answer's event together with the others, and logs that. The tasks resume from earlier checkpoints.
func (r *leaseRenewer) limitCheckpoints(answer *RenewalAnswer) {
	var checkpoints []*string // those of ended runs first: active ones are listed again
	total := 0
	for i := range answer.Ended {
		checkpoints = append(checkpoints, &answer.Ended[i].Checkpoint)
	}
	for i := range answer.Active {
		checkpoints = append(checkpoints, &answer.Active[i].Checkpoint)
	}
	for _, c := range checkpoints {
		total += len(*c)
	}
	if total*maxEscape <= maxCheckpointBytes {
		return
	}
	left, dropped, largest := wire.MaxBatchBytes, 0, 0
	for _, c := range checkpoints {
		size := wire.Size(*c)
		if size > maxCheckpointBytes || size > left {
			*c, dropped, largest = "", dropped+1, max(largest, size)
			continue
		}
		left -= size
	}
	if dropped > 0 {
		r.a.log.Warn("checkpoints are too large to be passed on", zap.String("worker", r.id), zap.Int("checkpoints", dropped), zap.Int("largest_bytes", largest))
	}
}
