package lemondock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lemondock.faultinjection.HttpMessageReader.Message;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The audit reports streams that a gateway cuts, and only these. */
class CutStreamAuditTest {
  private static final String CALL_ID = "call";
  private static final long DEADLINE_MICROS = 2_000_000;
  private static final FleetShape SHAPE = new FleetShape(1, 1, 2, 500, 2_500, 1, 15_000, 250);
  private static final LinkHealth HEALTHY = (gateway, server, from, until) -> true;

  private final RunRecord runRecord = new RunRecord();
  private final ClientCall call = new ClientCall(CALL_ID, "n0", CallEffect.SAFE, DEADLINE_MICROS);

  @BeforeEach
  void sendCall() {
    runRecord.addCall(call);
    call.markSent();
  }

  @AfterEach
  void closeRecord() {
    runRecord.close();
  }

  @Test
  void streamThatTheGatewayCutsIsLost() {
    writeOneEventTo("w0").markEndedByGateway();
    call.end(CallOutcome.BROKEN);
    assertEquals(List.of(Rule.LOST), brokenRules(HEALTHY));
  }

  @Test
  void streamThatItsServerFinishesAfterTheCutIsLost() {
    Arrival write = writeOneEventTo("w0");
    call.end(CallOutcome.BROKEN);
    MonotonicClock.sleepMicros(1_000);
    write.markStreamComplete();
    assertEquals(List.of(Rule.LOST), brokenRules(HEALTHY));
  }

  @Test
  void streamThatTheServerEndsIsNotJudged() {
    writeOneEventTo("w0");
    call.end(CallOutcome.BROKEN);
    assertEquals(List.of(), brokenRules(HEALTHY));
  }

  @Test
  void servedStreamIsNotJudged() {
    writeOneEventTo("w0").markStreamComplete();
    call.end(CallOutcome.SERVED);
    assertEquals(List.of(), brokenRules(HEALTHY));
  }

  /** Seed 6605: an earlier write had been given up, and a fault reset the stream of the last. */
  @Test
  void onlyTheLastWriteIsJudged() {
    writeOneEventTo("w0").markEndedByGateway();
    MonotonicClock.sleepMicros(1_000);
    writeOneEventTo("w1");
    call.end(CallOutcome.BROKEN);
    assertEquals(List.of(), brokenRules(HEALTHY));
  }

  @Test
  void streamOnBrokenLinkIsNotJudged() {
    writeOneEventTo("w0").markEndedByGateway();
    call.end(CallOutcome.BROKEN);
    assertEquals(List.of(), brokenRules((gateway, server, from, until) -> false));
  }

  private Arrival writeOneEventTo(String serverId) {
    Map<String, String> headers = Map.of("x-request-id", CALL_ID, "x-deadline-ms", "2000");
    Message request =
        new Message("POST / HTTP/1.1", headers, new byte[0], MonotonicClock.nowMicros());
    Arrival write = new Arrival(serverId, ServerRole.WRITER, request);
    runRecord.addArrival(write);
    write.markEventWritten();
    return write;
  }

  private List<Rule> brokenRules(LinkHealth linkHealth) {
    List<Rule> rules = new ArrayList<>();
    new CutStreamAudit(new RunHistory(runRecord, SHAPE, linkHealth))
        .audit(call, breach -> rules.add(breach.rule()));
    return rules;
  }
}
