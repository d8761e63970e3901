package lemondock.simulator;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import lemondock.policy.AttemptResult;
import lemondock.policy.Control;
import lemondock.policy.EndpointListKind;
import lemondock.policy.RouterSettings;
import lemondock.policy.RoutingRequest;
import lemondock.policy.ServerEntry;

/**
 * Runs the routing decisions of many gateways under the wire protocol of a simulator: reads batches
 * of events, passes each event to the {@link Control} of its instance, and writes the actions back.
 * Single-threaded.
 */
public final class SimulatorAdapter {
  private static final String COMMAND = "simulator-adapter";
  private static final String LEGACY_COMMAND = "wirehost";
  private static final int INPUT_BUFFER_BYTES = 1 << 16;
  private static final long NO_INSTANCE = -1;

  private final Map<Long, Control> instances = new HashMap<>();
  private final Map<Integer, List<ServerEntry>> endpointLists = new HashMap<>();
  private final ReplyFrame reply = new ReplyFrame();

  /** Runs the adapter on standard input and output; exits with 2 on malformed input. */
  public static void main(String[] args) throws IOException {
    if (args.length != 1 || !(args[0].equals(COMMAND) || args[0].equals(LEGACY_COMMAND))) {
      System.err.println("usage: java -jar lemondock.jar " + COMMAND);
      System.exit(2);
    }
    try {
      new SimulatorAdapter()
          .run(new BufferedInputStream(System.in, INPUT_BUFFER_BYTES), System.out);
    } catch (MalformedInputException exception) {
      System.err.println("lemondock: " + exception.getMessage());
      System.exit(2);
    }
  }

  /** Replies to every frame until the end of the input. */
  void run(InputStream in, OutputStream out) throws IOException {
    long frameNumber = 1;
    Optional<EventFrame> frame = EventFrame.read(in, frameNumber);
    while (frame.isPresent()) {
      process(frame.get());
      out.write(reply.takeBytes());
      out.flush();
      frameNumber++;
      frame = EventFrame.read(in, frameNumber);
    }
  }

  private void process(EventFrame frame) {
    long instance = NO_INSTANCE;
    for (int i = 0; i < frame.recordCount(); i++) {
      EventRecord record = frame.record(i);
      EventCode code = record.code().orElse(null);
      if (code == EventCode.SELECT_INSTANCE) {
        instance = record.instance();
      } else if (code == EventCode.ENDPOINT_LIST) {
        endpointLists.put(record.listContentNumber(), record.listContent());
      } else if (instance == NO_INSTANCE) {
        throw frame.malformed("record " + i + " comes before any 'to' record");
      } else if (code == EventCode.INSTANCE_STOPPED) {
        instances.remove(instance);
      } else if (code == EventCode.INSTANCE_STARTED) {
        startInstance(record, instance, frame.nowMicros());
      } else {
        deliver(frame, record, instance);
      }
    }
  }

  private void startInstance(EventRecord record, long instance, long nowMicros) {
    RouterSettings settings = SettingsText.parse(record.settings());
    try {
      Control control = new Control(settings, record.seed(), reply.hostFor(instance));
      instances.put(instance, control);
      control.started(nowMicros);
    } catch (IllegalArgumentException exception) {
      throw new MalformedInputException("settings: " + exception.getMessage());
    } catch (RuntimeException exception) {
      reply.reportFailure(instance, describe(exception));
    }
  }

  private void deliver(EventFrame frame, EventRecord record, long instance) {
    Control control = instances.get(instance);
    if (control == null) {
      throw frame.malformed(
          "event code "
              + record.wireCode()
              + " is for instance "
              + instance
              + ", which is not started");
    }
    Runnable event = decode(control, frame, record);
    try {
      event.run();
    } catch (RuntimeException exception) {
      reply.reportFailure(instance, describe(exception));
    }
  }

  /**
   * Decodes an event and returns the call of the router for it. Exceptions of the call are reported
   * to the simulator; those of decoding end the program.
   */
  private Runnable decode(Control control, EventFrame frame, EventRecord record) {
    final long nowMicros = frame.nowMicros();
    EventCode code =
        record.code().orElseThrow(() -> frame.malformed("unknown event code " + record.wireCode()));
    switch (code) {
      case ENDPOINTS_CHANGED:
        EndpointListKind kind = record.listKind();
        List<ServerEntry> entries =
            kind == EndpointListKind.FAILED ? List.of() : endpointList(frame, record.listNumber());
        return () -> control.endpointsChanged(nowMicros, kind, entries);
      case REQUEST_ARRIVED:
        RoutingRequest request = record.request();
        return () -> control.requestArrived(nowMicros, request);
      case FIRST_TOKEN:
        return () ->
            control.firstToken(
                nowMicros,
                record.id(),
                record.firstTokenAttempt(),
                record.firstTokenServer(),
                record.timeToFirstTokenMicros());
      case ATTEMPT_ENDED:
        AttemptResult result = record.attemptResult();
        return () -> control.attemptEnded(nowMicros, result);
      case CLIENT_DISCONNECTED:
        return () -> control.clientDisconnected(nowMicros, record.id());
      case TIMER_FIRED:
        return () -> control.timerFired(nowMicros, record.id());
      default:
        // replies about held places, health checks and gossip, which the router never requests
        return () -> {};
    }
  }

  private List<ServerEntry> endpointList(EventFrame frame, int number) {
    List<ServerEntry> entries = endpointLists.get(number);
    if (entries == null) {
      throw frame.malformed("endpoint list " + number + " was never defined");
    }
    return entries;
  }

  private static String describe(RuntimeException exception) {
    StackTraceElement[] trace = exception.getStackTrace();
    return exception + (trace.length > 0 ? " at " + trace[0] : "");
  }
}
