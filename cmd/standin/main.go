// Command standin plays the platform for tests and demonstrations.
package main

import (
	"fmt"
	"log"
	"net"
	"net/http"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/greengagewing/greengagewing/internal/standin"
	"github.com/greengagewing/greengagewing/table"
)

type options struct {
	TableAddr  string `long:"table-addr" env:"STANDIN_TABLE_ADDR" default:"127.0.0.1:7000" description:"IP:port of the table service"`
	MinionAddr string `long:"minion-addr" env:"STANDIN_MINION_ADDR" default:"127.0.0.1:7100" description:"IP:port of the minion"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	l, err := net.Listen("tcp", o.MinionAddr)
	if err != nil {
		log.Fatal(err)
	}
	go func() { log.Fatal(http.Serve(l, standin.NewMinion("m1", 8))) }()
	mux := http.NewServeMux()
	mux.Handle("/", table.Handler(table.NewMemory()))
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"hosts":[{"id":"m1","addr":%q,"kind":"minion","service_or_pool":"textos","state":"live"}]}`, o.MinionAddr)
	})
	log.Fatal(http.ListenAndServe(o.TableAddr, mux))
}
