package scheduler

import (
	"cmp"
	"slices"

	"github.com/bluebellstile/bluebellstile/internal/fleet"
)

// Bounds of the questions about a gang.
const (
	// gangAskFactor is the ratio of the tasks that the eligible ones of the hosts asked
	// about could run if they were idle to the tasks of the gang. A busy fleet has a
	// fraction of that free at a time.
	gangAskFactor = 4
	// namingShare is the largest part of a question's time, beyond its fixed part and
	// relative to it, that naming the endpoints may take.
	namingShare = 0.5
	// gangDivisor divides the questions that gangs may ask: one gang leaves three times
	// as many to the next ones as it takes.
	gangDivisor = 4
	// reserveDivisor divides the questions that may be in flight: gangs leave this part
	// to steps whose tasks start one by one, whose questions are short. After a restart,
	// when all gangs ask again, those would wait for seconds.
	reserveDivisor = 8
	// lateDivisor does the same for gangs that miss their objectives in any case: they
	// leave this part to those that don't.
	lateDivisor = 2
)

// askAboutUnknown asks about hosts whose eligibility is unknown, those with capacity first,
// and others as well: their eligibility does not change, and capacity will become free. A
// gang that needs many hosts is asked about in several questions at once, since it can't
// start before the last of its hosts is known; it answers a load of gangs of many sizes.
func (p *planner) askAboutUnknown(d *Demand) {
	left := p.gangQuestionsLeft(d)
	if left <= 0 {
		return
	}
	size, questions := d.Eligibility.questionSize(), left/gangDivisor
	if questions <= 1 {
		// Where questions are scarce, several take more of the service's time than
		// they save: one names as many hosts as it may.
		size, questions = maxQuestionEndpoints, 1
	}
	endpoints := p.endpointsForGang(d, size, size*questions)
	for _, part := range evenParts(endpoints, size, questions) {
		p.addQuestion(Question{Demand: d, Endpoints: part})
	}
}

// gangQuestionsLeft returns how many questions may be asked about a gang now.
func (p *planner) gangQuestionsLeft(d *Demand) int {
	if d.Eligibility == nil || d.Eligibility.QuestionInFlight {
		return 0
	}
	if d.Urgent {
		return p.questionsLeft(d)
	}
	if p.Policy.GangRoom && (p.late(d) || d.Excess) && p.Now <= d.LatestStart+maxYieldTime {
		return p.questionsLeft(d) - p.QuestionsInAll/lateDivisor
	}
	return p.questionsLeft(d) - p.QuestionsInAll/reserveDivisor
}

// endpointsForGang returns the endpoints to ask about, at least least if there are as many
// and at most the given number.
func (p *planner) endpointsForGang(d *Demand, least, most int) []*fleet.Endpoint {
	wanted, expected := gangAskFactor*float64(len(d.Tasks)), 0.0
	var unknown []*Host
	for _, h := range p.candidates(d) {
		if d.Eligibility.Eligible[h.Endpoint] {
			expected += float64(d.idleSlots(h))
		} else {
			// Candidates that are known not to be eligible are left out.
			unknown = append(unknown, h)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	var endpoints []*fleet.Endpoint
	for _, h := range p.roomiestFirst(d, unknown) {
		if len(endpoints) >= most || len(endpoints) >= least && expected >= wanted {
			break
		}
		endpoints = append(endpoints, h.Endpoint)
		expected += d.Eligibility.EligibleShare * float64(d.idleSlots(h))
	}
	return endpoints
}

// idleSlots returns how many tasks of a demand a host could run if it were idle.
func (d *Demand) idleSlots(h *Host) int {
	n := int(d.Step.Spec.Charge().Copies(h.Endpoint.Capacity, int64(len(d.Tasks))))
	if limit := d.Step.Spec.MaxPerEndpoint; limit > 0 {
		n = min(n, limit)
	}
	return n
}

// roomiestFirst returns the hosts in the order in which a gang asks about them: those with
// capacity for more tasks first, and for a gang that belongs in one rack those in
// the rack with the most capacity before that. The permits for the room that there is
// then come with the first answer.
func (p *planner) roomiestFirst(d *Demand, hosts []*Host) []*Host {
	n := len(d.Tasks)
	slots := make(map[*Host]int, len(hosts))
	inRack := make(map[string]int)
	for _, h := range hosts {
		slots[h] = p.slots(d, h, n)
		if d.Step.Spec.SameRack {
			inRack[h.Endpoint.Rack] += slots[h]
		}
	}
	rooms := func(h *Host) int {
		if !p.Policy.GangRoom {
			return 0
		}
		return slots[h]
	}
	ordered := slices.Clone(hosts)
	slices.SortStableFunc(ordered, func(a, b *Host) int {
		return cmp.Or(
			cmp.Compare(inRack[b.Endpoint.Rack], inRack[a.Endpoint.Rack]),
			falseFirst(slots[a] == 0, slots[b] == 0),
			cmp.Compare(rooms(b), rooms(a)),
		)
	})
	return ordered
}

// questionSize returns how many endpoints one question names at most, so that naming them
// takes no longer than namingShare of the question's fixed time.
func (e *Eligibility) questionSize() int {
	if e.QuestionPerEndpoint <= 0 {
		return maxQuestionEndpoints
	}
	size := int(namingShare * float64(e.QuestionBase) / float64(e.QuestionPerEndpoint))
	return min(max(size, minQuestionEndpoints), maxQuestionEndpoints)
}

// evenParts splits endpoints into the fewest parts of at most size, of about equal length.
// Parts are larger if there may be no more than most of them; if they would exceed what a
// question takes, there are none.
func evenParts(endpoints []*fleet.Endpoint, size, most int) [][]*fleet.Endpoint {
	count := min(ceilDiv(len(endpoints), size), most)
	if count == 0 || ceilDiv(len(endpoints), count) > maxQuestionEndpoints {
		return nil
	}
	parts := make([][]*fleet.Endpoint, 0, count)
	for i := range count {
		parts = append(parts, endpoints[i*len(endpoints)/count:(i+1)*len(endpoints)/count])
	}
	return parts
}

// ceilDiv returns a/b rounded up.
func ceilDiv(a, b int) int { return (a + b - 1) / b }

// Bounds of a question.
const (
	// maxQuestionEndpoints bounds the endpoints in one question; the service
	// accepts no more.
	maxQuestionEndpoints = 100
	// minQuestionEndpoints is how many endpoints a question names if there are
	// that many: another endpoint costs little compared with the call itself.
	minQuestionEndpoints = 8
	// askFactor is the ratio of the slots that the endpoints asked about are
	// expected to allow to the slots needed. urgentAskFactor is the ratio for
	// urgent work, whose questions are cheap and which has no time for a second
	// one.
	askFactor       = 1.5
	urgentAskFactor = 3
)

// ask adds a question about hosts with free capacity, unless one is in flight.
// For non-urgent work the capacity is held until the answer arrives, so that
// lower-ranked work does not ask for it too.
func (p *planner) ask(d *Demand, tasks int) {
	a := d.Eligibility
	if a == nil || a.QuestionInFlight || !p.mayAsk(d) {
		return
	}
	q := Question{Demand: d, HeldTasks: make(map[string]int)}
	wanted, expected := askFactor*float64(tasks), 0.0
	if d.Urgent {
		wanted = urgentAskFactor * float64(tasks)
	}
	for _, h := range p.candidates(d) {
		n := p.slots(d, h, tasks)
		if n == 0 || p.waitsForRack(d, h) {
			continue
		}
		if _, ok := p.permit(d, h.Endpoint); ok {
			continue
		}
		q.Endpoints = append(q.Endpoints, h.Endpoint)
		if expected < wanted {
			expected += p.holdTasks(d, h, n, &q)
		}
		if len(q.Endpoints) >= maxQuestionEndpoints || len(q.Endpoints) >= minQuestionEndpoints && expected >= wanted {
			break
		}
	}
	p.addQuestion(q)
}

// holdTasks holds capacity for n tasks on a host that is asked about, unless
// the demand is urgent. It returns how many of the tasks the host is expected
// to run.
func (p *planner) holdTasks(d *Demand, h *Host, n int, q *Question) float64 {
	share := d.Eligibility.EligibleShare
	if d.Eligibility.Eligible[h.Endpoint] {
		share = 1
	}
	if !d.Urgent {
		p.charge(h, d.Step.Spec.Charge().Scale(int64(n)))
		q.HeldTasks[h.Endpoint.ID] = n
	}
	return share * float64(n)
}

// mayAsk reports whether another question may be asked for a demand.
func (p *planner) mayAsk(d *Demand) bool { return p.questionsLeft(d) > 0 }

// questionsLeft returns how many more questions the plan may ask for demands of this kind.
func (p *planner) questionsLeft(d *Demand) int {
	if d.Urgent {
		return p.UrgentQuestions
	}
	return p.Questions
}

// addQuestion adds a question to the plan, unless it names no endpoints.
func (p *planner) addQuestion(q Question) {
	if len(q.Endpoints) == 0 {
		return
	}
	if q.Demand.Urgent {
		p.UrgentQuestions--
	} else {
		p.Questions--
	}
	p.plan.Questions = append(p.plan.Questions, q)
}
