"""A core VM is replaced as planned; right after, two others lose their disks."""

import signal
import time
from pathlib import Path

from standins import TROUBLE, CannotRun, Record, System, main, manifest, route

CATCH_UP_S = 4.0
RECOVER_S = 12.0
ACK_S = 4.0
# Two machines are lost so long after the old one has left.
AFTER_LEAVING_S = 1.0
DOWN_S = 2.0
READ_LIMIT_S = 20.0


def case(system: System, record: Record) -> bool:
    """Returns whether the core can be read and changed after it all."""

    def document(version: int) -> bytes:
        return manifest(version, [route("r", "/app/", "app")], ("app",))

    system.platform.add_worker("w-1", "zone-a", "app")
    system.start(cores=5, gateways=0)
    if system.order("/-/Config.Replace", document(1), 30.0) is None:
        raise CannotRun("the first manifest is not acknowledged")
    old = system.leader() or system.cores[0]
    successor = system.add_core()
    successor.start()
    record.write("planned: the successor has started")
    # The successor counts as lost until `catchUpS` after its start; one second more.
    time.sleep(CATCH_UP_S + 1.0)
    if system.order("/-/Config.Replace", document(2), 10.0) is None:
        raise CannotRun("the second manifest is not acknowledged")
    assert old.process is not None
    old.signal(signal.SIGTERM)
    old.process.wait(9.0)
    record.write(f"planned: {old.name} has left for good")
    time.sleep(AFTER_LEAVING_S)
    if TROUBLE:
        others = [core for core in system.cores if core not in (old, successor)]
        lost = others[:2]
        for core in lost:
            core.kill()
            core.wipe()
        time.sleep(DOWN_S)
        for core in lost:
            core.start()
        record.write("both are back, with empty disks")
    time.sleep(RECOVER_S)
    record.write("recoverS is over")
    version = system.read_version(READ_LIMIT_S)
    record.write(f"read back: version {version}")
    acked = system.order("/-/Config.Replace", document(3), READ_LIMIT_S)
    record.write(
        f"a further manifest: {'acknowledged' if acked else 'not acknowledged'}"
    )
    return version >= 2 and acked is not None


main(Path(__file__).parent, case)
