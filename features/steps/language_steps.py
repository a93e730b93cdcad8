"""Steps on the statement language and fuzz of settings."""

import string

import behave
import hypothesis
from hypothesis import strategies as st
import msgspec

from gypsumfold import exceptions
from gypsumfold import objects
from gypsumfold import settings
from gypsumfold.operators import language
from gypsumfold.operators import statements

FUZZ = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)

TEXTS = st.text(st.characters(exclude_categories=["Cs"]), max_size=20)
NAMES = st.from_regex(r"[a-z][a-z0-9_]{0,8}", fullmatch=True)
VALUES = st.recursive(
    st.booleans()
    | st.integers(-(10**16), 10**16)
    | st.floats(allow_nan=False, allow_infinity=False)
    | TEXTS,
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=4,
)
# Values of the fields that have no plain type.
FIELDS = {
    "protocol": st.sampled_from(["engine", "plain"]),
    "role": st.sampled_from(language.ROLES),
    "address": st.just("127.0.0.1:80"),
    "token_sha256": st.just("ab" * 32),
    "urgency": st.integers(0, 9),
    "most_urgent": st.integers(0, 9),
    "target": st.floats(0.001, 0.999),
}
PLAIN = {
    str: TEXTS,
    bool: st.booleans(),
    float: st.floats(0.001, 1e300),
}


@st.composite
def changes_of_kind(draw, verb):
    kind = draw(st.sampled_from(sorted(objects.KINDS)))
    fields = {}
    for field in msgspec.structs.fields(objects.KINDS[kind]):
        if not field.required and draw(st.booleans()):
            continue
        kept = FIELDS.get(field.name) or PLAIN.get(field.type, PLAIN[float])
        fields[field.name] = draw(kept)
    if not fields:
        return statements.Drop(kind, draw(TEXTS))
    return verb(kind, draw(TEXTS), fields)


QUERIES = st.builds(
    statements.Show,
    NAMES,
    st.lists(
        st.builds(
            statements.Condition,
            NAMES,
            st.sampled_from(["=", "!=", "<", "<=", ">", ">="]),
            VALUES,
        ),
        max_size=3,
    ).map(tuple),
    st.lists(st.builds(statements.Sort, NAMES, st.booleans()), max_size=3).map(
        tuple
    ),
    st.none() | st.integers(0, 10**6),
)
STATEMENTS = (
    changes_of_kind(statements.Create)
    | changes_of_kind(statements.Alter)
    | st.builds(statements.Drain, TEXTS)
    | st.builds(statements.Resume, TEXTS)
    | st.builds(
        statements.Order,
        TEXTS,
        st.just("role"),
        st.sampled_from(language.ROLES),
    )
    | st.builds(
        statements.Order, TEXTS, st.sampled_from(["load", "unload"]), TEXTS
    )
    | st.builds(statements.Seize, TEXTS, TEXTS)
    | QUERIES
)
SOME_WORDS = """create drop show endpoint where and limit order by set [ ]
= ; , -- 2s 5 1e999 true name <= \\ " '"""
WORDS = st.lists(st.sampled_from(SOME_WORDS.split()), max_size=20).map(" ".join)


@behave.then("any statement survives being printed and parsed")
def step_round_trip(context):
    @FUZZ
    @hypothesis.given(st.lists(STATEMENTS, max_size=3))
    def check(listed):
        text = "\n".join(language.show(statement) for statement in listed)
        assert language.parse(text) == listed, text

    check()


@behave.then("any text is parsed or refused with a statement error")
def step_any_text(context):
    @FUZZ
    @hypothesis.given(st.text(max_size=60) | WORDS)
    @hypothesis.example("show a where b = " + "[" * 9000 + "]" * 9000 + ";")
    def check(text):
        try:
            language.parse(text)
        except exceptions.StatementError as error:
            assert error.reason

    check()


@behave.when("the statement {text} is parsed")
def step_parse(context, text):
    context.error = None
    try:
        language.parse(text)
    except exceptions.StatementError as error:
        context.error = error


@behave.then(
    "it is refused at line {line:d}, column {column:d}, expecting {expected}"
)
def step_place(context, line, column, expected):
    error = context.error
    assert error is not None
    assert (error.line, error.column) == (line, column), error
    assert expected in error.expected, error.expected


@behave.then("any settings text is parsed or refused with a settings error")
def step_any_settings(context):
    lines = st.sampled_from(
        [
            "[node]",
            "[callers]",
            "[peers]",
            'name = "a"',
            "port = 70000",
            "port = true",
            'secret = "0123456789abcdef"',
            "a.b = 1",
            "x = [1, {y = 2}]",
            "= 2",
            "heartbeat = nan",
        ]
    )

    @FUZZ
    @hypothesis.given(
        st.text(string.printable, max_size=60)
        | st.lists(lines, max_size=8).map("\n".join)
    )
    def check(text):
        try:
            settings.parse(text)
        except exceptions.SettingsError as error:
            assert error.reason

    check()
