package main

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// playReplaced: machines of the system are removed for good, one after the other,
// and others come at other addresses; then a few jobs come for which the adviser
// is asked.
func playReplaced(s *Site) ([]string, error) {
	s.Adviser = &Adviser{Decide: 62 * time.Millisecond, Each: 880 * time.Microsecond, ValidFor: 1500 * time.Millisecond}
	if err := s.Open(0, Config(100, adviceRoute())); err != nil {
		return nil, err
	}
	for i := range 12 {
		r, err := s.AddRunner(fmt.Sprintf("worker%d", i+1), i, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		r.Tickets = s.Adviser
	}
	const replaced = 40
	for n := range replaced {
		if !s.Trouble {
			time.Sleep(500 * time.Millisecond)
			continue
		}
		// The machines of the second and the third zone, in turn.
		place := 1 + n%2
		old := s.Daemons[place]
		next, err := NewDaemon(s.Record, s.root, s.dir, fmt.Sprintf("front-%s-%d", zones[place], 2+n/2), zones[place], regions[place], s.storeAt, s.adviserAt)
		if err != nil {
			return nil, err
		}
		if err := next.Start(); err != nil {
			return nil, err
		}
		for until := time.Now().Add(5 * time.Second); !next.IsReady(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(until) || next.Ended() {
				return nil, fmt.Errorf("%s is not ready", next.Name)
			}
		}
		// Its record as a member follows within milliseconds.
		time.Sleep(200 * time.Millisecond)
		s.Daemons[place] = next
		old.Kill()
		if err := s.darken(old.Peer); err != nil {
			return nil, err
		}
	}
	s.Record.Say("%d machines were replaced, one after the other", replaced)
	if err := s.AwaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	var ids []string
	for range 4 {
		id := s.Clients.NewID()
		ids = append(ids, id)
		s.Clients.Submit("/lots/", id, object{"spec": "work 2000", "steps": []object{{"count": 2, "cpu": 2000, "mem_mb": 1000, "estimate_ms": 2000}}})
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finish)
	return judgeIdle(s, ids), nil
}

// darken makes an address of 127.0.0.1 one that doesn't answer, as that of a
// machine that is gone: a socket listens there whose queue is full.
func (s *Site) darken(address string) error {
	at, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	s.closers = append(s.closers, func() { _ = syscall.Close(fd) })
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: at.Port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return err
	}
	for range 4 {
		c, err := net.DialTimeout("tcp", address, 30*time.Millisecond)
		if err != nil {
			return nil
		}
		s.closers = append(s.closers, func() { _ = c.Close() })
	}
	return fmt.Errorf("%s still takes connections", address)
}
