package session_test

import (
	"context"
	"fmt"
	"time"

	"github.com/greengagewing/greengagewing/session"
	"github.com/greengagewing/greengagewing/table"
)

// A daemon maintains its session while Run runs and may act as long as Valid returns true.
func Example() {
	store := table.NewMemory()
	cfg := session.Config{ID: "10.0.0.1:7070", PeerAddr: "10.0.0.1:7070", FailureDomain: "zone-1"}
	observer := session.NewObserver(cfg, store, nil, nil)
	keeper := session.NewKeeper(cfg, store, nil, observer.Live)

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	joined := keeper.Changed()
	go func() { keeper.Run(ctx); close(done) }()
	<-joined
	fmt.Println("valid:", keeper.Valid(), "incarnation:", keeper.Incarnation())
	fmt.Println("at most:", time.Until(keeper.Deadline()) <= session.DefaultTTL-session.DefaultMargin)

	_ = keeper.Close(ctx)
	fmt.Println("valid:", keeper.Valid())
	cancel()
	<-done
	// Output:
	// valid: true incarnation: 1
	// at most: true
	// valid: false
}
