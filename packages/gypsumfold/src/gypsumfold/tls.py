"""TLS contexts built from settings, for callers, operators and peers."""

import ssl

from gypsumfold import exceptions
from gypsumfold import settings as settings_module


def server_context(
    section: settings_module.TLSSection | None,
) -> ssl.SSLContext | None:
    """Builds the context of a listening port.

    Args:
        section: The server's certificate, and the authority for client
            certificates if they are required.

    Returns:
        The context; None if TLS is off.

    Raises:
        exceptions.SettingsError: A file cannot be used.
    """
    if section is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    load(context, section)
    if section.authority:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def peer_context(
    section: settings_module.TLSSection | None,
) -> ssl.SSLContext | None:
    """Builds the context with which a node connects to its peers.

    Host names are not checked: peers are identified by IP number, and only
    nodes have certificates of the peers' authority.

    Args:
        section: The node's certificate and the peers' authority.

    Returns:
        The context; None if TLS is off.

    Raises:
        exceptions.SettingsError: A file cannot be used.
    """
    if section is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    load(context, section)
    return context


def load(context: ssl.SSLContext, section: settings_module.TLSSection) -> None:
    """Loads a section's certificate files into a context."""
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(section.certificate, section.key)
        if section.authority:
            context.load_verify_locations(section.authority)
    except (OSError, ssl.SSLError) as error:
        raise exceptions.SettingsError(
            section.certificate, "tls", str(error)
        ) from error
