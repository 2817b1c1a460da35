package versionedlist_test

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/greengagewing/greengagewing/table"
	"github.com/greengagewing/greengagewing/versionedlist"
)

func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	client := table.NewMemory()
	editor := versionedlist.NewEditor(client, "plans", versionedlist.EditorConfig{})
	follower := versionedlist.NewFollower(client, "plans", versionedlist.FollowerConfig{})
	stopped := make(chan struct{})
	go func() { defer close(stopped); _ = follower.Run(ctx) }()

	first := versionedlist.Edit{
		Base: 0, Author: "ana", ID: "edit-1", Set: map[string]json.RawMessage{"aarwil": json.RawMessage(`"gold"`)},
	}
	change, err := editor.Edit(ctx, first)
	fmt.Println(change.Version, err)
	follower.Publish(change)
	plan, _ := follower.Snapshot().Get("aarwil")
	fmt.Println(string(plan))

	_, err = editor.Edit(ctx, versionedlist.Edit{Base: 0, Author: "ben", ID: "edit-2", Set: first.Set})
	fmt.Println(err)
	cancel()
	<-stopped
	// Output:
	// 1 <nil>
	// "gold"
	// versionedlist: list "plans" is at version 1, edited by "ana"
}
