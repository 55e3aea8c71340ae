"""Plain text tables."""

from collections.abc import Sequence


def text_table(rows: Sequence[Sequence[str]]) -> str:
    """Formats rows as left-aligned columns, two spaces apart.

    Args:
        rows: The cells of each row, the headings first. All rows have the same number of cells.

    Returns:
        One line per row, without trailing spaces or a final line break.
    """
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    )
