package lemondock.net.nio;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import lemondock.net.Connection;
import lemondock.net.Network;
import org.junit.jupiter.api.Test;

class LoopbackPortTest {
  private static final int OTHER_SOCKETS = 2_000;
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  @Test
  void networkListenersCanRebindReservedPort() throws Exception {
    try (LoopbackPort port = LoopbackPort.reserve();
        ThreadLoop loop = new ThreadLoop("test", Throwable::printStackTrace);
        AsyncNetwork network = new AsyncNetwork(loop, 2, 2)) {
      for (int round = 0; round < 3; round++) {
        Network.Listener listener =
            network.listen(port.address(), 8, LoopbackPortTest::unexpectedHandler);
        try (Socket client = new Socket(LOOPBACK, port.number())) {
          assertTrue(client.isConnected());
        }
        listener.close();
      }
    }
  }

  @Test
  void secondListenerOnReservedPortIsRefused() throws IOException {
    try (LoopbackPort port = LoopbackPort.reserve();
        ServerSocket listener = new ServerSocket(port.number(), 1, LOOPBACK)) {
      assertEquals(port.number(), listener.getLocalPort());
      assertThrows(BindException.class, () -> new ServerSocket(port.number(), 1, LOOPBACK).close());
    }
  }

  @Test
  void connectionToReservedPortWithoutListenerIsRefused() {
    try (LoopbackPort port = LoopbackPort.reserve()) {
      assertThrows(ConnectException.class, () -> new Socket(LOOPBACK, port.number()).close());
    }
  }

  @Test
  void systemNeverAssignsReservedPortToOtherSockets() throws IOException {
    List<AutoCloseable> sockets = new ArrayList<>();
    try (LoopbackPort port = LoopbackPort.reserve();
        ServerSocket target = new ServerSocket(0, 1, LOOPBACK)) {
      for (int i = 0; i < OTHER_SOCKETS; i++) {
        ServerSocket listener = new ServerSocket(0, 1, LOOPBACK);
        sockets.add(listener);
        assertNotEquals(port.number(), listener.getLocalPort());
        Socket client = new Socket(LOOPBACK, target.getLocalPort());
        sockets.add(client);
        sockets.add(target.accept());
        assertNotEquals(port.number(), client.getLocalPort());
      }
    } finally {
      for (AutoCloseable socket : sockets) {
        closeQuietly(socket);
      }
    }
  }

  private static void closeQuietly(AutoCloseable socket) {
    try {
      socket.close();
    } catch (Exception e) {
      throw new AssertionError(e);
    }
  }

  private static Connection.Handler unexpectedHandler() {
    throw new AssertionError("no connection is served in this test");
  }
}
