package socket

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The states of a connection in these tests are those that Linux 6.18 shows, at a check each second.
func TestJudge(t *testing.T) {
	const userTimeout, unreadTimeout = 2 * time.Second, 30 * time.Second
	since := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	for name, series := range map[string]struct {
		states []sendState
		want   []verdict
	}{
		"a peer that takes everything": {
			[]sendState{{acked: 100, window: 65536, sinceAck: since(900)}},
			[]verdict{delivered{}},
		},
		// The second probe has no answer: peers limit how often they answer.
		"a peer that pauses": {
			[]sendState{
				{unsent: 2752, backoff: 2, probes: 1, sinceAck: since(748)},
				{unsent: 2752, backoff: 3, sinceAck: since(448)},
				{unsent: 2752, backoff: 3, sinceAck: since(1448)},
				{unsent: 2752, backoff: 4, sinceAck: since(764)},
				{unsent: 2752, backoff: 4, sinceAck: since(2768)},
				{unsent: 2752, backoff: 5, sinceAck: since(376)},
			},
			[]verdict{paused{}, paused{}, paused{}, paused{}, paused{}, paused{}},
		},
		"a peer that pauses, and has dropped what was in flight": {
			[]sendState{
				{inFlight: 8, unsent: 100, window: 0, sinceAck: since(20)},
				{inFlight: 8, unsent: 100, backoff: 2, retransmitted: 2, sinceAck: since(56)},
				{inFlight: 8, unsent: 100, backoff: 3, retransmitted: 3, sinceAck: since(16)},
				{inFlight: 8, unsent: 100, backoff: 3, retransmitted: 3, sinceAck: since(1016)},
				{inFlight: 8, unsent: 100, backoff: 4, retransmitted: 4, sinceAck: since(44)},
				{inFlight: 8, unsent: 100, backoff: 4, retransmitted: 4, sinceAck: since(3044)},
			},
			[]verdict{inFlight{}, paused{}, paused{}, paused{}, paused{}, paused{}},
		},
		// One probe is lost, and the answer to the next one is under way at a check.
		"a peer that pauses, on a link that loses a packet": {
			[]sendState{
				{unsent: 2752, backoff: 4, sinceAck: since(764)},
				{unsent: 2752, backoff: 5, probes: 1, sinceAck: since(6400)},
				{unsent: 2752, backoff: 6, probes: 2, sinceAck: since(9600)},
				{unsent: 2752, backoff: 6, sinceAck: since(900)},
			},
			[]verdict{paused{}, paused{}, paused{}, paused{}},
		},
		"a peer that pauses and is cut off": {
			[]sendState{
				{unsent: 2752, backoff: 2, probes: 1, sinceAck: since(744)},
				{unsent: 2752, backoff: 3, probes: 2, sinceAck: since(1744)},
				{unsent: 2752, backoff: 3, probes: 2, sinceAck: since(2744)},
				{unsent: 2752, backoff: 4, probes: 3, sinceAck: since(3744)},
			},
			[]verdict{paused{}, paused{}, paused{}, gone{}},
		},
		"a peer that has dropped what was in flight and is cut off": {
			[]sendState{
				{inFlight: 8, backoff: 3, retransmitted: 3, sinceAck: since(16)},
				{inFlight: 8, backoff: 4, retransmitted: 4, sinceAck: since(1016)},
				{inFlight: 8, backoff: 5, retransmitted: 5, sinceAck: since(2016)},
				{inFlight: 8, backoff: 5, retransmitted: 5, sinceAck: since(3016)},
			},
			[]verdict{paused{}, paused{}, paused{}, gone{}},
		},
		"a peer that owes an acknowledgement": {
			[]sendState{
				{inFlight: 1, window: 2048, backoff: 2, retransmits: 2, retransmitted: 2, sinceAck: since(1004)},
				{inFlight: 1, window: 2048, backoff: 3, retransmits: 3, retransmitted: 3, sinceAck: since(2004)},
			},
			[]verdict{inFlight{}, inFlight{}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var h history
			var got []verdict
			now := time.Unix(1, 0)
			for _, s := range series.states {
				var v verdict
				h, v = h.judge(s, now, userTimeout, unreadTimeout)
				got = append(got, v)
				now = now.Add(time.Second)
			}
			g.Expect(got).To(Equal(series.want))
		})
	}
}

// A peer may read slowly for as long as it reads at all.
func TestJudgeUnread(t *testing.T) {
	g := NewWithT(t)
	const userTimeout, unreadTimeout = 2 * time.Second, 30 * time.Second
	var h history
	var v verdict
	now := time.Unix(1, 0)
	for n := range 100 {
		h, v = h.judge(sendState{unsent: 1000, acked: uint64(n / 20)}, now, userTimeout, unreadTimeout)
		g.Expect(v).To(Equal(paused{}))
		now = now.Add(time.Second)
	}
	_, v = h.judge(sendState{unsent: 1000, acked: 4}, now.Add(unreadTimeout), userTimeout, unreadTimeout)
	g.Expect(v).To(Equal(unread{}))
}
