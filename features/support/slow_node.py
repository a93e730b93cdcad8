"""A node to which a busy machine gives no processor as it opens its ports.

Run in place of `gypsumfold.main`; nothing else differs.
"""

import asyncio

from gypsumfold import main
from gypsumfold import node as node_module

# Seconds for each port.
SECONDS = 0.5
listen = node_module.Node.listen


async def listen_late(node, *arguments):
    """Opens a port after a while, in which other tasks go on."""
    await asyncio.sleep(SECONDS)
    return await listen(node, *arguments)


if __name__ == "__main__":
    node_module.Node.listen = listen_late
    main.main()
