package main

import (
	"context"
	"fmt"
	"time"

	"verbenapin.dev/measure/platform"
	"verbenapin.dev/measure/upstream"
)

type platformCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:7000" description:"address for nodes"`
	Admin  string `long:"admin" default:"127.0.0.1:7001" description:"address for changes of values, instances and faults"`
	ctx    context.Context
}

// Execute runs the platform until the process is interrupted or terminated.
func (c *platformCommand) Execute([]string) error {
	s := platform.New()
	defer s.Close()
	addr, err := s.Listen(c.Listen, "")
	if err != nil {
		return err
	}
	admin, err := s.ListenAdmin(c.Admin)
	if err != nil {
		return err
	}
	fmt.Printf("platform listens on %s, admin on %s\n", addr, admin)
	<-c.ctx.Done()
	return nil
}

type targetCommand struct {
	Name    string        `long:"name" default:"target" description:"name of the target"`
	Listen  string        `long:"listen" default:"127.0.0.1:9000" description:"address for requests"`
	Admin   string        `long:"admin" default:"127.0.0.1:9001" description:"address for faults and records"`
	Slots   int           `long:"slots" default:"12" description:"requests served at full speed"`
	Conns   int           `long:"conns" default:"260" description:"limit of connections"`
	Service time.Duration `long:"service" default:"5ms" description:"mean service time"`
	Warm    time.Duration `long:"warm" default:"5s" description:"duration of a cold start"`
	Cold    bool          `long:"cold" description:"begin with a cold start"`
	ctx     context.Context
}

// Execute runs the target until the process is interrupted or terminated.
func (c *targetCommand) Execute([]string) error {
	settings := upstream.DefaultSettings(c.Name)
	settings.Slots, settings.MaxConns, settings.ServiceTime, settings.ColdStart = c.Slots, c.Conns, c.Service, c.Warm
	s := upstream.New(settings)
	defer s.Close()
	if c.Cold {
		s.SetCold()
	}
	addr, err := s.Listen(c.Listen)
	if err != nil {
		return err
	}
	admin, err := s.ListenAdmin(c.Admin)
	if err != nil {
		return err
	}
	fmt.Printf("target listens on %s, admin on %s\n", addr, admin)
	<-c.ctx.Done()
	return nil
}
