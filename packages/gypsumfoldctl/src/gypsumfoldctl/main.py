"""The `gypsumfoldctl` binary."""

import click


@click.group()
@click.version_option(package_name="gypsumfoldctl")
def main() -> None:
    """Steer gypsumfold by statements, and query what it does."""


if __name__ == "__main__":
    main()
