package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

func checkOutput(format string) error {
	if format != outputText && format != outputJSON {
		return usageError("invalid --output %q: must be text or json", format)
	}
	return nil
}

// printMessage writes m as JSON with the field names of the .proto file.
func printMessage(w io.Writer, m proto.Message) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return errors.Annotate(err, "encode JSON output")
	}
	return printJSON(w, json.RawMessage(data))
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Annotate(enc.Encode(v), "write JSON output")
}

// table writes rows with aligned columns.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer, header ...any) table {
	t := table{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(header...)
	return t
}

func (t table) row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(t.w, "\t")
		}
		fmt.Fprint(t.w, cell)
	}
	fmt.Fprintln(t.w)
}

func (t table) flush() error { return errors.Trace(t.w.Flush()) }
