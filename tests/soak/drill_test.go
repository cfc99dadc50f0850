package soak

import (
	"time"

	"fireflypier.example/fireflypier/internal/serving/fakestore"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
)

const (
	// copyAge is the age of the copy from which the store is restored, storeAway the time
	// for which it is away before.
	copyAge   = 3 * time.Second
	storeAway = 500 * time.Millisecond
	// lapseTime is the time after which the store drops the row of a target that is gone.
	lapseTime = 1500 * time.Millisecond
	// restorePause is the time between two restorations.
	restorePause = 2 * time.Second

	// limitPerSecond is the limit that one target of each pool names in checkLimits. In
	// limitWindow it may get one and a half times what that allows, and limitBurst calls
	// more, from limitSettling after it has named the limit.
	limitPerSecond = 5
	limitWindow    = 4 * time.Second
	limitBurst     = 5
	limitSettling  = 3 * time.Second

	// distance is the time for which one target of each pool wants no requests in
	// checkDistance. Once all nodes have been told, each may send it distantCalls.
	distance         = 4 * time.Second
	distanceSettling = 1500 * time.Millisecond
	distantCalls     = 2
)

// restoreStore restores the store from copies again and again until a time.
func (s *testSite) restoreStore(until time.Time) {
	for time.Now().Add(copyAge + storeAway).Before(until) {
		c := s.rows.Copy()
		time.Sleep(copyAge)
		s.logEvent("store is restored from a copy")
		s.rows.Fail(fakestore.RequestLost)
		time.Sleep(storeAway)
		s.rows.Restore(c)
		s.rows.Fail(fakestore.None)
		s.rewriteRows()
		time.Sleep(restorePause)
	}
}

// rewriteRows has the operator and the targets write again what the store has lost, and
// the store drop the rows of targets that are gone.
func (s *testSite) rewriteRows() {
	s.mu.Lock()
	published := s.published
	live := make(map[string]*target)
	for id, t := range s.targets {
		live[id] = t
	}
	s.mu.Unlock()
	published()
	for _, t := range live {
		t.mu.Lock()
		s.putRow(t)
		t.mu.Unlock()
	}
	for _, row := range s.rows.Table(rowstore.Targets).Rows {
		if live[row.Key] == nil {
			time.AfterFunc(lapseTime, func() { s.rows.Delete(rowstore.Targets, row.Key) })
		}
	}
}

// oneOfEachPool returns one target of each pool.
func (s *testSite) oneOfEachPool() map[string]*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	byPool := make(map[string]*target)
	for _, t := range s.targets {
		byPool[t.pool] = t
	}
	return byPool
}

// checkDistance has one target of each pool turn requests away for a time, and reports a
// violation if it then gets more calls than the nodes may send it.
func (s *testSite) checkDistance() {
	distant := s.oneOfEachPool()
	until := time.Now().Add(distance)
	for _, t := range distant {
		t.mu.Lock()
		t.distantUntil, t.calls = until, nil
		t.mu.Unlock()
	}
	time.Sleep(distance)
	for _, t := range distant {
		t.mu.Lock()
		calls := 0
		for _, at := range t.calls {
			if at.After(until.Add(distanceSettling - distance)) {
				calls++
			}
		}
		s.logEvent("%s, which wanted no requests for %s, got %d calls, %d of them late", t.id, distance, len(t.calls), calls)
		t.calls = nil
		t.mu.Unlock()
		if allowed := distantCalls * len(s.nodes); calls > allowed {
			s.reportViolation("%s got %d calls while it wanted none, %d allowed", t.id, calls, allowed)
		}
	}
}

// checkLimits has one target of each pool name a limit, and reports a violation if it then
// gets more calls than the limit allows from all nodes together.
func (s *testSite) checkLimits() {
	limited := s.oneOfEachPool()
	for _, t := range limited {
		t.mu.Lock()
		t.limit = limitPerSecond
		t.mu.Unlock()
	}
	named := time.Now()
	time.Sleep(limitSettling + limitWindow)
	for _, t := range limited {
		t.mu.Lock()
		first, most := 0, 0
		for i, at := range t.calls {
			for at.Sub(t.calls[first]) > limitWindow {
				first++
			}
			if at.Sub(named) > limitSettling {
				most = max(most, i-first+1)
			}
		}
		t.limit = 0
		t.mu.Unlock()
		s.logEvent("%s with a limit of %d a second got %d calls in %s", t.id, limitPerSecond, most, limitWindow)
		if allowed := int(limitWindow.Seconds()*limitPerSecond*3/2) + limitBurst; most > allowed {
			s.reportViolation("%s got %d calls in %s, %d allowed", t.id, most, limitWindow, allowed)
		}
	}
}
