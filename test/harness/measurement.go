package harness

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// Measurement is a command that measures a deployment and prints the result as CSV.
type Measurement struct {
	// Name is the program's name, used as prefix of its temporary directory.
	Name string
	// Options is the struct that the command-line flags are parsed into.
	Options any
	// Measure runs the measurement with the given binaries, keeps its files in dir, and
	// returns the rows of the table, header first.
	Measure func(ctx context.Context, bin Binaries, dir string) ([][]string, error)
	// CSVFile returns the path of a CSV file to write in addition to standard output, or
	// an empty string for none.
	CSVFile func() string
}

// Main parses the flags and runs the measurement. The process exits with 1 if the
// measurement fails and with 2 if the flags are invalid.
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
	rows, err := m.Measure(ctx, bin, dir)
	if err != nil {
		return err
	}
	if err := csv.NewWriter(os.Stdout).WriteAll(rows); err != nil || m.CSVFile() == "" {
		return err
	}
	return writeCSV(m.CSVFile(), rows)
}

func writeCSV(path string, rows [][]string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := csv.NewWriter(io.Writer(file)).WriteAll(rows); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
