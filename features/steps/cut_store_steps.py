"""Steps on answers of the store and the operations API that are cut."""

import behave
from features.support import cut_stores

from gypsumfold.platform import store


@behave.when(
    "the store's answers in {framing} to {name} are {ends} after each byte"
)
def step_store(context, framing, name, ends):
    context.call = cut_stores.STORE_CALLS[name]
    context.name = name
    context.framing = framing
    context.outcomes = cut_stores.cut_store(
        context.call, framing, ends, is_kept=name in ("put at", "join")
    )


@behave.then(
    "each gives its whole result or an error, and no write comes twice"
)
def step_store_sound(context):
    whole = context.outcomes[-1].result
    assert not isinstance(whole, Exception), whole
    answer = cut_stores.whole_answer(context.framing, context.call.body)
    head_size = answer.index(b"\r\n\r\n") + 4
    for size, result, requests in context.outcomes[:-1]:
        # Reads may be sent again by the HTTP library.
        limit = 2 if context.name in ("newest", "read") else 1
        assert requests <= limit, (size, requests)
        if isinstance(result, Exception):
            continue
        assert size >= head_size, (size, result)
        if isinstance(result, store.Page) and context.name == "read":
            # The records that came whole; the next read goes on after them.
            count = len(result.records)
            assert result.records == whole.records[:count], (size, result)
            assert result.end == count > 0, (size, result)
            continue
        assert not context.call.is_told_by_body, (size, result)


@behave.when(
    "the operations API's answers in {framing} are {ends} after each byte"
)
def step_operations(context, framing, ends):
    context.call = cut_stores.OPERATION_CALLS["usage"]
    context.framing = framing
    context.outcomes = cut_stores.cut_operations(context.call, framing, ends)


@behave.then(
    "a report counts as accepted only after a whole head, and comes once"
)
def step_operations_sound(context):
    answer = cut_stores.whole_answer(context.framing, context.call.body)
    head_size = answer.index(b"\r\n\r\n") + 4
    assert not isinstance(context.outcomes[-1].result, Exception)
    for size, result, requests in context.outcomes:
        assert requests == 1, (size, requests)
        assert size >= head_size or isinstance(result, Exception), size
