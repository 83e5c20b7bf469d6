package agent

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// modelList is the list of models at the server with its version.
type modelList struct {
	names []string
	// version is the hash of the names; 0 if there are none.
	version uint64
}

func newModelList(names []string) modelList {
	if len(names) == 0 {
		return modelList{}
	}
	h := xxhash.New()
	for _, n := range names {
		_, _ = h.WriteString(n)
		_, _ = h.Write([]byte{0})
	}
	return modelList{names: names, version: h.Sum64()}
}

// modelNames returns the models at the server; the slice must not be changed.
func (w *work) modelNames() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.models.names
}

// obeyed takes in an order to load or unload a model that the server obeyed. The
// list stays empty, which stands for all models of the pool, until one is unloaded.
func (w *work) obeyed(kind, model string, pool []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := slices.Clone(w.models.names)
	if len(names) == 0 {
		names = slices.Clone(pool)
	}
	switch {
	case kind == orderUnloadModel:
		names = slices.DeleteFunc(names, func(n string) bool { return n == model })
	case len(w.models.names) > 0 && !slices.Contains(names, model):
		names = append(names, model)
	default:
		return
	}
	slices.Sort(names)
	w.models = newModelList(names)
}
