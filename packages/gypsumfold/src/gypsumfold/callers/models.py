"""Model names as callers give them: ``model[:adapter][@version]``."""

from typing import NamedTuple

from gypsumfold import configuration as configuration_module
from gypsumfold import exceptions
from gypsumfold import outcomes


class ModelName(NamedTuple):
    """A model name, taken apart.

    >>> ModelName.parse("dispatch-lm:swaps@2")
    ModelName(model='dispatch-lm', adapter='swaps', version='2')
    """

    model: str
    adapter: str = ""
    version: str = ""

    @classmethod
    def parse(cls, text: str) -> "ModelName":
        """Takes a name apart."""
        base, _, version = text.partition("@")
        model, _, adapter = base.partition(":")
        return cls(model, adapter, version)


def resolve(
    configuration: configuration_module.Configuration, text: str
) -> tuple[str, str]:
    """Finds the service of a model and the full name to ask engines for.

    Args:
        configuration: In force on this node.
        text: As the caller gave it.

    Returns:
        The service, and the name with the model's default version if the
        caller named none and one is declared.

    Raises:
        exceptions.NotFound: No such model, adapter or version.
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
    """Gives ``@version`` of a model's default version, or nothing."""
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
