"""Guards the start of the daemons, while signals have no handlers yet."""

import asyncio
import os
import signal
import sys
import tempfile
import unittest
from pathlib import Path

EXIT_BAD_SETTINGS = 2
WAIT_S = 30.0

# Modules that a node needs, and that its entry point imports only after it ignores the signal.
LATER = {"jacinthsail.platform.daemon": "jacinthsail.errors", "jacinthsail.daemon": "capnp"}

DAEMONS = {
    "jacinthsail.platform.daemon": [],
    "jacinthsail.daemon": ["--settings"],
}


class StartTest(unittest.IsolatedAsyncioTestCase):
    async def test_reload_signal_during_the_start_does_not_end_the_process(self):
        """SIGHUP ended a node that had just been started; the settings may change at any time."""
        for module, flags in DAEMONS.items():
            with self.subTest(module=module), tempfile.TemporaryDirectory() as folder:
                await self.send_reload_while_settings_are_read(module, flags, folder)

    async def send_reload_while_settings_are_read(self, module, flags, folder):
        # The process waits for the content of a named pipe, before it installs its handlers.
        path = Path(folder) / "settings.toml"
        os.mkfifo(path)
        arguments = [*flags, str(path)] if flags else []
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            env={**os.environ, "JACINTHSAIL_CONFIG": str(path)},
            stderr=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
        )
        try:
            loop = asyncio.get_running_loop()
            pipe = await loop.run_in_executor(None, open, path, "w")
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.2)
            pipe.write("not = [valid")
            pipe.close()
            async with asyncio.timeout(WAIT_S):
                self.assertEqual(await process.wait(), EXIT_BAD_SETTINGS)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def test_entry_points_import_little(self):
        """The signal would have its default action while all modules of a node are imported."""
        for module in DAEMONS:
            with self.subTest(module=module):
                text = f"import sys, {module}; sys.exit({LATER[module]!r} in sys.modules)"
                process = await asyncio.create_subprocess_exec(sys.executable, "-c", text)
                self.assertEqual(await process.wait(), 0)
