package backend

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkQueue measures the calls for one transaction, Request and Finish, while
// all customers have waiting requests.
func BenchmarkQueue(b *testing.B) {
	for _, customers := range []int{8, 64, 512} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			s := NewSharedDispatcher(Settings{Slots: 3, Connections: 20})
			var now time.Duration
			var next RequestID
			var conns ConnID
			var active []RequestID
			names := make([]string, customers)
			apply := func(actions []Action) {
				opening := 0
				for _, a := range actions {
					switch a.Kind {
					case ActionGrant:
						active = append(active, a.Request)
					case ActionOpen:
						opening++
					}
				}
				for range opening {
					conns++
					for _, a := range s.RecordOpened(now, conns) {
						if a.Kind == ActionOpen {
							opening++
						}
					}
				}
			}
			apply(s.Tick(0))
			for i := range names {
				names[i] = fmt.Sprint("c", i)
			}
			request := func(i int) {
				next++
				apply(s.Request(now, next, names[i%customers], now+time.Hour))
			}
			for i := range 2 * customers {
				request(i)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now += 3 * time.Millisecond
				done := active[0]
				active = active[:copy(active, active[1:])]
				apply(s.Finish(now, done, true))
				request(i)
				i++
			}
		})
	}
}
