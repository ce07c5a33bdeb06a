package bffleet

import "reflect"

func byKey[T any, K comparable](list []T, keyOf func(*T) K) map[K]*T {
	out := make(map[K]*T, len(list))
	for i := range list {
		out[keyOf(&list[i])] = &list[i]
	}
	return out
}

// changedKeys returns the keys of the elements that are not the same in both lists.
func changedKeys[T any, K comparable](from, to []T, keyOf func(*T) K) []K {
	old := byKey(from, keyOf)
	var keys []K
	for i := range to {
		key := keyOf(&to[i])
		if before := old[key]; before == nil || !reflect.DeepEqual(before, &to[i]) {
			keys = append(keys, key)
		}
		delete(old, key)
	}
	for i := range from {
		if key := keyOf(&from[i]); old[key] != nil {
			keys = append(keys, key)
		}
	}
	return keys
}

// split returns the list's elements with the keys, and the keys that the list doesn't have.
// Each key counts once.
func split[T any, K comparable](list []T, keys []K, keyOf func(*T) K) (present []T, absent []K) {
	if len(keys) == 0 {
		return nil, nil
	}
	elements, seen := byKey(list, keyOf), make(map[K]bool, len(keys))
	for _, key := range keys {
		if seen[key] {
			continue
		}
		seen[key] = true
		if e := elements[key]; e != nil {
			present = append(present, *e)
		} else {
			absent = append(absent, key)
		}
	}
	return present, absent
}

// merge returns the list with the changed elements in the place of those with their keys,
// and without the removed ones. New elements come last.
func merge[T any, K comparable](list, changed []T, removed []K, keyOf func(*T) K) []T {
	if len(changed)+len(removed) == 0 {
		return list
	}
	replacements, gone := byKey(changed, keyOf), make(map[K]bool, len(removed))
	for _, key := range removed {
		gone[key] = true
	}
	next := make([]T, 0, len(list)+len(changed))
	for i := range list {
		key := keyOf(&list[i])
		switch e := replacements[key]; {
		case e != nil:
			next = append(next, *e)
			delete(replacements, key)
		case !gone[key]:
			next = append(next, list[i])
		}
	}
	for i := range changed {
		if replacements[keyOf(&changed[i])] != nil {
			next = append(next, changed[i])
		}
	}
	return next
}
