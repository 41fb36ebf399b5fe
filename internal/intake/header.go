package intake

// headerScan finds the end of a request's header, an empty line, in what is read
// from a connection. Its zero value begins before the header.
type headerScan uint8

const (
	// beforeHeader: empty lines before the request line are no header's end.
	beforeHeader headerScan = iota
	inLine
	atLineStart
	afterReturn
	headerEnded
)

// of returns how many of the bytes belong to the header.
func (s *headerScan) of(data []byte) int {
	for i, b := range data {
		if *s == headerEnded {
			return i
		}
		*s = s.next(b)
	}
	return len(data)
}

// next returns the state after a byte.
func (s *headerScan) next(b byte) headerScan {
	state := *s
	switch {
	case state == headerEnded:
		return headerEnded
	case state == beforeHeader && (b == '\r' || b == '\n'):
		return beforeHeader
	case b == '\n' && state == inLine:
		return atLineStart
	case b == '\n':
		return headerEnded
	case b == '\r' && state == atLineStart:
		return afterReturn
	default:
		return inLine
	}
}
