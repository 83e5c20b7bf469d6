package harness

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// Measurement is a program that measures a deployment and writes a table.
type Measurement struct {
	// Name is that of the program.
	Name string
	// Options takes the flags.
	Options any
	// Table measures with binaries built into dir and returns rows, header first.
	Table func(ctx context.Context, bin Binaries, dir string) ([][]string, error)
	// Out returns the CSV file to write beside standard output; empty for none.
	Out func() string
}

// Main runs the measurement and exits with 1 if it failed, 2 on wrong usage.
func (m *Measurement) Main() {
	if _, err := flags.Parse(m.Options); err != nil {
		os.Exit(2)
	}
	if err := m.run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (m *Measurement) run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", m.Name)
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin, err := Build(ctx, dir)
	if err != nil {
		return err
	}
	table, err := m.Table(ctx, bin, dir)
	if err != nil {
		return err
	}
	if err := csv.NewWriter(os.Stdout).WriteAll(table); err != nil || m.Out() == "" {
		return err
	}
	return writeFile(m.Out(), table)
}

func writeFile(path string, table [][]string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := csv.NewWriter(io.Writer(f)).WriteAll(table); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
