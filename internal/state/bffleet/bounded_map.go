package bffleet

type (
	// boundedMap is a map with at most limit keys. When it is full, a new key replaces
	// the oldest one.
	boundedMap[V any] struct {
		limit  int
		values map[string]V
		order  []string
	}

	pair[V any] struct {
		Key   []byte `cbor:"1,keyasint"`
		Value V      `cbor:"2,keyasint"`
	}
)

func newBoundedMap[V any](limit int) *boundedMap[V] {
	return &boundedMap[V]{limit: limit, values: map[string]V{}}
}

func (b *boundedMap[V]) get(key string) (V, bool) {
	v, ok := b.values[key]
	return v, ok
}

func (b *boundedMap[V]) put(key string, value V) {
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
func (b *boundedMap[V]) list() []pair[V] {
	out := make([]pair[V], len(b.order))
	for i, key := range b.order {
		out[i] = pair[V]{Key: []byte(key), Value: b.values[key]}
	}
	return out
}

func (b *boundedMap[V]) putAll(pairs []pair[V]) {
	for _, p := range pairs {
		b.put(string(p.Key), p.Value)
	}
}
