package endpoint

import "testing"

// FuzzDecode decodes arbitrary bodies as each type of response. It checks that
// an inventory that passes validation has no task without an id or of negative
// size, and that the parts of valid events can be reassembled.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"incarnation":"x","events":[{"seq":1,"id":"a","state":"done","part":0,"parts":2,"data":"aGk="}],"next":1}`))
	f.Add([]byte(`{"events":[{"id":"a","part":-1,"parts":3},{"id":"a","part":3,"parts":3},{"id":"","parts":1}]}`))
	f.Add([]byte(`{"endpoint":"w","tasks":[{"task":{"id":"a","size":{"milli_cores":1}},"state":"running"}],"lease_token":9}`))
	f.Add([]byte(`{"epoch":18446744073709551615}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if inventory, err := decode[AttachResponse](body); err == nil && inventory.validate() == nil {
			for _, status := range inventory.Tasks {
				if status.Task.ID == "" || status.Task.Size.MilliCores < 0 || status.Task.Size.Slots < 0 {
					t.Fatalf("task %+v passed validation", status.Task)
				}
			}
		}
		_, _ = decode[HeartbeatResponse](body)
		_, _ = decode[StartResponse](body)
		_, _ = decode[StopResponse](body)
		_, _ = decode[FencedBody](body)
		resp, err := decode[EventsResponse](body)
		if err != nil {
			return
		}
		for _, event := range validEvents(resp.Events) {
			if event.ID == "" || event.Part < 0 || event.Part >= max(event.Parts, 1) || event.Parts > MaxParts {
				t.Fatalf("event %+v counts as valid", event)
			}
		}
	})
}

func TestValidEvents(t *testing.T) {
	events := validEvents([]Event{
		{ID: "whole", Parts: 1},
		{ID: "", Parts: 1},
		{ID: "beyond", Part: 1, Parts: 1},
		{ID: "negative", Part: -1, Parts: 1},
		{ID: "unbounded", Parts: MaxParts + 1},
		{ID: "second", Part: 1, Parts: 2},
	})
	if len(events) != 2 || events[0].ID != "whole" || events[1].ID != "second" {
		t.Fatalf("events %+v", events)
	}
}
