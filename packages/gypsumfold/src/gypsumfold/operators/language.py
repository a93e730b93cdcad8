"""Parses operators' statements and prints them again.

The grammar stands in ``language.lark``; kinds and fields are checked against
`gypsumfold.objects`, so that an error names its place in the text.
"""

import functools
import importlib.resources
import math

import lark
import msgspec

from gypsumfold import exceptions
from gypsumfold import objects
from gypsumfold.operators import statements

# Seconds of each unit that a duration may be written in.
UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}

ROLES = ("mixed", "prefill", "decode")

# Deeper lists have no use in a declaration, and what prints and encodes them
# calls itself for each level.
DEEPEST_LIST = 8


@functools.cache
def parser() -> lark.Lark:
    """Builds the parser once; LALR(1), so linear and without recursion."""
    text = importlib.resources.files(__package__) / "language.lark"
    return lark.Lark(text.read_text(), parser="lalr", transformer=_Builder())


def parse(text: str) -> list[statements.Statement]:
    """Parses statements that are separated by semicolons.

    Args:
        text: For example ``drain endpoint "dispatch-lm-1";``.

    Returns:
        The statements in their order.

    Raises:
        exceptions.StatementError: With line, column and what was expected.
    """
    try:
        return parser().parse(text)
    except lark.UnexpectedInput as error:
        raise _syntax_error(error, text) from error


def _syntax_error(
    error: lark.UnexpectedInput, text: str
) -> exceptions.StatementError:
    """Turns the parser's error into ours."""
    expected = getattr(error, "accepts", None) or getattr(
        error, "allowed", None
    )
    if not expected:
        expected = getattr(error, "expected", ())
    words = tuple(sorted({describe(name) for name in expected}))
    line, column = error.line, error.column
    token = getattr(error, "token", None)
    if token is not None and token.type == "$END":
        line = text.count("\n") + 1
        column = len(text) - text.rfind("\n")
        return exceptions.StatementError(
            "the text ends too early", line, column, words
        )
    found = token if token is not None else text[error.pos_in_stream]
    return exceptions.StatementError(
        f"unexpected {str(found)!r}", line, column, words
    )


def describe(terminal: str) -> str:
    """Names a terminal of the grammar for an error message.

    Args:
        terminal: Its name in the parser, such as ``SEMICOLON``.

    Returns:
        What an operator would write there.
    """
    names = {
        "NAME": "a name",
        "STRING": "a string",
        "INTEGER": "a whole number",
        "NUMBER": "a number",
        "DURATION": "a duration",
        "OPERATOR": "a comparison",
        "$END": "the end",
    }
    if terminal in names:
        return names[terminal]
    for definition in parser().terminals:
        if definition.name == terminal:
            return f"'{definition.pattern.value}'"
    return terminal


def _fail(reason: str, token: lark.Token, expected=()):
    raise exceptions.StatementError(
        reason, token.line, token.column, tuple(expected)
    )


class _Builder(lark.Transformer):
    """Turns the parse tree into statements, checking kinds and fields."""

    def start(self, children):
        return children

    def create(self, children):
        kind, name, *rest = children
        fields = rest[0] if rest else {}
        object_type = _object_type(kind)
        values = _checked(object_type, str(kind), fields)
        for field in msgspec.structs.fields(object_type):
            if field.required and field.name not in values:
                _fail(f"{kind} needs the field {field.name}", kind)
        return statements.Create(str(kind), _text(name), values)

    def alter(self, children):
        kind, name, fields = children
        values = _checked(_object_type(kind), str(kind), fields)
        return statements.Alter(str(kind), _text(name), values)

    def drop(self, children):
        kind, name = children
        _object_type(kind)
        return statements.Drop(str(kind), _text(name))

    def drain(self, children):
        return statements.Drain(_text(children[0]))

    def resume(self, children):
        return statements.Resume(_text(children[0]))

    def order(self, children):
        endpoint, (verb, argument) = children
        return statements.Order(_text(endpoint), verb, argument)

    def role(self, children):
        if children[0] not in ROLES:
            _fail(f"no role is named {children[0]}", children[0], ROLES)
        return "role", str(children[0])

    def load(self, children):
        return "load", _text(children[0])

    def unload(self, children):
        return "unload", _text(children[0])

    def seize(self, children):
        service, incarnation = children
        return statements.Seize(_text(service), _text(incarnation))

    def show(self, children):
        source, *clauses = children
        return statements.Show(str(source), **dict(clauses))

    def where(self, children):
        return "where", tuple(children)

    def condition(self, children):
        column, operator, value = children
        return statements.Condition(str(column), str(operator), value)

    def order_by(self, children):
        return "order", tuple(children)

    def sort(self, children):
        column, *direction = children
        descending = bool(direction) and direction[0].type == "DESCENDING"
        return statements.Sort(str(column), descending)

    def limit(self, children):
        count = int(children[0])
        if count < 0:
            _fail("a limit cannot be negative", children[0])
        return "limit", count

    def settings(self, children):
        fields = {}
        for name, value in children:
            if name in fields:
                _fail(f"the field {name} is set twice", name)
            fields[name] = value
        return fields

    def setting(self, children):
        return tuple(children)

    def string(self, children):
        return _text(children[0])

    def number(self, children):
        token = children[0]
        if token.type == "INTEGER":
            if len(token) > 18:
                _fail("the number is too large", token)
            return int(token)
        if not math.isfinite(float(token)):
            _fail("the number is too large", token)
        return float(token)

    def duration(self, children):
        digits = children[0].rstrip("mhs")
        seconds = float(digits) * UNITS[children[0][len(digits) :]]
        if not math.isfinite(seconds):
            _fail("the duration is too long", children[0])
        return seconds

    def boolean(self, children):
        return children[0].type == "TRUE"

    def list(self, children):
        if _depth(children) > DEEPEST_LIST:
            raise exceptions.StatementError(
                f"lists go deeper than {DEEPEST_LIST} levels"
            )
        return children


def _depth(value: statements.Value) -> int:
    if not isinstance(value, list):
        return 0
    return 1 + max(map(_depth, value), default=0)


def _text(token: lark.Token) -> str:
    """Reads a string, which is written as in JSON."""
    try:
        return msgspec.json.decode(token.value, type=str)
    except (msgspec.DecodeError, UnicodeEncodeError) as error:
        _fail(f"the string is not valid: {error}", token)


def _object_type(kind: lark.Token) -> type[objects.Object]:
    if kind not in objects.KINDS:
        _fail(f"no kind is named {kind}", kind, sorted(objects.KINDS))
    return objects.KINDS[kind]


def _checked(
    object_type: type[objects.Object], kind: str, fields: dict
) -> dict[str, statements.Value]:
    """Checks each field's name and value by the object's type."""
    types = {f.name: f.type for f in msgspec.structs.fields(object_type)}
    values = {}
    for token, value in fields.items():
        if token not in types:
            _fail(f"{kind} has no field {token}", token, sorted(types))
        try:
            msgspec.convert(value, types[token])
        except msgspec.ValidationError as error:
            _fail(f"{token}: {error}", token)
        values[str(token)] = value
    return values


def show(statement: statements.Statement) -> str:
    """Prints one statement so that it parses to itself again.

    Args:
        statement: Any statement.

    Returns:
        Its text, with the semicolon.
    """
    match statement:
        case statements.Create(kind, name, fields):
            head = f"create {kind} {_quoted(name)}"
            return f"{head}{_settings(fields)};"
        case statements.Alter(kind, name, fields):
            return f"alter {kind} {_quoted(name)}{_settings(fields)};"
        case statements.Drop(kind, name):
            return f"drop {kind} {_quoted(name)};"
        case statements.Drain(endpoint):
            return f"drain endpoint {_quoted(endpoint)};"
        case statements.Resume(endpoint):
            return f"resume endpoint {_quoted(endpoint)};"
        case statements.Order(endpoint, verb, argument):
            return f"order endpoint {_quoted(endpoint)} " + (
                f"role {argument};"
                if verb == "role"
                else f"{verb} model {_quoted(argument)};"
            )
        case statements.Seize(service, incarnation):
            holder = _quoted(incarnation)
            return f"seize service {_quoted(service)} from {holder};"
    return _query(statement)


def _query(query: statements.Show) -> str:
    text = f"show {query.source}"
    if query.where:
        conditions = []
        for column, operator, value in query.where:
            conditions.append(f"{column} {operator} {print_value(value)}")
        text += " where " + " and ".join(conditions)
    if query.order:
        sorts = []
        for column, descending in query.order:
            sorts.append(f"{column} desc" if descending else column)
        text += " order by " + ", ".join(sorts)
    if query.limit is not None:
        text += f" limit {query.limit}"
    return f"{text};"


def _settings(fields: dict[str, statements.Value]) -> str:
    if not fields:
        return ""
    parts = [f"{name} = {print_value(v)}" for name, v in fields.items()]
    return " set " + ", ".join(parts)


def print_value(value: statements.Value) -> str:
    """Prints a value as it may stand in a statement.

    Args:
        value: A string, number, boolean or list of values.

    Returns:
        Its text.
    """
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return _quoted(value)
    if isinstance(value, list | tuple):
        return "[" + ", ".join(print_value(item) for item in value) + "]"
    return repr(value)


def _quoted(text: str) -> str:
    return msgspec.json.encode(text).decode()
