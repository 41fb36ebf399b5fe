package holder

import (
	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

// maxStartBatch bounds the tasks of one Start command.
const maxStartBatch = 64

// queueStart queues the start of a task for the sender.
func (s *session) queueStart(spec endpoint.TaskSpec) {
	s.mu.Lock()
	s.starts = append(s.starts, spec)
	s.mu.Unlock()
	s.wakeSender()
}

// queueStop queues a stop, checkpoint or throttle of an attempt for the sender.
func (s *session) queueStop(action endpoint.StopAction, attemptID string) {
	s.mu.Lock()
	s.stops[action] = append(s.stops[action], attemptID)
	s.mu.Unlock()
	s.wakeSender()
}

// queueAck queues the acknowledgement of a finished attempt for the sender. The
// endpoint forgets the attempt then.
func (s *session) queueAck(attemptID string) {
	s.mu.Lock()
	s.acks = append(s.acks, attemptID)
	s.mu.Unlock()
	s.wakeSender()
}

// wakeSender makes the sender run soon. It does not block.
func (s *session) wakeSender() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runSender sends queued commands until the session ends. A command without an answer
// is sent again: all commands are idempotent by task id.
func (s *session) runSender(loops *tomb.Tomb) error {
	for {
		select {
		case <-loops.Dying():
			return nil
		case <-s.wake:
		}
		for {
			more, err := s.sendOnce()
			if errors.Is(err, errSessionEnded) {
				return err
			}
			if err != nil {
				s.term.sleep(attachBackoffMin)
			}
			if !loops.Alive() {
				return nil
			}
			if !more {
				break
			}
		}
	}
}

// sendOnce sends one batch of each kind and reports whether more is queued.
func (s *session) sendOnce() (more bool, err error) {
	if err := s.sendStarts(); err != nil {
		return true, err
	}
	if err := s.sendStops(); err != nil {
		return true, err
	}
	if err := s.sendAcks(); err != nil {
		return true, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.starts)+len(s.acks)+s.stopCount() > 0, nil
}

// stopCount counts the queued stops; the caller holds the session's lock.
func (s *session) stopCount() int {
	n := 0
	for _, ids := range s.stops {
		n += len(ids)
	}
	return n
}

// sendStarts sends one batch of starts. The batch stays queued until it has
// been answered.
func (s *session) sendStarts() error {
	s.mu.Lock()
	batch := append([]endpoint.TaskSpec(nil), s.starts[:min(maxStartBatch, len(s.starts))]...)
	s.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	ctx, cancel := s.commandContext()
	defer cancel()
	response, err := s.client.Start(ctx, &endpoint.StartRequest{Session: s.sessionNumber(), Epoch: s.term.epoch, Tasks: batch})
	if err != nil {
		s.term.setUsable(s, false)
		return s.handleCommandError(err)
	}
	s.mu.Lock()
	s.starts = s.starts[min(len(batch), len(s.starts)):]
	s.mu.Unlock()
	s.term.handleStartResponse(s, batch, response.Refused)
	return nil
}

// sendStops sends the queued stops, one command per action.
func (s *session) sendStops() error {
	for _, action := range []endpoint.StopAction{endpoint.ActionStop, endpoint.ActionCheckpoint, endpoint.ActionThrottle} {
		s.mu.Lock()
		ids := s.stops[action]
		s.mu.Unlock()
		if len(ids) == 0 {
			continue
		}
		ctx, cancel := s.commandContext()
		response, err := s.client.Stop(ctx, &endpoint.StopRequest{Session: s.sessionNumber(), Epoch: s.term.epoch, Action: action, IDs: ids})
		cancel()
		if err != nil {
			return s.handleCommandError(err)
		}
		s.mu.Lock()
		s.stops[action] = s.stops[action][min(len(ids), len(s.stops[action])):]
		s.mu.Unlock()
		s.term.handleStopResponse(s, response.Tasks)
	}
	return nil
}

// sendAcks sends the queued acknowledgements.
func (s *session) sendAcks() error {
	s.mu.Lock()
	ids := s.acks
	s.mu.Unlock()
	if len(ids) == 0 {
		return nil
	}
	ctx, cancel := s.commandContext()
	defer cancel()
	if err := s.client.Ack(ctx, &endpoint.AckRequest{Session: s.sessionNumber(), Epoch: s.term.epoch, IDs: ids}); err != nil {
		return s.handleCommandError(err)
	}
	s.mu.Lock()
	s.acks = s.acks[min(len(ids), len(s.acks)):]
	s.mu.Unlock()
	return nil
}
