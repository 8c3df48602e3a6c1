package silljob

import (
	"encoding/binary"
	"hash/maphash"
	"math/bits"

	"github.com/rotisserie/eris"
)

// MaxItems is the largest number of items of a job. The smallest item of a submission takes 24
// bytes, so a body of 32 MiB has fewer. All readers of rows take as many.
const MaxItems = 1 << 21

// itemIDs holds the ids of a job's items by position. It keeps them in one piece: a string for
// each takes several times the bytes of a short id. It is encoded as an array of texts.
type itemIDs struct {
	// text holds the ids one after the other.
	text []byte
	// ends are the ends of the ids in text, by position.
	ends []uint32
}

func (l *itemIDs) len() int { return len(l.ends) }

func (l *itemIDs) bytesAt(position int) []byte {
	begin := uint32(0)
	if position > 0 {
		begin = l.ends[position-1]
	}
	return l.text[begin:l.ends[position]]
}

// at returns the id at a position; empty if there is none.
func (l *itemIDs) at(position int) ItemID {
	if position >= l.len() {
		return ""
	}
	return ItemID(l.bytesAt(position))
}

func (l *itemIDs) add(id []byte) {
	l.text = append(l.text, id...)
	l.ends = append(l.ends, uint32(len(l.text)))
}

// position returns the position of an id, and false if the list does not have it. It compares
// all ids; idTable is faster for many searches.
func (l *itemIDs) position(id ItemID) (int, bool) {
	for i := range l.ends {
		if string(l.bytesAt(i)) == string(id) {
			return i, true
		}
	}
	return 0, false
}

// size returns the bytes that the list takes.
func (l *itemIDs) size() int { return cap(l.text) + 4*cap(l.ends) }

// Major types and lengths of CBOR items (RFC 8949, section 3).
const (
	cborText     = 3
	cborArray    = 4
	cborNull     = 0xf6
	cborMajorBit = 5
	cborOneByte  = 24
)

// appendCBORHead appends the head of a text or an array.
func appendCBORHead(b []byte, major byte, n uint64) []byte {
	major <<= cborMajorBit
	switch {
	case n < cborOneByte:
		return append(b, major|byte(n))
	case n < 1<<8:
		return append(b, major|cborOneByte, byte(n))
	case n < 1<<16:
		return binary.BigEndian.AppendUint16(append(b, major|(cborOneByte+1)), uint16(n))
	case n < 1<<32:
		return binary.BigEndian.AppendUint32(append(b, major|(cborOneByte+2)), uint32(n))
	}
	return binary.BigEndian.AppendUint64(append(b, major|(cborOneByte+3)), n)
}

// cborHeadBytes returns the length of the head of a text of n bytes.
func cborHeadBytes(n int) int { return len(appendCBORHead(nil, cborText, uint64(n))) }

// errNotIDs is the error of bytes that are no array of texts of definite lengths.
var errNotIDs = eris.New("not an array of texts")

// cborHead reads the head of an item of a major type.
func cborHead(b []byte, major byte) (n uint64, rest []byte, err error) {
	if len(b) == 0 || b[0]>>cborMajorBit != major {
		return 0, nil, errNotIDs
	}
	info := b[0] & (1<<cborMajorBit - 1)
	if b = b[1:]; info < cborOneByte {
		return uint64(info), b, nil
	}
	length := 1 << (info - cborOneByte)
	if info > cborOneByte+3 || len(b) < length {
		return 0, nil, errNotIDs
	}
	for _, c := range b[:length] {
		n = n<<8 | uint64(c)
	}
	return n, b[length:], nil
}

// MarshalCBOR encodes the ids as an array of texts.
func (l itemIDs) MarshalCBOR() ([]byte, error) {
	b := appendCBORHead(make([]byte, 0, len(l.text)+2*len(l.ends)), cborArray, uint64(l.len()))
	for i := range l.ends {
		id := l.bytesAt(i)
		b = append(appendCBORHead(b, cborText, uint64(len(id))), id...)
	}
	return b, nil
}

// UnmarshalCBOR decodes an array of texts. Null is an empty one.
func (l *itemIDs) UnmarshalCBOR(b []byte) error {
	*l = itemIDs{}
	if len(b) == 1 && b[0] == cborNull {
		return nil
	}
	n, b, err := cborHead(b, cborArray)
	if err != nil || n > MaxItems || n > uint64(len(b)) {
		return eris.Wrapf(errNotIDs, "silljob.itemIDs: array of %d", n)
	}
	l.text, l.ends = make([]byte, 0, len(b)-int(n)), make([]uint32, 0, n)
	for range n {
		var length uint64
		if length, b, err = cborHead(b, cborText); err != nil || length > uint64(len(b)) {
			return eris.Wrapf(errNotIDs, "silljob.itemIDs: id %d", l.len())
		}
		l.add(b[:length])
		b = b[length:]
	}
	return nil
}

// idTable finds the positions of ids: a hash table with linear probing.
type idTable struct {
	ids  *itemIDs
	seed maphash.Seed
	// slots hold positions, from 1; 0 is a free slot. Their number is a power of two.
	slots []uint32
}

// minIDSlots is the number of slots of an empty table.
const minIDSlots = 256

// newIDTable returns a table of a list of ids, of which each id counts once.
func newIDTable(ids *itemIDs) *idTable {
	t := &idTable{ids: ids, seed: maphash.MakeSeed()}
	t.resize(max(minIDSlots, 1<<bits.Len(uint(ids.len()*4/3))))
	return t
}

func (t *idTable) resize(slots int) {
	t.slots = make([]uint32, slots)
	for i := range t.ids.ends {
		if slot, found := t.find(t.ids.bytesAt(i)); !found {
			t.slots[slot] = uint32(i + 1)
		}
	}
}

// find returns the slot of an id, or the free slot for it.
func (t *idTable) find(id []byte) (slot int, found bool) {
	mask := len(t.slots) - 1
	for i := int(maphash.Bytes(t.seed, id)) & mask; ; i = (i + 1) & mask {
		switch at := t.slots[i]; {
		case at == 0:
			return i, false
		case string(t.ids.bytesAt(int(at-1))) == string(id):
			return i, true
		}
	}
}

// add adds an id at the next position. It returns false if the list has it already.
func (t *idTable) add(id ItemID) bool {
	b := []byte(id)
	slot, found := t.find(b)
	if found {
		return false
	}
	t.ids.add(b)
	t.slots[slot] = uint32(t.ids.len())
	if 4*t.ids.len() > 3*len(t.slots) {
		t.resize(2 * len(t.slots))
	}
	return true
}

// position returns the position of an id, and false if the list does not have it.
func (t *idTable) position(id ItemID) (int, bool) {
	slot, found := t.find([]byte(id))
	return int(t.slots[slot]) - 1, found
}

// positionSet is a set of positions.
type positionSet []uint64

func newPositionSet(n int) positionSet { return make(positionSet, (n+63)/64) }

func (s positionSet) add(position int) { s[position/64] |= 1 << (position % 64) }

func (s positionSet) has(position int) bool {
	return position/64 < len(s) && s[position/64]&(1<<(position%64)) != 0
}
