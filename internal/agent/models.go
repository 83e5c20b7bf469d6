package agent

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// modelList is the list of models that are loaded at the server.
type modelList struct {
	names []string
	// version is a hash of the names; 0 if the list is empty.
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

// modelNames returns the models that are loaded at the server. The caller must
// not modify the slice.
func (w *worker) modelNames() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.models.names
}

// applyModelOrder updates the list of models after the server executed an order
// to load or unload one. The list stays empty, which means all models of the
// pool, until the first model is unloaded.
func (w *worker) applyModelOrder(kind, model string, poolModels []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := slices.Clone(w.models.names)
	if len(names) == 0 {
		names = slices.Clone(poolModels)
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
