package reply

import "rosemarygrade.dev/lib/pkg/fault"

// maxFields is how many fields a head may have. Each takes far more memory than its bytes once it is parsed.
const maxFields = 256

// headScan looks at the lines of a head as it is read. It refuses those that begin with a blank (RFC 9112, section 5.2): a proxy may refuse them or
// replace the line break, but net/http only joins them to the value of the line before, where a length or an encoding does not count.
// It also bounds the number of lines.
type headScan struct {
	inHead bool
	// line counts the lines of the head, column the bytes of the present one, without carriage returns.
	line, column int
	interim      bool
}

// statusColumn is the position of the first digit of a status in "HTTP/1.1 200 OK".
const statusColumn = len("HTTP/1.1 ")

// begin starts a head.
func (s *headScan) begin() { *s = headScan{inHead: true} }

// scan reads the next bytes up to the end of the final head, which follows the interim ones.
func (s *headScan) scan(p []byte) error {
	for _, b := range p {
		if !s.inHead {
			return nil
		}
		if err := s.read(b); err != nil {
			return err
		}
	}
	return nil
}

func (s *headScan) read(b byte) error {
	blank := b == ' ' || b == '\t'
	switch {
	case b == '\n':
		s.endLine()
		if s.line > maxFields+1 {
			return fault.New("read head", KindInvalid, "too many fields")
		}
	case b == '\r':
	case blank && s.line > 0 && s.column == 0:
		return fault.New("read head", KindInvalid, "a line that begins with a blank")
	case blank && s.line == 0 && s.column == statusColumn:
		// net/http accepts more than one blank before the status.
	default:
		if s.line == 0 && s.column == statusColumn {
			s.interim = b == '1'
		}
		s.column++
	}
	return nil
}

func (s *headScan) endLine() {
	switch {
	case s.column > 0:
		s.line, s.column = s.line+1, 0
	case s.interim:
		s.begin()
	default:
		s.inHead = false
	}
}
