package main

import (
	"fmt"
	"time"
)

// judge is the last part of the rule LOST, as written: for 3 s, a job has nothing
// running while a task's turn has come, there is capacity for it twice over, its
// tenant has under half of its cap, and under half of the service's capacity is in
// use. It looks at all accepted jobs that nobody has cancelled.
func (f *fleet) judge(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var total, used int64
	tenants := make(map[string]int64)
	working := make(map[string]bool)
	for _, r := range f.runners {
		if r.down {
			continue
		}
		total += r.cpu
		for _, x := range r.running {
			j := f.jobs[x.task.job]
			used += j.Steps[x.task.step].CPU
			tenants[j.tenant] += j.Steps[x.task.step].CPU
			working[j.id] = true
		}
	}
	for _, j := range f.jobs {
		starves := j.accepted && !j.cancelled && !working[j.id] && j.state != "failed" &&
			2*used < total && 2*tenants[j.tenant] < tenantCap && f.hasRoom(j, now)
		if !starves {
			j.starvedSince = time.Time{}
			continue
		}
		if j.starvedSince.IsZero() {
			j.starvedSince = now
		}
		j.starved = max(j.starved, now.Sub(j.starvedSince))
	}
}

// hasRoom reports whether a task of the job waits for nothing but its start, and
// there is room for all waiting tasks of its step twice over.
func (f *fleet) hasRoom(j *job, now time.Time) bool {
	for k := range max(j.Times, 1) {
		if j.Times > 0 && now.UnixMilli() < j.First+int64(k)*j.Interval {
			continue
		}
		for i := range j.Steps {
			s := &j.Steps[i]
			waiting := f.waiting(j, k, i)
			if waiting == 0 || !f.turn(j, k, s) {
				continue
			}
			room := 0
			for _, r := range f.runners {
				if !r.down && (s.Requires == "" || s.Requires == r.kind || s.Requires == r.rack) {
					cpu, mem := r.used()
					n := int(min((r.cpu-cpu)/max(s.CPU, 1), (r.mem-mem)/max(s.Mem, 1)))
					if s.Apart > 0 {
						n = min(n, s.Apart)
					}
					room += max(n, 0)
				}
			}
			if room >= 2*waiting {
				return true
			}
		}
	}
	return false
}

// turn reports whether the steps before have ended.
func (f *fleet) turn(j *job, k int, s *step) bool {
	for _, before := range s.After {
		if f.waiting(j, k, before) > 0 {
			return false
		}
	}
	return true
}

// waiting returns how many tasks of a step have not ended done.
func (f *fleet) waiting(j *job, k, i int) int {
	n := 0
	for index := range j.Steps[i].Count {
		if !f.done[fmt.Sprintf("%s.%d.%d.%d", j.id, k, i, index)] {
			n++
		}
	}
	return n
}

// watch judges for a time, and reports the jobs that starved for longer than the
// rule allows.
func (f *fleet) watch(d time.Duration) (broken []*job) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		f.judge(time.Now())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, j := range f.jobs {
		if j.starved >= starvedFor {
			broken = append(broken, j)
		}
	}
	return broken
}

// use returns the share of the service's processors in use.
func (f *fleet) use() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var total, used int64
	for _, r := range f.runners {
		if !r.down {
			cpu, _ := r.used()
			total, used = total+r.cpu, used+cpu
		}
	}
	return float64(used) / float64(max(total, 1))
}
