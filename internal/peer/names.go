package peer

// nameTable numbers the names of targets, teams and incarnations that this instance
// sends, in the order of their first use. Each receiver gets a name once and the number
// from then on. It is not safe for concurrent use; the zero value is ready for use.
type nameTable struct {
	names   []string
	numbers map[string]uint32
}

// number returns the number of a name.
func (t *nameTable) number(name string) uint32 {
	if number, ok := t.numbers[name]; ok {
		return number
	}
	if t.numbers == nil {
		t.numbers = map[string]uint32{}
	}
	number := uint32(len(t.names))
	t.names = append(t.names, name)
	t.numbers[name] = number
	return number
}

// since returns the names from a number on.
func (t *nameTable) since(number uint32) []string {
	if int(number) >= len(t.names) {
		return nil
	}
	return t.names[number:]
}
