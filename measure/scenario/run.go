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
	// quickLimit and fullLimit bound a run; scenarios unfinished by then are reported as not measured.
	quickLimit = 57 * time.Second
	fullLimit  = 7*time.Minute + 45*time.Second
	// quickParallel and fullParallel bound the concurrent jobs of scenarios without Alone, in quick and in full runs.
	quickParallel = 5
	fullParallel  = 2
)

// Run runs the scenarios and returns the figures of all of them, including those that failed.
func (r Runner) Run(ctx context.Context, scenarios []Scenario) []report.Figure {
	ctx, cancel := context.WithTimeout(ctx, r.duration(quickLimit, fullLimit))
	defer cancel()
	list := jobs(scenarios)
	outcomes := make([]outcome, len(list))
	r.runAlone(ctx, list, outcomes)
	// Both policies of a scenario may run concurrently, since each has its own fleet.
	sem := make(chan struct{}, quickParallel)
	if !r.Quick {
		sem = make(chan struct{}, fullParallel)
	}
	var wg sync.WaitGroup
	for i, j := range list {
		if j.scenario.Alone {
			continue
		}
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			start := time.Now()
			s, err := r.SetUp(ctx, r.forJob(j), j.scenario)
			outcomes[i] = r.measure(ctx, j, s, err, start)
		})
	}
	wg.Wait()
	return figures(list, outcomes)
}

// runAlone starts the fleets of all scenarios with Alone concurrently, and then measures one after the other.
func (r Runner) runAlone(ctx context.Context, list []job, outcomes []outcome) {
	start := time.Now()
	systems, errs := make([]system, len(list)), make([]error, len(list))
	var wg sync.WaitGroup
	for i, j := range list {
		if j.scenario.Alone {
			wg.Go(func() { systems[i], errs[i] = r.SetUp(ctx, r.forJob(j), j.scenario) })
		}
	}
	wg.Wait()
	for i, j := range list {
		if j.scenario.Alone {
			outcomes[i] = r.measure(ctx, j, systems[i], errs[i], start)
			start = time.Now()
		}
	}
}

// job is one run of a scenario under one policy.
type job struct {
	scenario Scenario
	policy   string
}

// outcome is the result of a job.
type outcome struct {
	values map[string]float64
	err    error
}

// jobs returns the jobs of all scenarios, in each the default policy before the naive one.
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

// forJob returns the runner with the policy of j and a directory for that policy.
func (r Runner) forJob(j job) Runner {
	dir := "own"
	if j.policy != "" {
		dir = "naive"
	}
	return r.WithDir(filepath.Join(r.Dir, dir)).WithPolicy(j.policy)
}

// measure runs a job on its fleet and closes the fleet.
func (r Runner) measure(ctx context.Context, j job, s system, err error, start time.Time) outcome {
	if err != nil {
		return outcome{err: err}
	}
	defer s.close()
	values, err := j.scenario.Run(ctx, r.forJob(j), s)
	if err == nil {
		err = s.checkLeaks()
	}
	_, _ = fmt.Fprintf(r.Out, "%s %s: %.1f s\n", j.scenario.Name, j.policy, time.Since(start).Seconds())
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
