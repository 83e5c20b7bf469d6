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

// recordFile is the file in the deployment's directory in which all stand-ins record
// their executions.
const recordFile = "executions.jsonl"

// startStandins starts the platform's stand-ins and most servers in one process, and
// each server with SeparateProcess set in its own.
func (d *Deployment) startStandins() error {
	log := d.config.LogService
	log.Name, log.Kind = spec.KindPlatformLog, spec.KindPlatformLog
	shared := []spec.StandIn{log, {Name: spec.KindInstanceList, Kind: spec.KindInstanceList}}
	var separate []spec.StandIn
	for _, s := range d.config.Servers {
		s.Spec.Name = s.Name
		if s.SeparateProcess {
			s.Spec.Addr = FreeAddr()
			separate = append(separate, s.Spec)
			continue
		}
		shared = append(shared, s.Spec)
	}
	if err := d.StartStandin("standins", shared...); err != nil {
		return err
	}
	for _, s := range separate {
		if err := d.StartStandin("server-"+s.Name, s); err != nil {
			return err
		}
	}
	return nil
}

// StartStandin starts a process that runs the given stand-ins, and waits until they
// listen. Its log and configuration are stored under name.
func (d *Deployment) StartStandin(name string, servers ...spec.StandIn) error {
	s := spec.Spec{RecordFile: filepath.Join(d.config.Dir, recordFile), StandIns: servers}
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	if err := d.writeConfigFile(name+".json", string(text)); err != nil {
		return err
	}
	r, w, err := os.Pipe()
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }()
	p, err := StartProcess(d.config.Dir, name, w, d.config.Binaries.Standin, filepath.Join(d.config.Dir, name+".json"))
	_ = w.Close()
	if err != nil {
		return err
	}
	d.Standins = append(d.Standins, p)
	addrs := map[string]string{}
	if err := json.NewDecoder(r).Decode(&addrs); err != nil {
		return fmt.Errorf("stand-in process %s did not report its addresses: %w", name, err)
	}
	for name, addr := range addrs {
		d.StandinAddrs[name] = addr
	}
	return nil
}

// Standin returns the process that StartStandin started most recently under the given
// name, or nil.
func (d *Deployment) Standin(name string) *Process {
	for i := len(d.Standins) - 1; i >= 0; i-- {
		if d.Standins[i].Name == name {
			return d.Standins[i]
		}
	}
	return nil
}

// Mwctl runs mwctl and returns its combined standard output and standard error.
func (d *Deployment) Mwctl(ctx context.Context, args ...string) ([]byte, error) {
	return exec.CommandContext(ctx, d.config.Binaries.Mwctl, args...).CombinedOutput()
}
