package lemondock.faultinjection;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import lemondock.faultinjection.RunRecord.ClientCall;
import lemondock.faultinjection.RunRecord.Effect;
import lemondock.faultinjection.RunRecord.Outcome;

/**
 * One client of a gateway: asks one thing at a time on a connection that it keeps, until told to
 * stop; some calls it leaves early. It goes on using an open connection whatever the gateway's
 * state.
 */
final class LoadClient implements Runnable {
  private static final long ANSWER_SLACK = 500 * MonotonicClock.MILLI;
  private static final int STREAM_SILENCE_MILLIS = 7_000;
  private static final int CONNECT_MILLIS = 1_000;

  /** Clients do not begin all at once. */
  private static final long LONGEST_DELAY = 800 * MonotonicClock.MILLI;

  private static final long AWAY = 50 * MonotonicClock.MILLI;
  private static final double ONCE_SHARE = 0.3;
  private static final double LEAVING_SHARE = 0.06;
  private static final double FRESH_SHARE = 0.05;

  /** A resting connection's close crosses a request only if it is heard of so soon. */
  static final long CROSSING = 100 * MonotonicClock.MILLI;

  private final String name;
  private final GatewayProcess gateway;
  private final RunRecord truth;
  private final FleetShape shape;
  private final SplittableRandom random;
  private final long thinkMicros;
  private volatile boolean stopped;
  private Socket socket;
  private InputStream in;
  private long restingSince;
  private int calls;

  LoadClient(
      String name,
      GatewayProcess gateway,
      RunRecord truth,
      FleetShape shape,
      long thinkMicros,
      long seed) {
    this.name = name;
    this.gateway = gateway;
    this.truth = truth;
    this.shape = shape;
    this.thinkMicros = thinkMicros;
    this.random = new SplittableRandom(seed);
  }

  /** Ends it after its present call. */
  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    MonotonicClock.sleep(random.nextLong(LONGEST_DELAY));
    while (!stopped) {
      call();
      MonotonicClock.sleep(thinkMicros / 2 + random.nextLong(thinkMicros));
    }
    drop(false);
  }

  private void call() {
    Effect effect = random.nextDouble() < ONCE_SHARE ? Effect.ONCE : Effect.SAFE;
    long deadline = shape.deadlineMs() * MonotonicClock.MILLI * (60 + random.nextInt(41)) / 100;
    ClientCall call =
        new ClientCall(
            name + "-" + ++calls + "-" + Long.toHexString(random.nextLong() >>> 32),
            gateway.name,
            effect,
            deadline);
    if (random.nextDouble() < FRESH_SHARE) {
      drop(false);
    }
    call.fresh = socket == null;
    call.restedMicros = call.fresh ? 0 : MonotonicClock.now() - restingSince;
    try {
      if (socket == null) {
        if (!gateway.admitted()) {
          throw new IOException("the front does not send clients there");
        }
        connect();
      }
    } catch (IOException e) {
      MonotonicClock.sleep(AWAY); // nothing was taken: the gateway is down or starts
      return;
    }
    byte[] request = request(call);
    truth.calls.put(call.id, call);
    boolean leaves = random.nextDouble() < LEAVING_SHARE;
    long leaveAt = MonotonicClock.now() + random.nextLong(deadline / 3);
    try {
      call.sentAt = MonotonicClock.now();
      socket.getOutputStream().write(request);
    } catch (IOException e) {
      end(call, Outcome.NOT_TAKEN);
      drop(false);
      return;
    }
    await(call, leaves ? leaveAt : Long.MAX_VALUE);
  }

  private void connect() throws IOException {
    Socket made = new Socket();
    made.setTcpNoDelay(true);
    made.connect(new InetSocketAddress("127.0.0.1", gateway.port()), CONNECT_MILLIS);
    socket = made;
    in = new BufferedInputStream(made.getInputStream());
  }

  private byte[] request(ClientCall call) {
    String body =
        "{\"model\":\"chat\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\""
            + "x".repeat(200 + random.nextInt(3_000))
            + "\"}]}";
    String head =
        "POST /v1/chat/completions HTTP/1.1\r\nhost: origin.svc\r\nx-request-id: "
            + call.id
            + "\r\nx-class: "
            + (call.effect == Effect.ONCE ? "pay" : "chat")
            + "\r\nx-key: k"
            + random.nextInt(40)
            + "\r\nx-deadline-ms: "
            + call.deadlineMicros / MonotonicClock.MILLI
            + "\r\nx-extras: max_out=40\r\ncontent-length: "
            + body.length()
            + "\r\n\r\n";
    return (head + body).getBytes(StandardCharsets.ISO_8859_1);
  }

  private void await(ClientCall call, long leaveAt) {
    long until = Math.min(leaveAt, call.sentAt + call.deadlineMicros + ANSWER_SLACK);
    try {
      socket.setSoTimeout((int) Math.max(1, (until - MonotonicClock.now()) / MonotonicClock.MILLI));
      HttpMessageReader.Message head = HttpMessageReader.read(in);
      if (head == null) {
        unanswered(call);
        return;
      }
      call.status = head.status();
      if (call.status == 200) {
        stream(call);
      } else {
        end(call, call.status == 429 || call.status == 503 ? Outcome.REFUSED : Outcome.FAILED);
      }
      if ("close".equals(head.header("connection"))) {
        drop(false);
      }
      restingSince = MonotonicClock.now();
    } catch (SocketTimeoutException e) {
      if (until == leaveAt) {
        boolean reset = random.nextBoolean();
        drop(reset);
        call.leftAt = MonotonicClock.now();
        end(call, Outcome.LEFT);
      } else {
        end(call, Outcome.OPEN);
        drop(false);
      }
    } catch (IOException | RuntimeException e) {
      unanswered(call);
    }
  }

  /** Reads the stream; a break of the connection ends the call as broken. */
  private void stream(ClientCall call) throws IOException {
    socket.setSoTimeout(STREAM_SILENCE_MILLIS);
    StringBuilder text = new StringBuilder();
    try {
      for (byte[] chunk = HttpMessageReader.chunk(in);
          chunk.length > 0;
          chunk = HttpMessageReader.chunk(in)) {
        text.append(new String(chunk, StandardCharsets.ISO_8859_1));
      }
    } catch (IOException e) {
      end(call, Outcome.BROKEN);
      drop(false);
      return;
    }
    end(call, text.toString().endsWith("data: [DONE]\n\n") ? Outcome.SERVED : Outcome.CUT_SHORT);
  }

  private void unanswered(ClientCall call) {
    boolean crossed = !call.fresh && MonotonicClock.now() - call.sentAt < CROSSING;
    end(call, crossed ? Outcome.NOT_TAKEN : Outcome.UNANSWERED);
    drop(false);
  }

  private static void end(ClientCall call, Outcome outcome) {
    call.endedAt = MonotonicClock.now();
    call.outcome = outcome;
  }

  private void drop(boolean reset) {
    if (socket != null) {
      try {
        if (reset) {
          socket.setSoLinger(true, 0);
        }
        socket.close();
      } catch (IOException e) {
        // closed in any case
      }
      socket = null;
    }
  }
}
