// Command standin simulates the users' platform for tests and demonstrations: table service, membership list, workers and
// minions.
package main

import (
	"log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/greengagewing/greengagewing/internal/standin"
)

type options struct {
	Presets        []string      `long:"preset" env:"STANDIN_PRESETS" env-delim:"," choice:"textos" choice:"eierabo" default:"textos" default:"eierabo" description:"users to play; may be repeated"`
	Minions        int           `long:"minions" env:"STANDIN_MINIONS" default:"-1" default-mask:"as in the preset" description:"minions per preset"`
	Workers        int           `long:"workers" env:"STANDIN_WORKERS" default:"-1" default-mask:"as in the preset" description:"workers per preset"`
	TablePort      int           `long:"table-port" env:"STANDIN_TABLE_PORT" default:"7000" description:"port of the table service"`
	ControlPort    int           `long:"control-port" env:"STANDIN_CONTROL_PORT" default:"7001" description:"port of the membership list, the faults and the audit"`
	MinionBasePort int           `long:"minion-base-port" env:"STANDIN_MINION_BASE_PORT" default:"7100" description:"port of the first minion; the others follow"`
	WorkerBasePort int           `long:"worker-base-port" env:"STANDIN_WORKER_BASE_PORT" default:"7300" description:"port of the first worker; the others follow"`
	Lag            time.Duration `long:"lag" env:"STANDIN_LAG" default:"2s" description:"lag of the membership list"`
	CompareEpochs  bool          `long:"compare-epochs" env:"STANDIN_COMPARE_EPOCHS" description:"workers refuse commands of older epochs"`
	Clock          bool          `long:"clock" env:"STANDIN_CLOCK" description:"workers have a clock and obey not_after_ms"`
	UsageRatio     float64       `long:"usage-ratio" env:"STANDIN_USAGE_RATIO" default:"1" description:"real usage of a task relative to its declared size"`
	UsageLag       time.Duration `long:"usage-lag" env:"STANDIN_USAGE_LAG" default:"2s" description:"age of a task at which its usage first appears in reports"`
}

func (o options) config() standin.Config {
	cfg := standin.Config{
		TablePort: o.TablePort, ControlPort: o.ControlPort,
		MinionBasePort: o.MinionBasePort, WorkerBasePort: o.WorkerBasePort,
		Lag: o.Lag, CompareEpochs: o.CompareEpochs, Clock: o.Clock, UsageRatio: o.UsageRatio, UsageLag: o.UsageLag,
	}
	for _, name := range o.Presets {
		c := standin.Textos()
		if name == "eierabo" {
			c = standin.Eierabo()
		}
		if o.Minions >= 0 {
			c.Minions = o.Minions
		}
		if o.Workers >= 0 {
			c.Workers = o.Workers
		}
		cfg.Cells = append(cfg.Cells, c)
	}
	return cfg
}

func main() {
	var o options
	parser := flags.NewParser(&o, flags.Default)
	parser.LongDescription = "Plays the platform on 127.0.0.1.\n\n" + standin.FaultsHelp
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	platform, err := standin.Start(o.config())
	if err != nil {
		log.Fatal(err)
	}
	log.Printf("table service on %s, control on %s", platform.TableAddr(), platform.ControlAddr())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	platform.Close()
}
