"""Time limits of the parts of a run. What is overdue is cancelled, and the run is not judged."""

import asyncio


class NotJudged(Exception):
    """Nothing can be said about the program, for the reason in the text."""


class RunFailed(NotJudged):
    """The rig could not play the run, which no other machine would change."""


async def within(seconds, what, coroutine):
    """Returns the result, or raises NotJudged without waiting for the cancelled rest."""
    task = asyncio.ensure_future(coroutine)
    await asyncio.wait({task}, timeout=seconds)
    if task.done():
        return task.result()
    task.cancel()
    raise NotJudged(f"{what} took longer than {seconds:g} s")
