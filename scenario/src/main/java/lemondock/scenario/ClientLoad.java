package lemondock.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpClientOptions;
import lemondock.net.http.HttpLimits;

/**
 * The clients of a scenario. They arrive at random, have conversations with tool calls, retry
 * failed calls and abandon some calls. All state is confined to the clients' loop unless a field
 * says otherwise.
 */
final class ClientLoad {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long RETRY_DELAY_MICROS = 80_000;

  /**
   * Delay of a retry at the same gateway, for example of a non-idempotent call. It is longer than
   * {@link #RETRY_DELAY_MICROS} because the gateway may have to restart first.
   */
  private static final long SAME_GATEWAY_RETRY_DELAY_MICROS = 700_000;

  private static final int CLIENTS_PER_GATEWAY = 8;
  private static final long TOOL_DELAY_MICROS = 20_000;
  private static final int MAX_TOKENS = 200;
  private static final double MAX_PATIENCE_MS = 700;
  private static final int TOOL_CALLING_CLASS = 1;

  /** Includes names with characters that the metrics protocols require to be escaped. */
  private static final List<String> TENANTS =
      List.of("omaruru.tills", "swakop market", "mondesa/traders", "henties");

  private final ScenarioScript script;
  private final SplittableRandom random;
  private final ScenarioFleet fleet;
  private final EmulatedProcess clientProcess;
  private final List<GatewaySettings.ClassSettings> classes = ScenarioSettings.requestClasses();
  private final ConversationSource conversations;
  private final Map<String, List<McpClient>> clientsByGateway = new HashMap<>();

  /** Appended to on the clients' loop, read by the thread that plays the scenario. */
  private final List<CallRecord> callRecords = Collections.synchronizedList(new ArrayList<>());

  private int openCalls;
  private int callsPlanned;

  /** Set by the thread that plays the scenario. */
  private volatile double additionalAbandonShare;

  /** Draws the system prompts; the fleet's gateways must have been started. */
  ClientLoad(
      ScenarioScript script,
      SplittableRandom random,
      ScenarioFleet fleet,
      EmulatedProcess clientProcess) {
    this.script = script;
    this.random = random;
    this.fleet = fleet;
    this.clientProcess = clientProcess;
    this.conversations = new ConversationSource(script.seed(), random);
    createClients();
  }

  private void createClients() {
    HttpClient http =
        new HttpClient(
            clientProcess.loop(),
            clientProcess.network(),
            new HttpClientOptions(HttpLimits.DEFAULT, 1 << 20, 5_000, 500_000, 15_000_000));
    for (String gateway : fleet.gateways()) {
      List<McpClient> clients = new ArrayList<>();
      for (int i = 0; i < CLIENTS_PER_GATEWAY; i++) {
        clients.add(
            new McpClient(clientProcess.loop(), http, fleet.gateway(gateway).address(), gateway));
      }
      clientsByGateway.put(gateway, clients);
    }
  }

  /** Draws the clients' arrival times and adds them to the timetable. */
  void scheduleArrivals(Timetable timetable) {
    double atMs = 0;
    while (atMs < script.seconds() * 1000) {
      atMs += -Math.log(1 - random.nextDouble()) * 1000 / script.rate();
      timetable.add(atMs, () -> clientProcess.loop().execute(this::arrive));
    }
  }

  /** Sets the share of calls that clients abandon in addition to the script's. Any thread. */
  void setAdditionalAbandonShare(double share) {
    additionalAbandonShare = share;
  }

  /** The source of the clients' conversations. */
  ConversationSource conversations() {
    return conversations;
  }

  /** Number of calls that have not ended, including those waiting to be retried. Any thread. */
  int openCalls() {
    return clientProcess.invokeAndWait(() -> openCalls);
  }

  /** The records of all calls so far. Any thread. */
  List<CallRecord> callRecords() {
    return List.copyOf(callRecords);
  }

  private void arrive() {
    List<String> gateways = fleet.gateways();
    final String gateway = gateways.get(random.nextInt(gateways.size()));
    Conversation conversation = conversations.nextTurn(callsPlanned);
    String mark = "c" + script.seed() + "-" + ++callsPlanned;
    String text = "#" + mark + "# " + RandomText.words(mark, 20 + random.nextInt(60));
    List<String> tools = List.of();
    ToolBehaviour toolBehaviour = ToolBehaviour.ANSWER;
    if (conversation.classId() == TOOL_CALLING_CLASS
        && random.nextDouble() < script.toolShare() * 3) {
      tools = List.of("stock", "price");
      text +=
          random.nextInt(3) == 0
              ? " call the tools stock and price together"
              : " call the tool stock and then call the tool price";
      toolBehaviour = drawToolBehaviour();
    }
    text += " answer in " + (8 + random.nextInt(30)) + " words";
    conversation.addUserMessage(text);
    CallAttempt.PlannedCall call =
        new CallAttempt.PlannedCall(conversation, mark, tools, toolBehaviour);
    begin(new CallAttempt(call, gateway, 1));
  }

  private ToolBehaviour drawToolBehaviour() {
    if (random.nextInt(10) < 7) {
      return ToolBehaviour.ANSWER;
    }
    return switch (random.nextInt(4)) {
      case 0 -> ToolBehaviour.ANSWER;
      case 1 -> ToolBehaviour.ERROR;
      case 2 -> ToolBehaviour.SILENT;
      default -> ToolBehaviour.TWICE;
    };
  }

  private void begin(CallAttempt attempt) {
    openCalls++;
    McpClient client =
        clientsByGateway.get(attempt.gateway()).get(random.nextInt(CLIENTS_PER_GATEWAY));
    ToolCallRequest request = request(attempt);
    client.open(
        isOpen -> {
          if (isOpen) {
            call(client, attempt, request);
          } else if (mayHaveRunBefore(attempt)) {
            retryAtSameGateway(attempt);
          } else {
            retryElsewhere(attempt);
          }
        });
  }

  private ToolCallRequest request(CallAttempt attempt) {
    Conversation conversation = attempt.conversation();
    return new ToolCallRequest(
            requestClass(attempt).name(),
            conversation.classId(),
            attempt.messages(),
            conversation.name(),
            attempt.call().tools(),
            attempt.call().toolBehaviour(),
            TOOL_DELAY_MICROS,
            MAX_TOKENS,
            attempt.mark(),
            attempt.isRetry())
        .withTenant(TENANTS.get(conversation.name().hashCode() & 3))
        .withIdempotencyKey(attempt.call().mark());
  }

  private void call(McpClient client, CallAttempt attempt, ToolCallRequest request) {
    boolean[] isOver = {false};
    McpCall call =
        client.call(
            request,
            ended -> {
              isOver[0] = true;
              onEnd(attempt, ended.record());
            });
    callRecords.add(call.record());
    if (random.nextDouble() < script.abandonShare() + additionalAbandonShare) {
      long patienceMicros = (long) (random.nextDouble() * MAX_PATIENCE_MS * MICROS_PER_MILLI);
      clientProcess
          .loop()
          .schedule(
              patienceMicros,
              () -> {
                if (!isOver[0]) {
                  isOver[0] = true;
                  call.cancel();
                  endTurn(attempt);
                }
              });
    }
  }

  private void onEnd(CallAttempt attempt, CallRecord record) {
    boolean canRetryElsewhere = record.notAccepted || record.retryable;
    boolean connectionLost = record.connectionLostAtMicros != 0;
    if (mayHaveRunBefore(attempt) && canRetryElsewhere) {
      retryAtSameGateway(attempt);
    } else if (record.served()) {
      attempt.conversation().addAnswer(record.finalText);
      endTurn(attempt);
    } else if (canRetryElsewhere || isIdempotent(attempt) && connectionLost) {
      retryElsewhere(attempt);
    } else if (connectionLost && !attempt.isLast()) {
      retryAtSameGateway(attempt); // only this gateway knows the outcome
    } else {
      endTurn(attempt);
    }
  }

  /**
   * Whether an earlier attempt at this gateway may have run a call that is not idempotent, and
   * another attempt is allowed.
   */
  private boolean mayHaveRunBefore(CallAttempt attempt) {
    return !isIdempotent(attempt) && attempt.isRetry() && !attempt.isLast();
  }

  private boolean isIdempotent(CallAttempt attempt) {
    return requestClass(attempt).isIdempotent();
  }

  private GatewaySettings.ClassSettings requestClass(CallAttempt attempt) {
    return classes.get(attempt.conversation().classId());
  }

  private void retryAtSameGateway(CallAttempt attempt) {
    beginAfter(SAME_GATEWAY_RETRY_DELAY_MICROS, attempt.retryAt(attempt.gateway()));
  }

  private void retryElsewhere(CallAttempt attempt) {
    if (attempt.isLast()) {
      endTurn(attempt);
      return;
    }
    List<String> gateways = fleet.gateways();
    int offset = 1 + random.nextInt(Math.max(1, gateways.size() - 1));
    int next = (gateways.indexOf(attempt.gateway()) + offset) % gateways.size();
    beginAfter(RETRY_DELAY_MICROS, attempt.retryAt(gateways.get(next)));
  }

  private void beginAfter(long delayMicros, CallAttempt attempt) {
    clientProcess
        .loop()
        .schedule(
            delayMicros,
            () -> {
              openCalls--;
              begin(attempt);
            });
  }

  private void endTurn(CallAttempt attempt) {
    openCalls--;
    attempt.conversation().endTurn();
  }
}
