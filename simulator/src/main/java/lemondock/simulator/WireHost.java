package lemondock.simulator;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemondock.policy.AttemptOutcome;
import lemondock.policy.AttemptResult;
import lemondock.policy.Control;
import lemondock.policy.EndpointListKind;
import lemondock.policy.RouterSettings;
import lemondock.policy.RoutingRequest;
import lemondock.policy.ServerEntry;
import lemondock.policy.ServerLifecycle;

/**
 * The adapter: reads batches of events, hands each to its instance's {@link Control}, writes the
 * actions back.
 */
public final class WireHost {
  static final double MICROS_PER_MILLI = 1000.0;

  private static final int HEADER_BYTES = 16;
  private static final int EVENT_BYTES = 64;
  private static final int ENTRY_BYTES = 23;
  private static final AttemptOutcome[] ENDINGS = {
    AttemptOutcome.OK,
    AttemptOutcome.ERROR,
    AttemptOutcome.REJECTED,
    AttemptOutcome.TIMEOUT,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.RESET,
    AttemptOutcome.CANCELLED,
    AttemptOutcome.ABANDONED_BEFORE_SEND
  };
  private static final int READ_CODE = 102;
  private static final int READY = 2;
  private static final int DRAINING = 0;
  private static final int GONE = 3;
  private static final EndpointListKind[] LIST_KINDS = {
    EndpointListKind.CHANGES,
    EndpointListKind.FULL_LIST,
    EndpointListKind.CACHED,
    EndpointListKind.FAILED
  };

  /** Event codes of the wire. */
  private static final int HELD_NOTE = 10;

  private static final int ACK_FIRST = 20;
  private static final int TO = 30;
  private static final int PING_RESULT = 40;
  private static final int FLEET = 50;
  private static final int TIMED_OUT_CLIENT = 60;
  private static final int POWER_OFF = 70;
  private static final int DIRECTORY = 80;
  private static final int RING = 90;
  private static final int REPLY = 100;
  private static final int NEIGHBOUR_SAYS = 110;
  private static final int INIT = 120;
  private static final int ACCEPT = 130;

  private final Map<Long, Control> instances = new HashMap<>();
  private final Map<Integer, List<ServerEntry>> sheets = new HashMap<>();
  private final Reply reply = new Reply();
  private long frames;

  /** Runs the adapter on standard input and output; exits with 2 on malformed input. */
  public static void main(String[] args) throws IOException {
    if (args.length != 1 || !args[0].equals("wirehost")) {
      System.err.println("usage: java -jar lemondock.jar wirehost");
      System.exit(2);
    }
    try {
      new WireHost().run(new BufferedInputStream(System.in, 1 << 16), System.out);
    } catch (Malformed e) {
      System.err.println("lemondock: " + e.getMessage());
      System.exit(2);
    }
  }

  /** Answers every frame of the input until its end. */
  void run(InputStream in, OutputStream out) throws IOException {
    for (byte[] header = in.readNBytes(HEADER_BYTES);
        header.length > 0;
        header = in.readNBytes(HEADER_BYTES)) {
      frames++;
      if (header.length < HEADER_BYTES) {
        throw new Malformed(where() + "input ends within the header");
      }
      ByteBuffer head = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
      long length = head.getInt() & 0xffffffffL;
      long count = head.getInt() & 0xffffffffL;
      double clock = head.getDouble();
      if (!Double.isFinite(clock)) {
        throw new Malformed(where() + "the clock is not a number");
      }
      if (count * EVENT_BYTES > length || length > Integer.MAX_VALUE - HEADER_BYTES) {
        throw new Malformed(where() + count + " records do not fit into " + length + " bytes");
      }
      byte[] body = in.readNBytes((int) length);
      if (body.length < length) {
        throw new Malformed(
            where() + "input ends after " + body.length + " of " + length + " bytes");
      }
      batch(ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN), (int) count, micros(clock));
      out.write(reply.frame());
      out.flush();
    }
  }

  private void batch(ByteBuffer body, int count, long now) {
    long instance = -1;
    for (int i = 0; i < count; i++) {
      int at = i * EVENT_BYTES;
      int code = body.get(at) & 0xff;
      if (code == TO) {
        instance = unsigned(body, at + 1);
      } else if (code == DIRECTORY) {
        directory(body, at, count * EVENT_BYTES);
      } else if (instance < 0) {
        throw new Malformed(where() + "record " + i + " comes before any 'to'");
      } else if (code == POWER_OFF) {
        instances.remove(instance);
      } else if (code == INIT) {
        start(body, at, count * EVENT_BYTES, instance, now);
      } else {
        deliver(body, at, code, instance, now);
      }
    }
  }

  private void start(ByteBuffer body, int at, int tail, long instance, long now) {
    RouterSettings settings = SettingsText.parse(text(body, at + 9, tail));
    try {
      Control control = new Control(settings, body.getLong(at + 1), reply.hostFor(instance));
      instances.put(instance, control);
      control.started(now);
    } catch (IllegalArgumentException e) {
      throw new Malformed("settings: " + e.getMessage());
    } catch (RuntimeException e) {
      reply.broken(instance, describe(e));
    }
  }

  private void deliver(ByteBuffer body, int at, int code, long instance, long now) {
    Control control = instances.get(instance);
    if (control == null) {
      throw new Malformed(
          where() + "event " + code + " for instance " + instance + ", not started");
    }
    Runnable event = event(control, body, at, code, now);
    try {
      event.run();
    } catch (RuntimeException e) {
      reply.broken(instance, describe(e));
    }
  }

  private Runnable event(Control control, ByteBuffer body, int at, int code, long now) {
    switch (code) {
      case FLEET:
        EndpointListKind kind = listKind(body.get(at + 1) & 0xff);
        List<ServerEntry> entries = kind == EndpointListKind.FAILED ? List.of() : sheet(body, at);
        return () -> control.endpointsChanged(now, kind, entries);
      case ACCEPT:
        RoutingRequest request = request(body, at);
        return () -> control.requestArrived(now, request);
      case ACK_FIRST:
        return () ->
            control.firstToken(
                now,
                body.getLong(at + 1),
                body.getShort(at + 9) & 0xffff,
                unsigned(body, at + 11),
                micros(body.getDouble(at + 15)));
      case REPLY:
        AttemptResult outcome = outcome(body, at);
        return () -> control.attemptEnded(now, outcome);
      case TIMED_OUT_CLIENT:
        return () -> control.clientDisconnected(now, body.getLong(at + 1));
      case RING:
        return () -> control.timerFired(now, body.getLong(at + 1));
      case HELD_NOTE, PING_RESULT, NEIGHBOUR_SAYS:
        return () -> {}; // answers to places, probes and messages: the module asks for none
      default:
        throw new Malformed(where() + "unknown event code " + code);
    }
  }

  private List<ServerEntry> sheet(ByteBuffer body, int at) {
    List<ServerEntry> entries = sheets.get(body.getInt(at + 6));
    if (entries == null) {
      throw new Malformed(where() + "list " + body.getInt(at + 6) + " was never given");
    }
    return entries;
  }

  private void directory(ByteBuffer body, int at, int tail) {
    long start = tail + unsigned(body, at + 5);
    long count = unsigned(body, at + 9);
    if (start + count * ENTRY_BYTES > body.limit()) {
      throw new Malformed(where() + "a list reaches past the end of the frame");
    }
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(entry(body, (int) start + i * ENTRY_BYTES));
    }
    sheets.put(body.getInt(at + 1), List.copyOf(entries));
  }

  private ServerEntry entry(ByteBuffer body, int at) {
    int code = body.get(at + 10) & 0xff;
    ServerLifecycle standing =
        switch (code) {
          case READY -> ServerLifecycle.READY;
          case DRAINING -> ServerLifecycle.DRAINING;
          case GONE -> ServerLifecycle.GONE;
          default -> throw new Malformed(where() + "unknown server condition " + code);
        };
    return new ServerEntry(
        unsigned(body, at),
        body.getShort(at + 4) & 0xffff,
        body.getShort(at + 6) & 0xffff,
        body.getShort(at + 8) & 0xffff,
        standing,
        body.getFloat(at + 11),
        micros(body.getDouble(at + 15)));
  }

  private static RoutingRequest request(ByteBuffer body, int at) {
    int flags = body.get(at + 59) & 0xff;
    return new RoutingRequest(
        body.getLong(at + 1),
        body.getShort(at + 9) & 0xffff,
        body.getInt(at + 11),
        body.getLong(at + 15),
        body.getLong(at + 39),
        Math.round(body.getFloat(at + 47)),
        Math.round(body.getFloat(at + 51)),
        Math.round(body.getFloat(at + 55)),
        micros(body.getDouble(at + 23)),
        (flags & 1) != 0 ? micros(body.getDouble(at + 31)) : 0,
        (flags & 2) != 0,
        (flags & 16) != 0);
  }

  private AttemptResult outcome(ByteBuffer body, int at) {
    int code = body.getShort(at + 10) & 0xffff;
    if (code != READ_CODE && code >= ENDINGS.length) {
      throw new Malformed(where() + "unknown outcome " + code);
    }
    AttemptOutcome ending = code == READ_CODE ? AttemptOutcome.PROMPT_READ : ENDINGS[code];
    boolean counts = ending == AttemptOutcome.PROMPT_READ || ending == AttemptOutcome.OK;
    int detail = body.getInt(at + 26);
    return new AttemptResult(
        body.getLong(at + 1),
        body.getShort(at + 20) & 0xffff,
        unsigned(body, at + 22),
        ending,
        micros(body.getDouble(at + 12)),
        body.get(at + 9) != 0,
        counts ? detail : 0,
        ending == AttemptOutcome.REJECTED && detail == 1);
  }

  private EndpointListKind listKind(int code) {
    if (code >= LIST_KINDS.length) {
      throw new Malformed(where() + "unknown kind of list " + code);
    }
    return LIST_KINDS[code];
  }

  private String text(ByteBuffer body, int at, int tail) {
    long start = tail + unsigned(body, at);
    long length = unsigned(body, at + 4);
    if (start + length > body.limit()) {
      throw new Malformed(where() + "a text reaches past the end of the frame");
    }
    return new String(body.array(), (int) start, (int) length, StandardCharsets.UTF_8);
  }

  private String where() {
    return "frame " + frames + ": ";
  }

  private static String describe(RuntimeException e) {
    StackTraceElement[] trace = e.getStackTrace();
    return e + (trace.length > 0 ? " at " + trace[0] : "");
  }

  private static long unsigned(ByteBuffer body, int at) {
    return body.getInt(at) & 0xffffffffL;
  }

  private static long micros(double millis) {
    return Math.round(millis * MICROS_PER_MILLI);
  }
}
