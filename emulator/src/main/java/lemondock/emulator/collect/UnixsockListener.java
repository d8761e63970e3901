package lemondock.emulator.collect;

import java.io.BufferedReader;
import java.io.IOException;
import java.math.BigDecimal;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Emulates collectd's unixsock plugin: reads {@code PUTVAL} lines and sends the plugin's response
 * to each.
 */
public final class UnixsockListener implements AutoCloseable {
  private static final Pattern PUTVAL =
      Pattern.compile(
          "PUTVAL \"([^\"]+)\" interval=([0-9.]+)"
              + " ([0-9]+)(?:\\.([0-9]{3}))?((?::[-0-9.U]+)+)");

  private final ServerSocketChannel server;
  private final Path path;
  private final ReceivedReports received = new ReceivedReports();

  /** Listens on a Unix domain socket at a path, which must not exist yet. */
  public UnixsockListener(Path path) throws IOException {
    this.path = path;
    this.server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
    server.bind(UnixDomainSocketAddress.of(path));
    DaemonThreads.start("unixsock", this::accept);
  }

  /** The values received, by identifier. */
  public ReceivedReports received() {
    return received;
  }

  private void accept() {
    while (true) {
      try {
        SocketChannel channel = server.accept();
        DaemonThreads.start("unixsock-read", () -> serve(channel));
      } catch (IOException e) {
        return; // the listener was closed
      }
    }
  }

  private void serve(SocketChannel channel) {
    try (channel;
        BufferedReader lines =
            new BufferedReader(Channels.newReader(channel, StandardCharsets.UTF_8))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        channel.write(
            ByteBuffer.wrap(
                (readPutval(line, received)
                        ? "0 Success: 1 value has been dispatched.\n"
                        : "-1 Parsing failed.\n")
                    .getBytes(StandardCharsets.US_ASCII)));
      }
    } catch (IOException e) {
      // the gateway has disconnected
    }
  }

  /**
   * Parses one {@code PUTVAL} line as the exec and unixsock plugins do.
   *
   * @return false if the line is malformed, which is counted as unreadable
   */
  public static boolean readPutval(String line, ReceivedReports received) {
    Matcher matcher = PUTVAL.matcher(line);
    if (!matcher.matches()) {
      received.addUnreadable();
      return false;
    }
    List<BigDecimal> values = new ArrayList<>();
    for (String value : matcher.group(5).substring(1).split(":")) {
      values.add(value.equals("U") ? null : new BigDecimal(value));
    }
    received.add(
        matcher.group(1),
        Long.parseLong(matcher.group(3)) * 1000
            + (matcher.group(4) == null ? 0 : Long.parseLong(matcher.group(4))),
        values);
    return true;
  }

  @Override
  public void close() throws IOException {
    server.close();
    Files.deleteIfExists(path);
  }
}
