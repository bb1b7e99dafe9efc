package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"verbenapin.dev/node/operator/report"
)

// ticksPerSecond is USER_HZ, the unit of the process times in /proc.
const ticksPerSecond = 100

// State returns the state that a node's admin listener reports.
func (f *Fleet) State(ctx context.Context, name string) (report.State, error) {
	var s report.State
	err := f.get(ctx, name, "/state", &s)
	return s, err
}

func (f *Fleet) get(ctx context.Context, name, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Instance(name).AdminAddr+path, nil)
	if err != nil {
		return fmt.Errorf("fleet: sending a request to %s: %w", name, err)
	}
	res, err := f.client.Do(req)
	if err != nil {
		return fmt.Errorf("fleet: sending a request to %s: %w", name, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= 300 {
		return fmt.Errorf("fleet: %s answered %s to %s", name, res.Status, path)
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(res.Body).Decode(into); err != nil {
		return fmt.Errorf("fleet: reading the state of %s: %w", name, err)
	}
	return nil
}

// CPU returns the user and system time that a node has used.
func (f *Fleet) CPU(name string) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.processes[name].Pid()))
	if err != nil {
		return 0, fmt.Errorf("fleet: reading the processor time of %s: %w", name, err)
	}
	// The program's name in parentheses may contain spaces; utime and stime are the 12th and 13th fields after it.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) < 13 {
		return 0, fmt.Errorf("fleet: processor time of %s has %d fields", name, len(fields))
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("fleet: reading the processor time of %s: %w", name, err)
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("fleet: reading the processor time of %s: %w", name, err)
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// RSS returns the resident memory of a node in bytes.
func (f *Fleet) RSS(name string) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", f.processes[name].Pid()))
	if err != nil {
		return 0, fmt.Errorf("fleet: reading the memory of %s: %w", name, err)
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("fleet: memory of %s has %d fields", name, len(fields))
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("fleet: reading the memory of %s: %w", name, err)
	}
	return pages * int64(os.Getpagesize()), nil
}
