package bffleet

type (
	// bounded is a map that drops its oldest key when it is full.
	bounded[V any] struct {
		limit  int
		values map[string]V
		order  []string
	}

	pair[V any] struct {
		Key   []byte `cbor:"1,keyasint"`
		Value V      `cbor:"2,keyasint"`
	}
)

func newBounded[V any](limit int) *bounded[V] {
	return &bounded[V]{limit: limit, values: map[string]V{}}
}

func (b *bounded[V]) get(key string) (V, bool) {
	v, ok := b.values[key]
	return v, ok
}

func (b *bounded[V]) put(key string, value V) {
	if _, ok := b.values[key]; !ok {
		b.order = append(b.order, key)
	}
	b.values[key] = value
	if len(b.order) > b.limit {
		delete(b.values, b.order[0])
		b.order = b.order[1:]
	}
}

// list returns all pairs, oldest first.
func (b *bounded[V]) list() []pair[V] {
	out := make([]pair[V], len(b.order))
	for i, key := range b.order {
		out[i] = pair[V]{Key: []byte(key), Value: b.values[key]}
	}
	return out
}

func (b *bounded[V]) fill(pairs []pair[V]) {
	for _, p := range pairs {
		b.put(string(p.Key), p.Value)
	}
}
