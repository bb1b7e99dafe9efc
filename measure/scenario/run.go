package scenario

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"verbenapin.dev/measure/report"
)

const (
	// quickLimit and fullLimit end a run; scenarios that have not ended by then are reported as not measured.
	quickLimit = 57 * time.Second
	fullLimit  = 7*time.Minute + 45*time.Second
	// parallel and fullParallel are the numbers of jobs that run at once, in quick and in full runs, if they measure no times.
	parallel     = 5
	fullParallel = 2
)

// Run runs the scenarios and returns the figures of all, also of those that failed.
func (b Runner) Run(ctx context.Context, scenarios []Scenario) []report.Figure {
	ctx, cancel := context.WithTimeout(ctx, b.lasts(quickLimit, fullLimit))
	defer cancel()
	list := jobs(scenarios)
	outcomes := make([]outcome, len(list))
	b.runAlone(ctx, list, outcomes)
	// Both policies of a scenario may run at once, since each has a fleet of its own.
	places := make(chan struct{}, parallel)
	if !b.Quick {
		places = make(chan struct{}, fullParallel)
	}
	var all sync.WaitGroup
	for i, j := range list {
		if j.scenario.Alone {
			continue
		}
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			start := time.Now()
			s, err := b.SetUp(ctx, b.of(j), j.scenario)
			outcomes[i] = b.measure(ctx, j, s, err, start)
		})
	}
	all.Wait()
	return figures(list, outcomes)
}

// runAlone sets the fleets up at once, and then puts load on one after the other.
func (b Runner) runAlone(ctx context.Context, list []job, outcomes []outcome) {
	start := time.Now()
	sites, errs := make([]site, len(list)), make([]error, len(list))
	var all sync.WaitGroup
	for i, j := range list {
		if j.scenario.Alone {
			all.Go(func() { sites[i], errs[i] = b.SetUp(ctx, b.of(j), j.scenario) })
		}
	}
	all.Wait()
	for i, j := range list {
		if j.scenario.Alone {
			outcomes[i] = b.measure(ctx, j, sites[i], errs[i], start)
			start = time.Now()
		}
	}
}

// job is one run of a scenario under one policy.
type job struct {
	scenario Scenario
	policy   string
}

// outcome is what a job has measured.
type outcome struct {
	values map[string]float64
	err    error
}

// jobs returns the runs of all scenarios, the own policy before the naive one.
func jobs(scenarios []Scenario) []job {
	var list []job
	for _, s := range scenarios {
		list = append(list, job{scenario: s})
		if s.Naive != "" {
			list = append(list, job{scenario: s, policy: s.Naive})
		}
	}
	return list
}

// of returns the bench with the job's policy, and a directory of its own.
func (b Runner) of(j job) Runner {
	dir := "own"
	if j.policy != "" {
		dir = "naive"
	}
	return b.WithDir(filepath.Join(b.Dir, dir)).WithPolicy(j.policy)
}

// measure runs a job on its fleet and ends the fleet.
func (b Runner) measure(ctx context.Context, j job, s site, err error, start time.Time) outcome {
	if err != nil {
		return outcome{err: err}
	}
	defer s.close()
	values, err := j.scenario.Run(ctx, b.of(j), s)
	if err == nil {
		err = s.leaked()
	}
	_, _ = fmt.Fprintf(b.Out, "%s %s: %.1f s\n", j.scenario.Name, j.policy, time.Since(start).Seconds())
	return outcome{values: values, err: err}
}

func figures(list []job, outcomes []outcome) []report.Figure {
	var all []report.Figure
	for i, j := range list {
		if j.policy != "" {
			continue
		}
		var naive outcome
		if j.scenario.Naive != "" {
			naive = outcomes[i+1]
		}
		for _, spec := range j.scenario.Specs {
			all = append(all, spec.figure(outcomes[i].values, outcomes[i].err, naive.values, naive.err))
		}
	}
	return all
}

func (s Spec) figure(own map[string]float64, err error, naive map[string]float64, naiveErr error) report.Figure {
	v, ok := own[s.Name]
	if err != nil || !ok {
		return report.NewMissing(s.Name, s.Unit, fmt.Sprintf("not measured: %v", err)).WithBound(s.Bound)
	}
	f := report.NewFigure(s.Name, v, s.Unit).WithNote(s.Note).WithBound(s.Bound)
	if v, ok := naive[s.Name]; ok && naiveErr == nil {
		f = f.WithNaive(v)
	}
	if naiveErr != nil {
		f = f.WithNote(fmt.Sprintf("%s; naive policy not measured: %v", s.Note, naiveErr))
	}
	return f
}
