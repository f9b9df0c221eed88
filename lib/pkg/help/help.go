// Package help generates a documentation page from the help of a command.
package help

import (
	"bytes"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"
)

// Markdown returns the help of a command and its subcommands as Markdown.
func Markdown(cmd *cobra.Command) (string, error) {
	cmd.DisableAutoGenTag = true
	cmd.InitDefaultHelpFlag()
	var b bytes.Buffer
	if err := doc.GenMarkdownCustom(cmd, &b, func(link string) string { return "#" + anchor(link) }); err != nil {
		return "", err
	}
	for _, c := range cmd.Commands() {
		if !c.IsAvailableCommand() || c.IsAdditionalHelpTopicCommand() {
			continue
		}
		page, err := Markdown(c)
		if err != nil {
			return "", err
		}
		b.WriteString(page)
	}
	return b.String(), nil
}

// Check compares a command's help with the page file and returns an error if they differ. If write is true, it
// writes the page first.
func Check(cmd *cobra.Command, page string, write bool) error {
	want, err := Markdown(cmd)
	if err != nil {
		return err
	}
	if write {
		if err := os.WriteFile(page, []byte(want), pageMode); err != nil {
			return err
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	if string(got) != want {
		return eris.Errorf("%s differs from the help of the command: run make docs", page)
	}
	return nil
}

// pageMode is the file mode of a written page.
const pageMode = 0o644

// anchor converts the file name that the generator links to into the anchor of a heading on the same page.
func anchor(link string) string {
	name := bytes.TrimSuffix([]byte(link), []byte(".md"))
	return string(bytes.ReplaceAll(name, []byte("_"), []byte("-")))
}
