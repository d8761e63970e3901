package lemondock.exporter.collectd;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import lemondock.exporter.Destination;
import lemondock.exporter.Dialer;
import lemondock.exporter.SnapshotRing;
import lemondock.net.DatagramSender;
import lemondock.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports as datagrams. Packets are made one at a time and sent a few at a time, so that a large
 * snapshot does not overrun the system's buffer. What the network loses nobody tells; counters are
 * cumulative, so the next packet makes up for it. Where the peer's machine says that nobody
 * listens, the snapshot is sent again later.
 */
public final class DatagramDestination implements Destination {
  private static final Logger LOG = LoggerFactory.getLogger(DatagramDestination.class);
  private static final int AT_ONCE = 16;
  private static final long PAUSE = 2_000;
  private static final int AGAIN = 2;

  private final Loop loop;
  private final String name;
  private final String host;
  private final int port;
  private final Dialer.Resolver resolver;
  private final DatagramSender.Opener opener;
  private final Packets packets;
  private final SnapshotRing.Cursor cursor;
  private final int most;
  private final long wait;
  private final Figures figures = new Figures();
  private final ArrayDeque<ByteBuffer> notices = new ArrayDeque<>();
  private DatagramSender socket;
  private boolean resolving;
  private boolean pausing;
  private boolean stopped;
  private boolean saidDown;
  private SnapshotRing.View current;
  private ByteBuffer unsent;
  private int at;
  private Runnable done;

  /**
   * Makes a destination that gets what is in the ring from now on.
   *
   * @param most snapshots that may wait for it
   * @param wait microseconds until a failure is tried again
   */
  public DatagramDestination(
      Loop loop,
      String name,
      String host,
      int port,
      Dialer.Resolver resolver,
      DatagramSender.Opener opener,
      Packets packets,
      SnapshotRing ring,
      int most,
      long wait) {
    this.loop = loop;
    this.name = name;
    this.host = host;
    this.port = port;
    this.resolver = resolver;
    this.opener = opener;
    this.packets = packets;
    this.cursor = ring.cursor();
    this.most = most;
    this.wait = wait;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public Figures figures() {
    return figures.seen(cursor, most, current != null);
  }

  @Override
  public void notice(long stampMillis, boolean fell, String line) {
    if (notices.size() < AT_ONCE) {
      notices.add(
          packets.notification(
              stampMillis, fell ? Packets.Severity.WARNING : Packets.Severity.OKAY, line));
    }
    pump();
  }

  @Override
  public void pump() {
    if (stopped || pausing || resolving) {
      return;
    }
    if (socket == null) {
      open();
      return;
    }
    for (int i = 0; i < AT_ONCE; i++) {
      if (!send()) {
        return;
      }
    }
    pause(PAUSE);
  }

  private void open() {
    resolving = true;
    resolver.resolve(host, port, this::opened, this::down);
  }

  private void opened(InetSocketAddress address) {
    resolving = false;
    try {
      socket = opener.open(address);
      figures.connects++;
      pump();
    } catch (IOException e) {
      down(e.getMessage());
    }
  }

  /** Sends one packet; false if there is none, or if it has to wait. */
  private boolean send() {
    ByteBuffer packet = next();
    if (packet == null) {
      finished();
      return false;
    }
    final int size = packet.remaining();
    try {
      if (!socket.send(packet)) {
        figures.lost++;
        unsent = packet;
        pause(PAUSE);
        return false;
      }
    } catch (IOException e) {
      figures.lost++;
      down(e.getMessage());
      return false;
    }
    unsent = null;
    figures.packets++;
    figures.bytes += size;
    if (current != null && at >= current.series().size()) {
      current = null;
      figures.snapshots++;
      saidDown = false;
    }
    return true;
  }

  private ByteBuffer next() {
    if (unsent != null) {
      return unsent;
    }
    if (!notices.isEmpty()) {
      return notices.poll();
    }
    if (current == null) {
      cursor.keep(most);
      current = cursor.next();
      at = 0;
      if (current == null) {
        return null;
      }
    }
    List<ByteBuffer> made = new ArrayList<>(1);
    at = packets.next(current, at, made);
    return made.get(0);
  }

  private void down(String why) {
    resolving = false;
    figures.failures++;
    if (!saidDown) {
      saidDown = true;
      LOG.atWarn()
          .addKeyValue("destination", name)
          .addKeyValue("why", why)
          .log("reports cannot be sent; tried again until it works");
    }
    unsent = null;
    figures.resent +=
        Math.max(0, cursor.back(current == null ? AGAIN : AGAIN + 1) - (current == null ? 0 : 1));
    current = null;
    if (socket != null) {
      socket.close();
      socket = null; // the name is looked up anew
    }
    if (done != null) {
      over();
    } else {
      pause(wait);
    }
  }

  private void pause(long micros) {
    pausing = true;
    loop.schedule(
        micros,
        () -> {
          pausing = false;
          pump();
        });
  }

  private void finished() {
    if (done != null) {
      over();
    }
  }

  @Override
  public void finish(Runnable then) {
    done = then;
    pump();
  }

  @Override
  public void stop() {
    over();
  }

  private void over() {
    stopped = true;
    if (socket != null) {
      socket.close();
      socket = null;
    }
    Runnable then = done;
    done = null;
    if (then != null) {
      then.run();
    }
  }
}
