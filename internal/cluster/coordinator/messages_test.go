package coordinator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/wire"
	"github.com/greengagewing/greengagewing/internal/cluster/wire/wiretest"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// fetchAll fetches all orders of a delegate that reads no message over the limit, and returns the payloads of the starts.
func fetchAll(ex *executor) (payloads []string) {
	for after := int64(0); ; {
		orders, last := ex.ordersAfter(after)
		if len(orders) == 0 {
			return payloads
		}
		data, err := wire.Encode(delegate.OrderBatch{Wanted: true, Orders: orders, Last: last})
		So(err, ShouldBeNil)
		So(len(data), ShouldBeLessThanOrEqualTo, wire.MaxMessageBytes)
		var b delegate.OrderBatch
		So(json.Unmarshal(data, &b), ShouldBeNil)
		for _, o := range b.Orders {
			payloads = append(payloads, o.Start.Payload)
		}
		after = b.Last
	}
}

// Guards against a batch of orders that its delegate can't read, and asks for again and again while all other orders wait: texts take
// up to six times as many bytes in a message as in a job.
func TestOrdersWithAnyTextReachTheirDelegate(t *testing.T) {
	send := func(texts []string) *executor {
		ex := newExecutor(time.Now(), 0)
		ex.ordersReady = make(chan struct{}, 1)
		for i, text := range texts {
			ex.send(delegate.Order{Start: &delegate.StartOrder{Task: workload.TaskID{Job: "5c0e7a21d94b36f8", Index: i}, Run: 1, WorkerID: "i-0123456789", Payload: text}})
		}
		return ex
	}
	for name, text := range map[string]string{"mark-up": strings.Repeat("<></>", 800), "control characters": strings.Repeat("\x01", workload.MaxPayloadBytes)} {
		Convey("Given 400 starts with a text of "+name+", all arrive", t, func() {
			var texts []string
			for range 400 {
				texts = append(texts, text)
			}
			So(fetchAll(send(texts)), ShouldResemble, texts)
		})
	}
	for seed := range uint64(10) {
		Convey(fmt.Sprintf("Given starts with any texts, all arrive, seed %d", seed), t, func() {
			random := rand.New(rand.NewPCG(seed, 6))
			var texts []string
			for range 300 {
				texts = append(texts, wiretest.Text(random, workload.MaxPayloadBytes))
			}
			So(fetchAll(send(texts)), ShouldResemble, texts)
		})
	}
}
