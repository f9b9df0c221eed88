package cmds

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// logLine is a log line of the request, with the time by which it is sorted.
type logLine struct {
	at   time.Time
	text string
}

var (
	timeField  = regexp.MustCompile(`\btime=(\S+)`)
	afterField = regexp.MustCompile(`\bafterMillis=(\d+)`)
)

// maxLineBytes is the longest log line that can be read, in bytes.
const maxLineBytes = 1 << 20

func traceCommand() *cobra.Command {
	return &cobra.Command{
		Use: "trace ID FILE...", Short: "Print the log lines of one request from many processes, sorted by time",
		Args: cobra.MinimumNArgs(2),
		Long: `Read the logs of any number of processes and print the lines that contain the request's id, sorted by time. A process
writes a request's lines when the request has ended; afterMillis is the time from its arrival to each decision.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []logLine
			for _, path := range args[1:] {
				found, err := readMatchingLines(path, args[0])
				if err != nil {
					return err
				}
				lines = append(lines, found...)
			}
			if len(lines) == 0 {
				return fmt.Errorf("no line holds %s: it ended well and was not sampled, or another host took it: %w", args[0], errNotFound)
			}
			slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
			for _, l := range lines {
				_, _ = fmt.Fprintln(cmd.OutOrStdout(), l.text)
			}
			return nil
		},
	}
}

func readMatchingLines(path, id string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return matchingLines(f, id)
}

// matchingLines returns the lines that contain the id. A process writes the lines of a request together
// when the request ends, so all have the time of its end. The time of arrival is that time less the largest
// afterMillis; each line's own afterMillis is added to it.
func matchingLines(r io.Reader, id string) ([]logLine, error) {
	var out []logLine
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		if strings.Contains(in.Text(), id) {
			out = append(out, logLine{text: in.Text()})
		}
	}
	last := int64(0)
	for _, l := range out {
		last = max(last, afterMillis(l.text))
	}
	for i, l := range out {
		if m := timeField.FindStringSubmatch(l.text); m != nil {
			if t, err := time.Parse(time.RFC3339Nano, m[1]); err == nil {
				out[i].at = t.Add(time.Duration(afterMillis(l.text)-last) * time.Millisecond)
			}
		}
	}
	return out, in.Err()
}

// afterMillis returns the line's afterMillis field, or 0 if it has none.
func afterMillis(line string) int64 {
	m := afterField.FindStringSubmatch(line)
	if m == nil {
		return 0
	}
	n, err := strconv.ParseInt(m[1], 10, 64)
	if err != nil {
		return 0
	}
	return n
}
