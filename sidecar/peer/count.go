package peer

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maximumElements limits the elements of all arrays and maps of a message together. The largest message is the list of
// all daemons.
const maximumElements = 1 << 17

// errTooManyElements means that the arrays and maps of a message claim more than maximumElements.
var errTooManyElements = errors.New("the message claims too many elements")

// checkCounts returns an error if a message in MessagePack is not whole or has too many elements. The decoder allocates
// each slice of structs for as many elements as its count claims, before it reads them.
func checkCounts(content []byte) error {
	elements := 0
	for len(content) > 0 {
		size, count, err := measure(content)
		if err != nil {
			return err
		}
		if size > len(content) {
			return io.ErrUnexpectedEOF
		}
		if elements += count; elements > maximumElements {
			return errTooManyElements
		}
		content = content[size:]
	}
	return nil
}

// measure returns the size in bytes of the first value, without the elements of an array or a map, which are the next
// values; count is the number of elements, with 1 for each key and each value of a map.
func measure(content []byte) (size, count int, err error) {
	c := content[0]
	switch {
	case msgpcode.IsFixedNum(c):
		return 1, 0, nil
	case msgpcode.IsFixedString(c):
		return 1 + int(c&msgpcode.FixedStrMask), 0, nil
	case msgpcode.IsFixedArray(c):
		return 1, int(c & msgpcode.FixedArrayMask), nil
	case msgpcode.IsFixedMap(c):
		return 1, 2 * int(c&msgpcode.FixedMapMask), nil
	case msgpcode.IsFixedExt(c):
		return 2 + 1<<(c-msgpcode.FixExt1), 0, nil
	}
	switch c {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return 1, 0, nil
	case msgpcode.Uint8, msgpcode.Int8:
		return 2, 0, nil
	case msgpcode.Uint16, msgpcode.Int16:
		return 3, 0, nil
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 5, 0, nil
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 9, 0, nil
	}
	return measureLong(content)
}

// measureLong does the same for a value whose length or count follows the first byte.
func measureLong(content []byte) (size, count int, err error) {
	c, rest := content[0], content[1:]
	var width int
	switch c {
	case msgpcode.Str8, msgpcode.Bin8, msgpcode.Ext8:
		width = 1
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Ext16, msgpcode.Array16, msgpcode.Map16:
		width = 2
	case msgpcode.Str32, msgpcode.Bin32, msgpcode.Ext32, msgpcode.Array32, msgpcode.Map32:
		width = 4
	default:
		return 0, 0, errors.New("the message is not MessagePack")
	}
	if len(rest) < width {
		return 0, 0, io.ErrUnexpectedEOF
	}
	var number [8]byte
	copy(number[len(number)-width:], rest[:width])
	n := int(binary.BigEndian.Uint64(number[:]))
	head := 1 + width
	switch c {
	case msgpcode.Array16, msgpcode.Array32:
		return head, n, nil
	case msgpcode.Map16, msgpcode.Map32:
		return head, 2 * n, nil
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		return head + 1 + n, 0, nil
	}
	return head + n, 0, nil
}
