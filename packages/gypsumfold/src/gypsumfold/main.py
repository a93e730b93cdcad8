"""The `gypsumfold` binary: runs a node, checks settings."""

import pathlib
import sys

import click

from gypsumfold import exceptions
from gypsumfold import settings as settings_module

# Exit code of a settings file that cannot be used (sysexits EX_CONFIG).
EXIT_SETTINGS = 78


@click.group()
@click.version_option(package_name="gypsumfold")
def main() -> None:
    """Gypsumfold serves language models on a fixed fleet of engines."""


@main.command("check-settings")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check_settings(file: pathlib.Path) -> None:
    """Check FILE and name the offending key, the reason and the line."""
    try:
        settings = settings_module.load(file)
    except exceptions.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_SETTINGS)
    click.echo(f"{file}: settings of node {settings.node.name} are valid")


if __name__ == "__main__":
    main()
