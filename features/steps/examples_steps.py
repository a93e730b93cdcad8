"""Steps on the examples and on docs/LANGUAGE.md."""

import pathlib
import re

import behave

from gypsumfold import settings
from gypsumfold.operators import language
from gypsumfold.operators import reference
from gypsumfoldctl import planning

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "LANGUAGE.md"


@behave.when('the example "{deployment}" is checked')
def step_example(context, deployment):
    folder = ROOT / "examples" / deployment
    context.settings = settings.load(folder / "node.toml")
    context.declared = planning.read([folder / "declarations.gf"])
    planning.check(context.declared)


@behave.then(
    "it has {engines:d} engines, {plain:d} plain replicas and "
    "{centres:d} data centres"
)
def step_sizes(context, engines, plain, centres):
    found = {"engine": 0, "plain": 0}
    places = {context.settings.node.data_centre}
    for (kind, _), statement in context.declared.items():
        if kind != "endpoint":
            continue
        service = context.declared["service", statement.fields["service"]]
        found[service.fields["protocol"]] += 1
        places.add(statement.fields["data_centre"])
    assert found == {"engine": engines, "plain": plain}, found
    assert len(places) == centres, places


@behave.then("each example on the language's page parses")
def step_page_parses(context):
    blocks = re.findall(r"```gf\n(.*?)```", PAGE.read_text(), re.DOTALL)
    assert len(blocks) >= 3, blocks
    context.parsed = []
    for block in blocks:
        context.parsed += language.parse(block)


@behave.then("each word of the grammar stands on the language's page")
def step_page_words(context):
    examples = {type(statement) for statement in context.parsed}
    kinds = set(language.statements.Statement.__args__)
    assert examples == kinds, kinds - examples
    text = PAGE.read_text()
    for terminal in language.parser().terminals:
        if terminal.pattern.type == "str":
            word = terminal.pattern.value
            assert word in text, word


@behave.then("the language's page has the tables that the code prints")
def step_page_tables(context):
    text = PAGE.read_text()
    assert reference.tables() in text, "print them again: see reference.py"
