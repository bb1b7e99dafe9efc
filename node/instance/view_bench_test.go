package instance

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkView measures the cost of one heartbeat, and of counting the peers as is done each second, with 1,200 listed
// instances.
func BenchmarkView(b *testing.B) {
	var list []Instance
	for i := range 1200 {
		list = append(list, Instance{Name: fmt.Sprintf("instance-%d", i), Domain: "d1", Service: fmt.Sprintf("service-%d", i%150), State: StateLive})
	}
	v := View{}.WithList(at(0), list)
	for i := range 360 { // six heartbeats a second for a minute
		v = v.WithHeartbeat(at(0), Heartbeat{Name: list[i].Name, BootID: 1})
	}
	b.Run("heartbeat", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			v.WithHeartbeat(at(0), Heartbeat{Name: list[0].Name, BootID: 1})
		}
	})
	b.Run("count", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			v.Counts(at(0).Add(time.Second), "instance-0")
		}
	})
}
