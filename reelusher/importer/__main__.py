"""Write an operator's file from mod_jk's and Apache's files: python -m reelusher.importer --help."""

import argparse
import sys
import tomllib
from pathlib import Path

from reelusher.config import ConfigError
from reelusher.config.operator.file import parse
from reelusher.importer import httpd, jk
from reelusher.importer.model import Imported


def main(arguments: list[str] | None = None) -> int:
    """Import files: write TOML to standard output and omissions to standard error.

    Returns the exit status: 2 if a file can't be read, 1 if the result is no valid operator's file or, with
    --strict, if anything was left out, and 0 otherwise.
    """
    parser = argparse.ArgumentParser("reelusher.importer", description="Write an operator's file.")
    parser.add_argument("--workers", action="append", default=[], metavar="FILE", help="a workers.properties")
    parser.add_argument("--httpd", action="append", default=[], metavar="FILE", help="an Apache file")
    parser.add_argument("--listen", default="127.0.0.1:8009", help="where the AJP front is to listen")
    parser.add_argument("--strict", action="store_true", help="fail where anything was left out")
    options = parser.parse_args(arguments)
    if not options.workers and not options.httpd:
        parser.error("name at least one file")
    imported = Imported()
    try:
        for reader, files in ((jk, options.workers), (httpd, options.httpd)):
            for file in files:
                reader.read(Path(file).read_text(), file, imported)
    except (OSError, UnicodeDecodeError) as error:
        print(f"importer: {error}", file=sys.stderr)
        return 2
    imported.add_unmounted_omissions()
    for omission in imported.omissions:
        print(omission, file=sys.stderr)
    text = imported.to_toml(options.listen)
    try:
        parse(tomllib.loads(text))
    except ConfigError as error:
        print(f"importer: the result needs work before it starts: {error}", file=sys.stderr)
        sys.stdout.write(text)
        return 1
    sys.stdout.write(text)
    return 1 if imported.omissions and options.strict else 0


if __name__ == "__main__":
    sys.exit(main())
