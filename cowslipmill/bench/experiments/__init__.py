"""One module for each experiment, with `async def run(context)`."""
