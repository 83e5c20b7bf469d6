package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/magnoliawheel/magnoliawheel/test/standin/spec"
)

const recordFile = "executions.jsonl"

// startStandins starts the platform and the shared servers in one process, and the
// others in processes of their own.
func (d *Deployment) startStandins() error {
	log := d.conf.Log
	log.Name, log.Kind = spec.KindPlatformLog, spec.KindPlatformLog
	shared := []spec.StandIn{log, {Name: spec.KindInstanceList, Kind: spec.KindInstanceList}}
	var own []spec.StandIn
	for _, s := range d.conf.Servers {
		s.Spec.Name = s.Name
		if s.Own {
			s.Spec.Addr = FreeAddr()
			own = append(own, s.Spec)
			continue
		}
		shared = append(shared, s.Spec)
	}
	if err := d.StartStandin("standins", shared...); err != nil {
		return err
	}
	for _, s := range own {
		if err := d.StartStandin("server-"+s.Name, s); err != nil {
			return err
		}
	}
	return nil
}

// StartStandin starts a process with stand-ins and waits until they listen.
func (d *Deployment) StartStandin(name string, servers ...spec.StandIn) error {
	s := spec.Spec{RecordFile: filepath.Join(d.conf.Dir, recordFile), StandIns: servers}
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	if err := d.write(name+".json", string(text)); err != nil {
		return err
	}
	r, w, err := os.Pipe()
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }()
	p, err := StartProcess(d.conf.Dir, name, w, d.conf.Binaries.Standin, filepath.Join(d.conf.Dir, name+".json"))
	_ = w.Close()
	if err != nil {
		return err
	}
	d.Standins = append(d.Standins, p)
	addrs := map[string]string{}
	if err := json.NewDecoder(r).Decode(&addrs); err != nil {
		return fmt.Errorf("%s did not start: %w", name, err)
	}
	for name, addr := range addrs {
		d.Addrs[name] = addr
	}
	return nil
}

// Standin returns the process that StartStandin started under that name last.
func (d *Deployment) Standin(name string) *Process {
	for i := len(d.Standins) - 1; i >= 0; i-- {
		if d.Standins[i].Name == name {
			return d.Standins[i]
		}
	}
	return nil
}

// Mwctl runs mwctl and returns its output.
func (d *Deployment) Mwctl(ctx context.Context, args ...string) ([]byte, error) {
	return exec.CommandContext(ctx, d.conf.Binaries.Mwctl, args...).CombinedOutput()
}
