"""Looks up the account and the kind of a caller's request."""

import hashlib
import hmac

from aiohttp import web

from gypsumfold import configuration as configuration_module
from gypsumfold import exceptions
from gypsumfold import objects
from gypsumfold import outcomes

# The request header that names the request's kind.
KIND_HEADER = "Gypsumfold-Kind"
# Urgency of a request without a declared kind: the middle of 0 to 9.
DEFAULT_URGENCY = 5


def find_account(
    configuration: configuration_module.Configuration, request: web.Request
) -> str:
    """Finds the account of a request by its bearer token.

    Args:
        configuration: The node's current configuration.
        request: The caller's HTTP request.

    Returns:
        The account's name.

    Raises:
        exceptions.Unauthorized: No account has this token.
    """
    header = request.headers.get("Authorization", "")
    scheme, _, token = header.partition(" ")
    if scheme.lower() == "bearer" and token:
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        for name, account in configuration.all("account").items():
            if hmac.compare_digest(account.token_sha256, digest):
                return name
    raise exceptions.Unauthorized(
        "no account has this bearer token", outcomes.Outcome.NOT_RUN
    )


def find_kind(
    configuration: configuration_module.Configuration,
    service: str,
    name: str,
    fallback: objects.Kind,
) -> tuple[str, objects.Kind]:
    """Finds the kind of a request.

    Args:
        configuration: The node's current configuration.
        service: The requested service.
        name: The kind that the caller named; empty for the service's
            default.
        fallback: Used if no name is given and no default is declared.

    Returns:
        The kind's name and its declaration.

    Raises:
        exceptions.RequestInvalid: The service has no kind of this name.
    """
    default = ("", fallback)
    for kind, declared in configuration.all("kind").items():
        if declared.service != service:
            continue
        if kind == name:
            return kind, declared
        if declared.default:
            default = (kind, declared)
    if name:
        raise exceptions.RequestInvalid(
            f"service {service} has no kind {name}", outcomes.Outcome.NOT_RUN
        )
    return default
