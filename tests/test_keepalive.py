"""Tests of the time after which connections to silent peers are closed."""

import asyncio
import socket

from tests import stub_server
from tests.gateway import GatewayHarness, build_request
from tests.stub_server import ReceivedRequest, StubServer

# More than the buffers of the kernel and of the gateway hold together.
BODY_BYTES = 12_000_000
# Callers may read nothing for this long.
PAUSE_S = 5.0


class SlowReaderTest(GatewayHarness):
    def test_a_caller_that_pauses_gets_its_whole_answer(self) -> None:
        async def large(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(stub_server.full_response(request, b"x" * BODY_BYTES))

        received = 0

        async def work() -> None:
            nonlocal received
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
                sock.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_connect(sock, ("127.0.0.1", self.port))
                data = build_request("/get/1", "Connection: close\r\n")
                await loop.sock_sendall(sock, data.replace(b": 1500", b": 20000"))
                await asyncio.sleep(PAUSE_S)
                while data := await loop.sock_recv(sock, 1_000_000):
                    received += len(data)

        self.run_gateway([StubServer([large])], work)
        self.assertTrue(received > BODY_BYTES, received)
