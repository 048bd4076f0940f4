package departure

// Key returns the key of the row of a departure.
var Key = key

// Encode returns the value of the row of a departure, or nil.
func Encode(d Departure) []byte {
	value, err := d.encode()
	if err != nil {
		return nil
	}
	return value
}
