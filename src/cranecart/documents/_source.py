"""Parse JSON with comments and record the line of each value."""

import difflib
import functools
from collections.abc import Iterable, Mapping
from pathlib import Path

import attrs
import msgspec
import tree_sitter
import tree_sitter_json

from cranecart.exceptions import ConfigError

KeyPath = tuple[str | int, ...]


@attrs.frozen
class Finding:
    """One error in a file, with its line."""

    file: str
    line: int
    message: str

    def __str__(self) -> str:
        """Format the finding as compilers do, for editors."""
        return f'{self.file}:{self.line}: {self.message}'


class FindingsError(ConfigError):
    """Files are invalid; carries all findings."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        """Join the findings into one message."""
        self.findings = tuple(findings)
        super().__init__('\n'.join(map(str, self.findings)))


@attrs.frozen
class Document:
    """A parsed file with the line on which each value starts."""

    file: str
    root: object
    lines: Mapping[KeyPath, int]

    def finding(self, path: KeyPath, message: str) -> Finding:
        """Return a finding at a path, or at its closest parent with a line."""
        nearest = next(
            path[:length]
            for length in range(len(path), -1, -1)
            if path[:length] in self.lines
        )
        return Finding(self.file, self.lines[nearest], message)


@functools.cache
def _parser() -> tree_sitter.Parser:
    language = tree_sitter.Language(tree_sitter_json.language())
    return tree_sitter.Parser(language)


def read_document(file: Path) -> Document:
    """Parse one file of JSON with comments.

    Raise ``FindingsError`` if the file cannot be read or parsed.
    """
    try:
        source = file.read_bytes()
    except OSError as error:
        raise FindingsError(
            [Finding(str(file), 1, f'cannot be read: {error.strerror}')],
        ) from error
    tree = _parser().parse(source)
    if tree.root_node.has_error:
        raise FindingsError(
            [
                Finding(
                    str(file),
                    _first_error_line(tree.root_node),
                    'is not JSON with comments: see this line or the one above',
                ),
            ],
        )
    return _to_document(str(file), tree.root_node)


def _first_error_line(node: tree_sitter.Node) -> int:
    if node.is_error or node.is_missing:
        return node.start_point.row + 1
    return next(
        (
            _first_error_line(child)
            for child in node.children
            if child.has_error or child.is_missing
        ),
        node.start_point.row + 1,
    )


def _to_document(file: str, root: tree_sitter.Node) -> Document:
    nodes = _content(root)
    if len(nodes) != 1:
        message = f'must contain exactly one value, found {len(nodes)}'
        raise FindingsError([Finding(file, 1, message)])
    lines: dict[KeyPath, int] = {}
    findings: list[Finding] = []
    value = _Reader(file, lines, findings).read(nodes[0], ())
    if findings:
        raise FindingsError(findings)
    return Document(file, value, lines)


def _content(node: tree_sitter.Node) -> list[tree_sitter.Node]:
    return [child for child in node.named_children if child.type != 'comment']


@attrs.frozen
class _Reader:
    """Converts syntax nodes into values."""

    file: str
    lines: dict[KeyPath, int]
    findings: list[Finding]

    def read(self, node: tree_sitter.Node, path: KeyPath) -> object:
        self.lines[path] = node.start_point.row + 1
        match node.type:
            case 'object':
                return self._read_object(node, path)
            case 'array':
                return [
                    self.read(child, (*path, index))
                    for index, child in enumerate(_content(node))
                ]
        return self._read_scalar(node)

    def _read_object(
        self,
        node: tree_sitter.Node,
        path: KeyPath,
    ) -> dict[str, object]:
        members: dict[str, object] = {}
        for pair in _content(node):
            key_node, value_node = _content(pair)
            key = str(self._read_scalar(key_node))
            if key in members:
                self.findings.append(
                    Finding(
                        self.file,
                        key_node.start_point.row + 1,
                        f'key {key!r} is duplicated',
                    ),
                )
            members[key] = self.read(value_node, (*path, key))
        return members

    def _read_scalar(self, node: tree_sitter.Node) -> object:
        # The parser accepts more than JSON does, such as numbers that end in a point.
        try:
            return msgspec.json.decode(node.text or b'null')
        except msgspec.DecodeError as error:
            line = node.start_point.row + 1
            self.findings.append(
                Finding(self.file, line, f'is not valid JSON: {error}')
            )
            return None


def suggest(name: str, known: Iterable[str]) -> str:
    """Return a hint with the closest known name, or an empty string."""
    matches = difflib.get_close_matches(name, list(known), n=1)
    return f'; did you mean {matches[0]!r}?' if matches else ''
