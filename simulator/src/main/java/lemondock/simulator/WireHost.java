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
  private static final AttemptOutcome[] OUTCOMES = {
    AttemptOutcome.OK,
    AttemptOutcome.ERROR,
    AttemptOutcome.REJECTED,
    AttemptOutcome.TIMEOUT,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.RESET,
    AttemptOutcome.CANCELLED,
    AttemptOutcome.ABANDONED_BEFORE_SEND
  };
  private static final int PROMPT_READ_CODE = 102;
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
  private final Map<Integer, List<ServerEntry>> endpointLists = new HashMap<>();
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
    } catch (MalformedInputException exception) {
      System.err.println("lemondock: " + exception.getMessage());
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
        throw new MalformedInputException(location() + "input ends within the header");
      }
      ByteBuffer headerFields = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
      long length = headerFields.getInt() & 0xffffffffL;
      long count = headerFields.getInt() & 0xffffffffL;
      double clockMillis = headerFields.getDouble();
      if (!Double.isFinite(clockMillis)) {
        throw new MalformedInputException(location() + "the clock is not a number");
      }
      if (count * EVENT_BYTES > length || length > Integer.MAX_VALUE - HEADER_BYTES) {
        throw new MalformedInputException(
            location() + count + " records do not fit into " + length + " bytes");
      }
      byte[] body = in.readNBytes((int) length);
      if (body.length < length) {
        throw new MalformedInputException(
            location() + "input ends after " + body.length + " of " + length + " bytes");
      }
      processBatch(
          ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN), (int) count, micros(clockMillis));
      out.write(reply.frame());
      out.flush();
    }
  }

  private void processBatch(ByteBuffer body, int count, long nowMicros) {
    long instance = -1;
    for (int i = 0; i < count; i++) {
      int offset = i * EVENT_BYTES;
      int code = body.get(offset) & 0xff;
      if (code == TO) {
        instance = unsigned(body, offset + 1);
      } else if (code == DIRECTORY) {
        readEndpointList(body, offset, count * EVENT_BYTES);
      } else if (instance < 0) {
        throw new MalformedInputException(location() + "record " + i + " comes before any 'to'");
      } else if (code == POWER_OFF) {
        instances.remove(instance);
      } else if (code == INIT) {
        startInstance(body, offset, count * EVENT_BYTES, instance, nowMicros);
      } else {
        deliver(body, offset, code, instance, nowMicros);
      }
    }
  }

  private void startInstance(
      ByteBuffer body, int offset, int tailOffset, long instance, long nowMicros) {
    RouterSettings settings = SettingsText.parse(readText(body, offset + 9, tailOffset));
    try {
      Control control = new Control(settings, body.getLong(offset + 1), reply.hostFor(instance));
      instances.put(instance, control);
      control.started(nowMicros);
    } catch (IllegalArgumentException exception) {
      throw new MalformedInputException("settings: " + exception.getMessage());
    } catch (RuntimeException exception) {
      reply.reportFailure(instance, describe(exception));
    }
  }

  private void deliver(ByteBuffer body, int offset, int code, long instance, long nowMicros) {
    Control control = instances.get(instance);
    if (control == null) {
      throw new MalformedInputException(
          location() + "event " + code + " for instance " + instance + ", not started");
    }
    Runnable event = event(control, body, offset, code, nowMicros);
    try {
      event.run();
    } catch (RuntimeException exception) {
      reply.reportFailure(instance, describe(exception));
    }
  }

  private Runnable event(Control control, ByteBuffer body, int offset, int code, long nowMicros) {
    switch (code) {
      case FLEET:
        EndpointListKind kind = listKind(body.get(offset + 1) & 0xff);
        List<ServerEntry> entries =
            kind == EndpointListKind.FAILED ? List.of() : endpointList(body, offset);
        return () -> control.endpointsChanged(nowMicros, kind, entries);
      case ACCEPT:
        RoutingRequest request = readRequest(body, offset);
        return () -> control.requestArrived(nowMicros, request);
      case ACK_FIRST:
        return () ->
            control.firstToken(
                nowMicros,
                body.getLong(offset + 1),
                body.getShort(offset + 9) & 0xffff,
                unsigned(body, offset + 11),
                micros(body.getDouble(offset + 15)));
      case REPLY:
        AttemptResult outcome = readOutcome(body, offset);
        return () -> control.attemptEnded(nowMicros, outcome);
      case TIMED_OUT_CLIENT:
        return () -> control.clientDisconnected(nowMicros, body.getLong(offset + 1));
      case RING:
        return () -> control.timerFired(nowMicros, body.getLong(offset + 1));
      case HELD_NOTE, PING_RESULT, NEIGHBOUR_SAYS:
        return () -> {}; // answers to places, probes and messages: the module asks for none
      default:
        throw new MalformedInputException(location() + "unknown event code " + code);
    }
  }

  private List<ServerEntry> endpointList(ByteBuffer body, int offset) {
    List<ServerEntry> entries = endpointLists.get(body.getInt(offset + 6));
    if (entries == null) {
      throw new MalformedInputException(
          location() + "list " + body.getInt(offset + 6) + " was never given");
    }
    return entries;
  }

  private void readEndpointList(ByteBuffer body, int offset, int tailOffset) {
    long start = tailOffset + unsigned(body, offset + 5);
    long count = unsigned(body, offset + 9);
    if (start + count * ENTRY_BYTES > body.limit()) {
      throw new MalformedInputException(location() + "a list reaches past the end of the frame");
    }
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(readEntry(body, (int) start + i * ENTRY_BYTES));
    }
    endpointLists.put(body.getInt(offset + 1), List.copyOf(entries));
  }

  private ServerEntry readEntry(ByteBuffer body, int offset) {
    int code = body.get(offset + 10) & 0xff;
    ServerLifecycle lifecycle =
        switch (code) {
          case READY -> ServerLifecycle.READY;
          case DRAINING -> ServerLifecycle.DRAINING;
          case GONE -> ServerLifecycle.GONE;
          default ->
              throw new MalformedInputException(location() + "unknown server condition " + code);
        };
    return new ServerEntry(
        unsigned(body, offset),
        body.getShort(offset + 4) & 0xffff,
        body.getShort(offset + 6) & 0xffff,
        body.getShort(offset + 8) & 0xffff,
        lifecycle,
        body.getFloat(offset + 11),
        micros(body.getDouble(offset + 15)));
  }

  private static RoutingRequest readRequest(ByteBuffer body, int offset) {
    int flags = body.get(offset + 59) & 0xff;
    return new RoutingRequest(
        body.getLong(offset + 1),
        body.getShort(offset + 9) & 0xffff,
        body.getInt(offset + 11),
        body.getLong(offset + 15),
        body.getLong(offset + 39),
        Math.round(body.getFloat(offset + 47)),
        Math.round(body.getFloat(offset + 51)),
        Math.round(body.getFloat(offset + 55)),
        micros(body.getDouble(offset + 23)),
        (flags & 1) != 0 ? micros(body.getDouble(offset + 31)) : 0,
        (flags & 2) != 0,
        (flags & 16) != 0);
  }

  private AttemptResult readOutcome(ByteBuffer body, int offset) {
    int code = body.getShort(offset + 10) & 0xffff;
    if (code != PROMPT_READ_CODE && code >= OUTCOMES.length) {
      throw new MalformedInputException(location() + "unknown outcome " + code);
    }
    AttemptOutcome outcome = code == PROMPT_READ_CODE ? AttemptOutcome.PROMPT_READ : OUTCOMES[code];
    boolean counts = outcome == AttemptOutcome.PROMPT_READ || outcome == AttemptOutcome.OK;
    int detail = body.getInt(offset + 26);
    return new AttemptResult(
        body.getLong(offset + 1),
        body.getShort(offset + 20) & 0xffff,
        unsigned(body, offset + 22),
        outcome,
        micros(body.getDouble(offset + 12)),
        body.get(offset + 9) != 0,
        counts ? detail : 0,
        outcome == AttemptOutcome.REJECTED && detail == 1);
  }

  private EndpointListKind listKind(int code) {
    if (code >= LIST_KINDS.length) {
      throw new MalformedInputException(location() + "unknown kind of list " + code);
    }
    return LIST_KINDS[code];
  }

  private String readText(ByteBuffer body, int offset, int tailOffset) {
    long start = tailOffset + unsigned(body, offset);
    long length = unsigned(body, offset + 4);
    if (start + length > body.limit()) {
      throw new MalformedInputException(location() + "a text reaches past the end of the frame");
    }
    return new String(body.array(), (int) start, (int) length, StandardCharsets.UTF_8);
  }

  private String location() {
    return "frame " + frames + ": ";
  }

  private static String describe(RuntimeException exception) {
    StackTraceElement[] trace = exception.getStackTrace();
    return exception + (trace.length > 0 ? " at " + trace[0] : "");
  }

  private static long unsigned(ByteBuffer body, int offset) {
    return body.getInt(offset) & 0xffffffffL;
  }

  private static long micros(double millis) {
    return Math.round(millis * MICROS_PER_MILLI);
  }
}
