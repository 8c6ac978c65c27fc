"""Reads text files."""

from pathlib import Path

from returns.result import Failure, Result, Success

from jacinthsail.errors import UnreadableFile


def read_text(path: str) -> Result[str, UnreadableFile]:
    """Return the contents of a UTF-8 text file, or why it cannot be read."""
    try:
        return Success(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Failure(UnreadableFile(path, str(error)))
