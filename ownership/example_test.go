package ownership_test

import (
	"context"
	"fmt"

	"github.com/greengagewing/greengagewing/ownership"
	"github.com/greengagewing/greengagewing/session"
	"github.com/greengagewing/greengagewing/table"
)

// guardRecorder is a Handler that reports the guard of each partition that it starts.
type guardRecorder struct{ started chan ownership.Guard }

func (h *guardRecorder) Start(_ context.Context, g ownership.Guard) error {
	h.started <- g
	return nil
}

func (h *guardRecorder) Stop(_ context.Context, partition string, handover bool) {
	fmt.Println("stop", partition, "handover:", handover)
}

// A daemon registers its partitions, runs the manager, and drains before it exits.
func Example() {
	store := table.NewMemory()
	cfg := session.Config{ID: "10.0.0.1:7070", PeerAddr: "10.0.0.1:7070", FailureDomain: "zone-1"}
	observer := session.NewObserver(cfg, store, nil, nil)
	keeper := session.NewKeeper(cfg, store, nil, observer.Live)
	manager := ownership.New(ownership.Config{}, store, keeper, observer)
	handler := &guardRecorder{started: make(chan ownership.Guard, 1)}
	manager.Register("pool/", []string{"pool/textos/0"}, handler)

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	for _, run := range []func(context.Context){keeper.Run, observer.Run, manager.Run} {
		go func() { run(ctx); done <- struct{}{} }()
	}
	guard := <-handler.started
	fmt.Println(guard.Partition(), "epoch:", guard.Epoch(), "check:", guard.Check())
	owner, known := manager.OwnerOf("pool/textos/0")
	fmt.Println("self:", owner.Self, "known:", known)

	_ = manager.Drain(ctx)
	fmt.Println("check:", guard.Check())
	_ = keeper.Close(ctx)
	cancel()
	for range 3 {
		<-done
	}
	// Output:
	// pool/textos/0 epoch: 1 check: <nil>
	// self: true known: true
	// stop pool/textos/0 handover: true
	// check: ownership: not the owner of the partition
}
