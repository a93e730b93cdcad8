"""Finds the client account of each request by its key."""

from collections.abc import Callable
import time

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import client_keys
from gypsumfold.decisions import routes
from gypsumfold.gateway import configurations as configurations_module
from gypsumfold.gateway import types

# Seconds for which a request with an unknown key waits for a newer
# configuration at a node that may have missed one: reading it takes less.
MAX_WAIT_SECONDS = 0.5
# Largest age that is logged; JSON cannot express an infinite one.
MAX_AGE_SECONDS = 1e5
# Retry-After of a node that cannot tell whether a key is valid; other nodes
# may be able to.
RETRY_AFTER_SECONDS = 0.3


class Authenticator:
    """Admits requests by the keys of the configuration in force.

    Attributes:
        policy: How long keys remain valid at a node that missed a change.
        assess: Returns how recent the configuration is.
        refused: Number of requests refused for their key.

    >>> authenticator = Authenticator(configurations, policy, assess)
    >>> route, call = await authenticator.admit(configuration, route, call)
    """

    def __init__(
        self,
        configurations: configurations_module.Configurations,
        policy: client_keys.Policy,
        assess: Callable[[], client_keys.Knowledge],
    ):
        self.configurations = configurations
        self.policy = policy
        self.assess = assess
        self.refused = 0

    def check_key(
        self,
        configuration: types.Configuration,
        route: routes.Route,
        call: types.Call,
    ) -> None:
        """Refuses a request whose key is certainly unknown.

        Raises:
            exceptions.Unauthorized: No account holds its key.
        """
        if configuration.keys is None:
            return
        verdict = client_keys.decide(
            configuration.keys.find(call.key_digest),
            route.public,
            self.assess(),
            self.policy,
        )
        if verdict == client_keys.Verdict.REFUSE:
            raise self.refuse(call, verdict)

    async def admit(
        self,
        configuration: types.Configuration,
        route: routes.Route,
        call: types.Call,
    ) -> tuple[routes.Route, types.Call]:
        """Sets the account of a request, and the urgency it is served with.

        Args:
            configuration: The configuration in force when it arrived.
            route: Its route.
            call: The request.

        Returns:
            The route with the urgency of the account, if it has one, and the
            request with its account.

        Raises:
            exceptions.Unauthorized: No account holds its key.
            exceptions.Unavailable: This node cannot tell.
        """
        table = configuration.keys
        if table is None:
            return route, call
        account = table.find(call.key_digest)
        knowledge = self.assess()
        verdict = client_keys.decide(
            account, route.public, knowledge, self.policy
        )
        if verdict == client_keys.Verdict.WAIT:
            account = await self.find_in_newer(configuration.version, call)
            verdict = client_keys.decide(
                account, route.public, self.assess(), self.policy
            )
        if verdict != client_keys.Verdict.SERVE:
            raise self.refuse(call, verdict)
        if account is None:
            return route, call
        if account.urgency is not None:
            route = route._replace(urgency=account.urgency)
        return route, call._replace(account=account.name)

    def apply_account(
        self,
        configuration: types.Configuration,
        route: routes.Route,
        call: types.Call,
    ) -> routes.Route:
        """Returns a route with the urgency of an account found elsewhere.

        Raises:
            exceptions.PeerRefused: This node doesn't know the account.
        """
        if not call.account:
            return route
        account = None
        if configuration.keys is not None:
            account = configuration.keys.find_name(call.account)
        if account is None:
            raise exceptions.PeerRefused("the node doesn't know the account")
        if account.urgency is not None:
            route = route._replace(urgency=account.urgency)
        return route

    async def find_in_newer(
        self, version: int, call: types.Call
    ) -> client_keys.Account | None:
        """Waits for a configuration newer than a version, and searches it."""
        left = call.deadline - time.monotonic()
        configuration = await self.configurations.wait_for_newer(
            version, max(0.0, min(MAX_WAIT_SECONDS, left / 3))
        )
        if configuration is None or configuration.keys is None:
            return None
        return configuration.keys.find(call.key_digest)

    def refuse(
        self, call: types.Call, verdict: client_keys.Verdict
    ) -> exceptions.RequestError:
        """Logs a refusal and returns the error that answers the request."""
        self.refused += 1
        events.log(
            events.KEY_REFUSED,
            request=call.id,
            key=client_keys.fingerprint(call.key_digest),
            version=self.configurations.version(),
            announced=self.configurations.announced,
            behind=round(self.configurations.seconds_behind(), 3),
            age=round(min(self.assess().age, MAX_AGE_SECONDS), 3),
            certain=verdict == client_keys.Verdict.REFUSE,
        )
        if verdict == client_keys.Verdict.REFUSE:
            return exceptions.Unauthorized(
                "no account holds this key", outcomes.Outcome.NOT_RUN
            )
        return exceptions.Unavailable(
            "the node may lack the newest keys",
            outcomes.Outcome.NOT_RUN,
            RETRY_AFTER_SECONDS,
        )
