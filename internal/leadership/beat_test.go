package leadership

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/clock"
	"github.com/bluebellstile/bluebellstile/internal/keyedlog"
)

// TestHolderFullOfHeartbeats adds up the heartbeats that a holder gets from all
// daemons of a cell. Each daemon sends at least two in the time after which it
// would claim the cell from a silent holder.
func TestHolderFullOfHeartbeats(t *testing.T) {
	for daemons, most := range map[int]float64{9: 40, 43: 80, 300: 130} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			var members []keyedlog.Entry
			for i := range daemons {
				members = append(members, keyedlog.Entry{Record: keyedlog.Record{Key: fmt.Sprintf("%sd%03d", memberPrefix, i), Value: []byte{0xa0}}})
			}
			perSecond := 0.0
			for i := range daemons {
				name := fmt.Sprintf("d%03d", i)
				d := NewDirectory(&claimLog{}, keyedlog.Partition{Topic: "cell"}, clock.System(), Member{Name: name}, quiet())
				d.reset(members)
				d.ObserveClaim(Claim{Epoch: 1, Holder: Member{Name: "d000"}})
				e := NewElector(d, nil, clock.System(), nil, nil, nil, quiet())
				pause := e.beatPause()
				if rank := Rank(d.Members(), name, "d000", 1); i > 0 && 2*pause > silentAfter+time.Duration(rank)*rankStagger {
					t.Errorf("rank %d sends a heartbeat each %s", rank, pause)
				}
				if i > 0 {
					perSecond += 1 / pause.Seconds()
				}
			}
			restarted := NewDirectory(&claimLog{}, keyedlog.Partition{Topic: "cell"}, clock.System(), Member{Name: "d000", Incarnation: "new"}, quiet())
			restarted.reset(members)
			restarted.ObserveClaim(Claim{Epoch: 1, Holder: Member{Name: "d000", Incarnation: "old"}})
			if pause := NewElector(restarted, nil, clock.System(), nil, nil, nil, quiet()).beatPause(); pause != beatInterval {
				t.Errorf("a holder that has restarted sends a heartbeat each %s", pause)
			}
			if perSecond > most {
				t.Errorf("the holder gets %.0f heartbeats a second, want at most %.0f", perSecond, most)
			}
		})
	}
}
