package core

import (
	"testing"
	"time"
)

// coldDomain simulates a load on three targets of a service, one in each domain, of which the
// one in the first domain goes down and returns cold.
type coldDomain struct {
	*simulation
	arrivals [6][]time.Time
	sequence uint64
	coldEnd  time.Time
}

func newColdDomain() *coldDomain {
	d := &coldDomain{simulation: newSimulation(true, true)}
	d.onRun = func(node int) { d.arrivals[node] = append(d.arrivals[node], d.now) }
	v := simManifest()
	v.Version++
	v.Manifest.Services[1].ColdRate, v.Manifest.Services[1].ColdDuration.Duration = testColdRate, testColdTime
	for i := range d.nodes {
		d.step(i, &SettingsChanged{RetryLimit: d.settings[i].RetryLimit, WarmupBound: testBound})
		d.step(i, &ManifestStored{Manifest: compiled(v)})
		d.step(i, &HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: "t", StartUnixMilli: 1, Sequence: 2, Slots: d.slots(i)}})
	}
	return d
}

func (d *coldDomain) slots(node int) int {
	if node >= 3 {
		return 20
	}
	return 200
}

// returnCold starts another instance of the target beside a node, which sends heartbeats every
// 1.5 s that arrive up to a second late.
func (d *coldDomain) returnCold(node int) {
	d.coldEnd = d.now.Add(testColdTime)
	var beat func()
	beat = func() {
		d.sequence++
		h := Heartbeat{InstanceID: "t2", StartUnixMilli: 2, Sequence: d.sequence, Slots: d.slots(node), WarmupRemaining: max(0, d.coldEnd.Sub(d.now))}
		d.after(time.Duration(d.random.Float64()*float64(time.Second)), func() { d.step(node, &HeartbeatReceived{Heartbeat: h}) })
		d.after(1500*time.Millisecond, beat)
	}
	beat()
}

// busiestSecond returns the most calls that a node's target has received in any second before
// the given time.
func (d *coldDomain) busiestSecond(node int, before time.Time) int {
	most, first := 0, 0
	list := d.arrivals[node]
	for i, at := range list {
		for at.Sub(list[first]) >= time.Second {
			first++
		}
		if at.Before(before) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// TestDomainThatReturnsColdDoesNotOverloadTheRest guards against the load of a domain that
// returns cold: on its own targets, which crash, and on those of the other domains, whose calls
// then all take too long. Two targets can take 760 calls per second, three 1,140.
func TestDomainThatReturnsColdDoesNotOverloadTheRest(t *testing.T) {
	const cold, offered = 3, 950
	d := newColdDomain()
	d.run(d.now.Add(2 * time.Second))
	sent, served := 0, 0
	d.offer("page", offered, d.now.Add(40*time.Second), &sent, &served)
	servedPerSecond := func(span time.Duration) float64 {
		before := served
		d.run(d.now.Add(span))
		return float64(served-before) / span.Seconds()
	}
	servedPerSecond(4 * time.Second)
	d.step(cold, &TargetDeregistered{InstanceID: "t"})
	servedPerSecond(3 * time.Second)
	d.arrivals[cold] = nil
	d.returnCold(cold)
	servedPerSecond(2 * time.Second)
	during := servedPerSecond(7 * time.Second)
	servedPerSecond(12 * time.Second)
	after := servedPerSecond(5 * time.Second)
	t.Logf("served %.0f per second while the target is cold, %.0f after; %d calls in its busiest second", during, after, d.busiestSecond(cold, d.coldEnd))
	if got, bound := d.busiestSecond(cold, d.coldEnd), testBound.Calls(testColdRate); float64(got) > bound {
		t.Errorf("the cold target gets %d calls in a second, want at most %.1f", got, bound)
	}
	if got := d.busiestSecond(cold, d.coldEnd); got < 2 {
		t.Errorf("the cold target gets at most %d calls in a second, want a share", got)
	}
	if during < 0.9*760 {
		t.Errorf("%.0f calls per second are served while the target is cold, want at least 0.9 of 760", during)
	}
	if after < 0.95*offered {
		t.Errorf("%.0f calls per second are served after the warm-up, want at least 0.95 of %d", after, offered)
	}
}

// TestWholeServiceCold guards against calls that are refused although the targets of a service
// that is entirely cold could take them.
func TestWholeServiceCold(t *testing.T) {
	d := newColdDomain()
	for i := 3; i < 6; i++ {
		d.step(i, &HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: "t", StartUnixMilli: 2, Sequence: 3, Slots: d.slots(i), WarmupRemaining: testColdTime}})
	}
	d.coldEnd = d.now.Add(testColdTime)
	d.run(d.now.Add(2 * time.Second))
	sent, served := 0, 0
	d.offer("page", 25, d.now.Add(7*time.Second), &sent, &served)
	d.run(d.now.Add(8 * time.Second))
	t.Logf("%d of %d calls are served", served, sent)
	if float64(served) < 0.8*float64(sent) {
		t.Errorf("%d of %d calls are served, want at least 0.8: the targets may receive 39 per second", served, sent)
	}
	for i := 3; i < 6; i++ {
		if got := d.busiestSecond(i, d.coldEnd); got > testColdRate {
			t.Errorf("target %d gets %d calls in a second, want at most %d", i, got, testColdRate)
		}
	}
}
