"""Tables of plain text."""

from collections.abc import Sequence


def text_table(rows: Sequence[Sequence[str]]) -> str:
    """Rows with aligned columns, two spaces between them; the first row holds the headings."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    )
