package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

const significantDigits = 4

// Markdown returns a report with one section per table, sorted by name.
func Markdown(tables []Table) string {
	sorted := slices.Clone(tables)
	slices.SortFunc(sorted, func(a, b Table) int { return cmp.Compare(a.Name, b.Name) })
	var out strings.Builder
	out.WriteString("# Measured slopes\n\nWritten by `oleandershelf capacity --out docs/capacity`; see [CAPACITY.md](../CAPACITY.md).\n")
	out.WriteString("A line is slope x size + intercept by least squares; the residual is the root mean square of what it misses.\n")
	for _, table := range sorted {
		table.write(&out)
	}
	return out.String()
}

func (t Table) write(out *strings.Builder) {
	fmt.Fprintf(out, "\n## %s\n\n%s\n\n| figure | unit |", t.Name, t.Notes)
	for _, size := range t.Sizes {
		fmt.Fprintf(out, " at %s |", formatNumber(size))
	}
	fmt.Fprintf(out, " slope a %s | intercept | residual |\n|---|---|%s---|---|---|\n", t.SizeUnit, strings.Repeat("---|", len(t.Sizes)))
	for _, series := range t.Series {
		fmt.Fprintf(out, "| %s | %s |", series.Name, series.Unit)
		for _, value := range series.Values {
			fmt.Fprintf(out, " %s |", formatNumber(value))
		}
		fmt.Fprintf(out, " %s | %s | %s |\n", formatNumber(series.Line.Slope), formatNumber(series.Line.Intercept), formatNumber(series.Line.Residual))
	}
	fmt.Fprintf(out, "\n![%s](%s.svg)\n", t.Name, t.Name)
}

// formatNumber formats a value with four significant digits, at most eight decimals and no exponent. NaN and infinities
// are shown as 0.
func formatNumber(value float64) string {
	if value == 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return "0"
	}
	decimals := significantDigits - 1 - int(math.Floor(math.Log10(math.Abs(value))))
	if decimals <= 0 {
		return strconv.FormatFloat(math.Round(value), 'f', 0, 64)
	}
	text := strconv.FormatFloat(value, 'f', min(decimals, 8), 64)
	text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	if text == "-0" {
		return "0"
	}
	return text
}
