package lemondock.benchmark;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import lemondock.policy.RouterHost;

/** A router host that records where requests are sent and ignores everything else. */
final class RecordingRouterHost implements RouterHost {
  private final Queue<Send> sends = new ArrayDeque<>();

  /** An attempt that the router told the host to send. */
  record Send(long requestId, long serverId) {}

  /** Removes and returns the oldest recorded attempt; empty if there is none. */
  Optional<Send> pollSend() {
    return Optional.ofNullable(sends.poll());
  }

  void clearSends() {
    sends.clear();
  }

  @Override
  public void send(long requestId, long serverId, long timeoutMicros, long latestSendMicros) {
    sends.add(new Send(requestId, serverId));
  }

  @Override
  public void reject(long requestId, long retryAfterMicros) {}

  @Override
  public void fail(long requestId) {}

  @Override
  public void cancel(long requestId, int attempt) {}

  @Override
  public void releaseState(long requestId) {}

  @Override
  public void setTimer(long token, long delayMicros) {}

  @Override
  public void watchEndpoints() {}

  @Override
  public void log(String line) {}
}
