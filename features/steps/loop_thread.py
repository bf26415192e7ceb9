"""An event loop in a thread of its own, for servers that run beside the steps of a scenario."""

import asyncio
import threading


class LoopThread:
    """Runs servers until it is closed."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def open(self, listening):
        """Start the thread, and return once a coroutine has opened the servers in it."""
        self.thread.start()
        asyncio.run_coroutine_threadsafe(listening, self.loop).result(10)

    def run(self):
        """Run the loop until `close`, then end all that is left in it."""
        self.loop.run_forever()
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.loop.close()

    def close(self):
        """Stop the loop and wait for the thread's end."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)
