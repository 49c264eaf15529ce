package hpack

// DefaultTableSize is the maximum size in bytes of the dynamic table at the beginning of a connection.
const DefaultTableSize = 4096

// dynamicTable is the dynamic table of one direction of a connection (RFC 7541, section 2.3.2).
type dynamicTable struct {
	entries []Field // oldest first
	size    int     // in bytes, as Field.Size counts them
	maxSize int     // in bytes
}

// add inserts an entry and returns the number of entries evicted.
func (t *dynamicTable) add(f Field) (evicted int) {
	f.Sensitive = false
	t.entries = append(t.entries, f)
	t.size += f.Size()
	return t.evict()
}

// evict removes the oldest entries until the table is within maxSize, and returns their number. An entry larger than
// maxSize empties the table, which is not an error (RFC 7541, section 4.4).
func (t *dynamicTable) evict() (evicted int) {
	for t.size > t.maxSize && evicted < len(t.entries) {
		t.size -= t.entries[evicted].Size()
		evicted++
	}
	if evicted > 0 {
		n := copy(t.entries, t.entries[evicted:])
		clear(t.entries[n:])
		t.entries = t.entries[:n]
	}
	return evicted
}

// lookup returns the entry at an index of the address space that both tables share (RFC 7541, section 2.3.3). Index 1
// is the first entry of the static table; the dynamic table follows, newest entry first.
func (t *dynamicTable) lookup(i uint64) (Field, bool) {
	switch n := uint64(len(t.entries)); {
	case i == 0 || i > uint64(len(staticTable))+n:
		return Field{}, false
	case i <= uint64(len(staticTable)):
		return staticTable[i-1], true
	default:
		return t.entries[n-(i-uint64(len(staticTable)))], true
	}
}

// nameValue is the key of a map that finds a field by its name and value.
type nameValue struct{ name, value string }

// staticIndexByField and staticIndexByName give the index in the static table of a field, and of the first field with a
// name.
var staticIndexByField, staticIndexByName = indexStaticTable()

func indexStaticTable() (byField map[nameValue]uint64, byName map[string]uint64) {
	byField, byName = map[nameValue]uint64{}, map[string]uint64{}
	for i, f := range staticTable {
		byField[nameValue{f.Name, f.Value}] = uint64(i + 1)
		if byName[f.Name] == 0 {
			byName[f.Name] = uint64(i + 1)
		}
	}
	return byField, byName
}
