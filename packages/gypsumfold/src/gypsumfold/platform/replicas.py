"""The client of replicas: requests, prefills, orders and reports."""

from collections.abc import Callable
import contextlib
import math
import time

import h11

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import answer_identity
from gypsumfold.gateway import connection_pool
from gypsumfold.gateway import connections
from gypsumfold.gateway import grants
from gypsumfold.gateway import pooled_answers
from gypsumfold.gateway import types
from gypsumfold.platform import decoding
from gypsumfold.platform import names
from gypsumfold.platform import request_fields
from gypsumfold.platform import statements

# Header fields of an answer that are not forwarded: those of the connection,
# and the length, which is set anew.
NOT_FORWARDED = names.HOP_BY_HOP | {b"content-length"}
# Largest body of a report, a handle or an order's answer, and of a list of
# cached prefix blocks.
MAX_REPORT_BYTES = 1024 * 1024
MAX_LIST_BYTES = 8 * 1024 * 1024
ATTEMPT_FIELD = names.ATTEMPT.lower().encode()
NOT_RUN_FIELD = names.NOT_RUN.lower().encode()
# The node's own calls. An earlier report or list is only a moment old, and
# nothing is read from the answer to a dropped handle; an earlier answer to an
# order would be a wrong one.
REPORT = answer_identity.Identity(call="report", is_repeatable=True)
CACHE_LIST = answer_identity.Identity(call="cache-list", is_repeatable=True)
DROP = answer_identity.Identity(call="drop", is_repeatable=True)
ORDER = answer_identity.Identity(call="order")


class Replicas:
    """Calls to replicas over pooled connections.

    Attributes:
        statement_listener: Called with what each answer says of its replica,
            as in `types.Endpoints`.
        admission: Called before anything is sent to a replica.

    >>> replicas = Replicas(connection_pool.Pool())
    >>> answer = await replicas.send(replica, call, instructions)
    """

    def __init__(self, pool: connection_pool.Pool):
        self.pool = pool
        self.statement_listener: Callable[
            [types.Replica, types.Statement], None
        ] = lambda replica, statement: None
        self.admission: Callable[[types.Replica], None] = lambda replica: None

    def is_connected(self, replica: types.Replica) -> bool:
        """Whether a connection to the replica is open."""
        return self.pool.is_connected(replica)

    async def send(
        self,
        replica: types.Replica,
        call: types.Call,
        instructions: types.Instructions,
    ) -> types.Answer:
        """Sends a request and waits for the head of its answer.

        Raises:
            exceptions.EndpointNotStarted: Nothing of it can have run.
            exceptions.AnswerBroken: It may have run.
        """
        fields = list(call.fields)
        if instructions.last_event:
            # If the caller has resumed, its own field names an earlier event.
            fields = request_fields.remove_field(fields, names.LAST_EVENT)
        fields += request_fields.instruction_fields(replica, instructions)
        if call.account:
            fields.append((names.ACCOUNT.encode(), call.account.encode()))
        answer = await self.exchange(
            replica,
            call.method,
            call.target,
            fields,
            call.body,
            answer_identity.Identity(attempt=call.id),
        )
        found = {name.lower(): value for name, value in answer.fields}
        if answer.status == 421:
            await answer.drain()
            raise exceptions.EndpointMismatch(
                f"{replica.instance} has another role or is gone"
            )
        if not answer.statement.names_rate:
            # Only answers to callers' requests are known to name a limit for
            # as long as it holds.
            self.statement_listener(
                replica,
                types.Statement(answer.statement.sent_at, rate=math.inf),
            )
        if answer.status < 300 and b"content-encoding" in found:
            answer.close()
            raise exceptions.AnswerBroken("the answer is encoded")
        answer.sealed = names.SEAL.lower().encode() in found
        answer.not_run = names.NOT_RUN.lower().encode() in found
        if answer.not_run:
            events.log(
                events.RUN_REJECTED,
                request=call.id,
                instance=replica.instance,
                status=answer.status,
                connection=answer.connection.number,
                exchange=answer.connection.sent.count,
                seconds=round(time.monotonic() - answer.statement.sent_at, 4),
            )
        answer.fields = tuple(
            (name, value)
            for name, value in answer.fields
            if name.lower() not in NOT_FORWARDED
        )
        return answer

    async def prefill(
        self,
        replica: types.Replica,
        call: types.Call,
        instructions: types.Instructions,
    ) -> types.Handle:
        """Has an engine prefill a prompt and keep its KV cache.

        Raises:
            exceptions.EndpointRefused: The engine refused it.
            exceptions.EndpointNotStarted: It cannot be reached.
            exceptions.EndpointFailed: It failed.
            exceptions.AnswerBroken: Its result is unknown.
        """
        answer = await self.send(replica, call, instructions)
        try:
            if answer.status != 200:
                await answer.drain()
                if answer.status >= 500 and not answer.not_run:
                    raise exceptions.EndpointFailed(
                        f"{replica.instance} answered {answer.status}"
                    )
                raise exceptions.EndpointRefused(
                    f"{replica.instance} answered {answer.status}"
                )
            body = await answer.read(MAX_REPORT_BYTES)
        finally:
            answer.close()
        try:
            handle = decoding.decode_handle(body)
        except exceptions.RecordInvalid as error:
            raise exceptions.AnswerBroken(str(error)) from error
        return types.Handle(
            replica.instance, replica.address, handle, replica.started_at
        )

    async def drop(self, replica: types.Replica, handle: types.Handle) -> None:
        """Frees a KV cache that no engine will use.

        Raises:
            exceptions.EndpointError: The engine could not be reached.
        """
        path = names.HANDLE_PATH + handle.id
        await self.ask(replica, DROP, "DELETE", path)

    async def state(
        self, replica: types.Replica, fresh: bool = False
    ) -> types.State:
        """Asks an engine for its state.

        Args:
            replica: The engine.
            fresh: Whether to open a new connection in any case.

        Raises:
            exceptions.EndpointError: The engine does not report it.
            exceptions.RecordInvalid: The answer is malformed.
        """
        status, body = await self.ask(
            replica, REPORT, "GET", names.REPORT_PATH, fresh=fresh
        )
        if status == 421:
            raise exceptions.EndpointMismatch(f"{replica.instance} is gone")
        if status != 200:
            raise exceptions.EndpointRefused(f"a report ended with {status}")
        return decoding.decode_state(body)

    async def cache_list(self, replica: types.Replica) -> types.CacheList:
        """Asks an engine which prefix blocks it has cached.

        Raises:
            exceptions.EndpointError: The engine does not report it.
            exceptions.RecordInvalid: The answer is malformed.
        """
        status, body = await self.ask(
            replica,
            CACHE_LIST,
            "GET",
            names.CACHE_LIST_PATH,
            limit=MAX_LIST_BYTES,
        )
        if status != 200:
            raise exceptions.EndpointRefused(f"a list ended with {status}")
        return decoding.decode_cache_list(body)

    async def order(
        self, replica: types.Replica, order: types.Order, grant: grants.Grant
    ) -> bool:
        """Sends an order; returns False if it is in effect already.

        Raises:
            exceptions.AuthorityEnded: The permission ended; nothing was sent.
            exceptions.OrderRefused: The engine will not carry it out.
            exceptions.EndpointError: Its result is unknown.
        """
        body = decoding.encode_order(order)
        status, _ = await self.ask(
            replica, ORDER, "POST", names.ORDER_PATH, body, grant=grant
        )
        if status not in (200, 202):
            raise exceptions.OrderRefused(f"an order ended with {status}")
        return status == 202

    async def ask(
        self,
        replica: types.Replica,
        identity: answer_identity.Identity,
        method: str,
        path: str,
        body: bytes | None = None,
        fresh: bool = False,
        limit: int = MAX_REPORT_BYTES,
        grant: grants.Grant | None = None,
    ) -> tuple[int, bytes]:
        """Makes a call of the node's own; returns status and body.

        Args:
            replica: The replica.
            identity: The kind of call.
            method: HTTP method.
            path: Path.
            body: JSON to send, if any.
            fresh: Whether to open a new connection in any case.
            limit: Largest number of bytes of the answer's body.
            grant: The permission for a call under the authority.

        Raises:
            exceptions.AuthorityEnded: The permission ended; nothing was sent.
            exceptions.EndpointError: It was not answered completely.
        """
        fields = [
            (b"Host", replica.address.encode()),
            (names.EXPECTED_INSTANCE.encode(), replica.instance.encode()),
        ]
        if body is not None:
            fields.append((b"Content-Type", b"application/json"))
        answer = await self.exchange(
            replica, method, path, fields, body, identity, fresh, grant
        )
        with contextlib.closing(answer):
            return answer.status, await answer.read(limit)

    async def exchange(
        self,
        replica: types.Replica,
        method: str,
        target: str,
        fields: list[tuple[bytes, bytes]],
        body: bytes | None,
        identity: answer_identity.Identity = answer_identity.ANONYMOUS,
        fresh: bool = False,
        grant: grants.Grant | None = None,
    ) -> pooled_answers.PooledAnswer:
        """Sends one request and waits for the head of its answer.

        Raises:
            exceptions.AuthorityEnded: The permission ended; nothing was sent.
            exceptions.EndpointWithheld: The replica may be sent nothing now.
            exceptions.EndpointNotStarted: Nothing of it can have run.
            exceptions.AnswerBroken: It may have run.
        """
        if body is not None:
            length = str(len(body)).encode()
            fields = [*fields, (b"Content-Length", length)]
        self.admission(replica)
        connection = await self.pool.acquire(
            replica.address, replica.instance, fresh, identity
        )
        try:
            # The replica may have asked to back off meanwhile.
            self.admission(replica)
            if grant is not None:
                connection.permit(grant, replica.instance)
        except (exceptions.EndpointWithheld, exceptions.AuthorityEnded):
            self.pool.put_back(replica.address, replica.instance, connection)
            raise
        done = False
        sent_at = time.monotonic()
        try:
            connection.request(
                method, target, tuple(fields), body or b"", identity
            )
            event = await connection.next_event()
            done = isinstance(event, h11.Response)
        finally:
            if not done:
                connection.abort()
        if not done:
            raise exceptions.AnswerBroken("the replica closed unanswered")
        if event.status_code > names.HIGHEST_STATUS:
            connection.abort()
            raise exceptions.AnswerBroken(
                f"{event.status_code} is no status of an answer"
            )
        attempt = ""
        not_run = False
        for name, value in event.headers:
            if name == b"keep-alive":
                connection.idle_timeout = connections.parse_idle_timeout(value)
            elif name == ATTEMPT_FIELD:
                attempt = value.decode("latin-1")
            elif name == NOT_RUN_FIELD:
                not_run = True
        mismatch = connection.sent.find_mismatch(identity, attempt, not_run)
        if mismatch:
            connection.abort()
            raise exceptions.AnswerBroken(
                f"{mismatch} (connection {connection.number}, "
                f"exchange {connection.sent.count})"
            )
        answer = pooled_answers.PooledAnswer(
            self.pool, replica, connection, method, event
        )
        answer.statement = statements.read(
            replica.instance, answer.status, answer.fields, sent_at
        )
        if answer.status != 421:
            # Another instance may have given that answer.
            self.statement_listener(replica, answer.statement)
        return answer
