"""Parses and resolves model names: ``model[:adapter][@version]``."""

from typing import NamedTuple

from gypsumfold import configuration as configuration_module
from gypsumfold import exceptions
from gypsumfold import outcomes


class ModelName(NamedTuple):
    """The parts of a model name.

    >>> ModelName.parse("dispatch-lm:swaps@2")
    ModelName(model='dispatch-lm', adapter='swaps', version='2')
    """

    model: str
    adapter: str = ""
    version: str = ""

    @classmethod
    def parse(cls, text: str) -> "ModelName":
        """Splits a name into its parts."""
        base, _, version = text.partition("@")
        model, _, adapter = base.partition(":")
        return cls(model, adapter, version)


def resolve(
    configuration: configuration_module.Configuration, text: str
) -> tuple[str, str]:
    """Finds a model's service and the full name to request from engines.

    Args:
        configuration: The node's current configuration.
        text: The model name from the caller's request.

    Returns:
        The service, and the name with the model's default version if the
        caller named none and one is declared.

    Raises:
        exceptions.NotFound: The model, adapter or version is not declared.
    """
    name = ModelName.parse(text)
    declared = configuration.get("model", name.model)
    adapter = f"{name.model}:{name.adapter}"
    version = f"{name.model}@{name.version}"
    if (
        declared is None
        or (name.adapter and configuration.get("adapter", adapter) is None)
        or (name.version and configuration.get("version", version) is None)
    ):
        raise exceptions.NotFound(
            f"no model is declared as {text}", outcomes.Outcome.NOT_RUN
        )
    if name.version:
        return declared.service, text
    default = default_version(configuration, name.model)
    return declared.service, text + default


def default_version(
    configuration: configuration_module.Configuration, model: str
) -> str:
    """Returns ``@version`` for a model's default version, or ``""``."""
    for name, version in configuration.all("version").items():
        if version.model == model and version.default:
            return "@" + ModelName.parse(name).version
    return ""


def list_names(configuration: configuration_module.Configuration) -> list[str]:
    """Lists every model, adapter and version that callers can name."""
    found = []
    for kind in ("model", "adapter", "version"):
        found.extend(configuration.all(kind))
    return sorted(found)
