package proof

import (
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/load"
)

// waves is the number of bursts of fifty requests.
const waves = 14

// fault is the time during which a node or its target is killed or paused.
type fault struct {
	from, to time.Time
	kills    bool // the node itself
}

// excuses tells whether the fault allows an error for the answer: its entry was killed, or its response had begun when its
// entry was paused or its target failed. What has begun can only be ended by an abort, as section 3 of the design page says.
func (f fault) excuses(a load.Response, entry, target bool) bool {
	if a.Ended.Before(f.from) || a.Started.After(f.to) {
		return false
	}
	return (entry && f.kills) || (a.Status == 200 && (entry || target))
}

// fiftyAtOnce sends fifty requests at once, again and again, and fails nodes and targets while they run.
func fiftyAtOnce(t *Trial) {
	d := deployment.ChueDee().WithTargets(4, "shortlists", "reservations")
	for _, a := range d.Accounts() {
		a.Rate, a.Burst = 1000, 1000
		d = d.WithAccount(a)
	}
	s := newSite(t, d)
	// Each of a3 and b3 stands beside a target of the route that must not run twice; c1 is a home.
	const killed, paused, home = "a3", "b3", "c1"
	down := map[string]fault{}
	begin := func(name string, kills bool) {
		down[name] = fault{from: time.Now(), to: time.Now().Add(timeout), kills: kills}
	}
	end := func(name string) { f := down[name]; f.to = time.Now(); down[name] = f }
	steps := map[int]func(){
		1: func() { begin("b2", false); s.KillTarget("b2") },
		2: func() { begin(paused, false); require.NoError(t, s.Pause(paused)) },
		3: func() { require.NoError(t, s.StartColdTarget("b2")); end("b2") },
		4: func() { begin(killed, true); s.Kill(killed) },
		5: func() { begin("c2", false); s.KillTarget("c2") },
		6: func() { require.NoError(t, s.Resume(paused)); end(paused) },
		7: func() {
			require.NoError(t, s.StartNode(killed))
			require.NoError(t, s.AwaitReady(t.Context(), killed))
			end(killed)
		},
		8:  func() { require.NoError(t, s.StartTarget("c2")); end("c2") },
		9:  func() { begin(home, false); require.NoError(t, s.Pause(home)) },
		10: func() { begin("a1", false); s.KillTarget("a1"); require.NoError(t, s.StartTarget("a1")); end("a1") },
		11: func() { require.NoError(t, s.Resume(home)); end(home) },
	}
	next := []func(int) load.Request{
		s.requests(d.Account("bangkok"), "cost=6"), s.requests(d.Account("phuket"), "cost=3"), s.requests(d.Account("udon"), "cost=10"),
		s.requests(d.Account("hatyai"), "bytes=200000", "trailer"),
	}
	// Gates learn under load how many requests their targets can run at once; a fresh one starts with one.
	ramp := load.Source{Rate: 900, Entries: s.EntryAddrs(), Next: s.requests(d.Account("khonkaen"), "cost=4")}
	s.during(2*time.Second, []load.Source{ramp}, func() {})
	var all sync.WaitGroup
	answers := make(chan load.Response, waves*50)
	for wave := range waves {
		for i := range 50 {
			entry, request := s.EntryAddr(s.names()[i%len(s.names())]), next[i%len(next)](0)
			all.Go(func() { answers <- s.caller.Do(t.Context(), entry, request, time.Now()) })
		}
		// The requests of cost 6 and 10 take 48 ms and 80 ms on average, so that many of them run at this time.
		s.t.Wait(20 * time.Millisecond)
		if step := steps[wave]; step != nil {
			step()
		}
		s.t.Wait(600 * time.Millisecond)
	}
	all.Wait()
	close(answers)
	var list []load.Response
	for a := range answers {
		list = append(list, a)
	}
	r := load.NewResult(list)
	t.Log(r.Summary())
	require.Len(t, list, waves*50)
	s.checkHistory(r, func(a load.Response) bool {
		for name, f := range down {
			if f.excuses(a, a.Entry == s.EntryAddr(name), a.Target == name) {
				return true
			}
		}
		return false
	})
	require.Greater(t, r.Share(load.Response.OK), 0.5, "the faults left too little to check")
	require.Positive(t, r.Count(func(a load.Response) bool { return a.Execution == "maybe" || a.Err != nil }), "no fault met a running request")
}

// shutdown ends a node that is the entry of some requests, and one that only stands beside a target, under load.
func shutdown(t *Trial) {
	account := func(name string) deployment.Account {
		return deployment.Account{Name: name, Keys: []string{deployment.NewKey(name, 1)}, Rate: 500, Burst: 500, Routes: []string{name}}
	}
	writers, archives := account("checkins"), account("exports")
	d := deployment.Abitudini().WithTargets(3, "checkins", "exports").WithAccount(writers).WithAccount(archives)
	s := newSite(t, d)
	// b1 stands beside a target of checkins, c2 beside one of exports.
	const entry, gate = "b1", "c2"
	long, large := s.requests(writers, "cost=60"), s.requests(writers, "bytes=2000000")
	// A cost of 700 takes 2.8 s to 8.4 s at exports, which outlasts the 2 s for which listeners stay open.
	longest := s.requests(archives, "cost=700")
	source := func(next func(int) load.Request, rate float64, entries ...string) load.Source {
		return load.Source{Rate: rate, Entries: entries, Next: next}
	}
	others := []string{s.EntryAddr("a1"), s.EntryAddr("a2"), s.EntryAddr("c1")}
	far := []load.Source{source(long, 10, others...), source(large, 5, others...), s.source(writers, 50, others...)}
	// Callers stop using the node within a second of its shutdown; it keeps its listener open for two.
	near := []load.Source{source(long, 5, s.EntryAddr(entry)), source(large, 5, s.EntryAddr(entry)), s.source(writers, 50, s.EntryAddr(entry))}
	entered := make(chan load.Result, 1)
	const single = 12
	singles := make(chan load.Response, single)
	var at time.Time
	r := s.during(8*time.Second, far, func() {
		go func() {
			entered <- s.caller.Run(t.Context(), load.Plan{Sources: near, Duration: 3 * time.Second, Seed: seed})
		}()
		s.t.Wait(1700 * time.Millisecond)
		// Each of the three gates of exports admits at least one of these, the entry's own first.
		for i := range single {
			from := s.EntryAddr(entry)
			if i >= 2 {
				from = others[i%len(others)]
			}
			go func() { singles <- s.caller.Do(t.Context(), from, longest(0), time.Now()) }()
			s.t.Wait(20 * time.Millisecond)
		}
		at = time.Now()
		for _, name := range []string{entry, gate} {
			p, err := s.Terminate(name)
			require.NoError(t, err)
			defer func() {
				code, err := p.Wait(35 * time.Second)
				require.NoError(t, err)
				require.Zero(t, code, "%s after %s", name, time.Since(at))
			}()
		}
	})
	var list []load.Response
	for range single {
		list = append(list, <-singles)
	}
	all := r.With(<-entered).With(load.NewResult(list))
	t.Log(all.Summary())
	s.checkHistory(all, never)
	atEntry, atGate := 0, 0
	for _, a := range all.Answers() {
		require.NotEqual(t, "maybe", a.Execution, "cut off: %s", describe(a))
		if !a.OK() || a.Started.After(at) || a.Ended.Before(at.Add(2*time.Second)) {
			continue
		}
		if a.Entry == s.EntryAddr(entry) {
			atEntry++
		}
		if a.Target == gate {
			atGate++
		}
	}
	t.Logf("answered after the listeners were closed: %d at the entry, %d at a target beside a node that ends", atEntry, atGate)
	require.Positive(t, atEntry, "no request ran at the entry")
	require.Positive(t, atGate, "no request ran beside a node that ends")
}
