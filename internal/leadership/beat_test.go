package leadership

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
)

// TestHeartbeatRateAtHolder checks that the heartbeats of all daemons of a
// large cell don't overload the holder. Each daemon must still send at least
// two heartbeats before it would claim the cell from a silent holder.
func TestHeartbeatRateAtHolder(t *testing.T) {
	for daemons, maxRate := range map[int]float64{9: 40, 43: 80, 300: 130} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			var members []keyedlog.Entry
			for i := range daemons {
				members = append(members, keyedlog.Entry{Record: keyedlog.Record{Key: fmt.Sprintf("%sd%03d", memberPrefix, i), Value: []byte{0xa0}}})
			}
			perSecond := 0.0
			for i := range daemons {
				name := fmt.Sprintf("d%03d", i)
				d := NewDirectory(&faultyLog{}, keyedlog.Partition{Topic: "cell"}, clock.System(), Member{Name: name}, discardLogger())
				d.reset(members)
				d.ObserveClaim(Claim{Epoch: 1, Holder: Member{Name: "d000"}})
				e := NewElector(d, nil, clock.System(), nil, nil, nil, discardLogger())
				pause := e.heartbeatPause()
				if rank := Rank(d.Members(), name, "d000", 1); i > 0 && 2*pause > silenceTimeout+time.Duration(rank)*rankStagger {
					t.Errorf("rank %d sends a heartbeat every %s", rank, pause)
				}
				if i > 0 {
					perSecond += 1 / pause.Seconds()
				}
			}
			restarted := NewDirectory(&faultyLog{}, keyedlog.Partition{Topic: "cell"}, clock.System(), Member{Name: "d000", Incarnation: "new"}, discardLogger())
			restarted.reset(members)
			restarted.ObserveClaim(Claim{Epoch: 1, Holder: Member{Name: "d000", Incarnation: "old"}})
			if pause := NewElector(restarted, nil, clock.System(), nil, nil, nil, discardLogger()).heartbeatPause(); pause != heartbeatInterval {
				t.Errorf("a restarted holder sends a heartbeat every %s", pause)
			}
			if perSecond > maxRate {
				t.Errorf("the holder gets %.0f heartbeats a second, want at most %.0f", perSecond, maxRate)
			}
		})
	}
}
