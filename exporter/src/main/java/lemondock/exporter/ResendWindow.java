package lemondock.exporter;

import java.util.ArrayDeque;

/**
 * Records when snapshots were sent, to determine how many to send again after a connection broke.
 * Loop thread only.
 */
final class ResendWindow {
  private final long windowMicros;
  private final ArrayDeque<Long> sentTimesMicros = new ArrayDeque<>();

  ResendWindow(long windowMicros) {
    this.windowMicros = windowMicros;
  }

  /** Records that a snapshot was sent completely. */
  void onSent(long nowMicros) {
    sentTimesMicros.add(nowMicros);
    removeBefore(nowMicros - windowMicros);
  }

  /** Clears the window and returns the number of snapshots sent within it. */
  int drainSentCount(long nowMicros) {
    removeBefore(nowMicros - windowMicros);
    int count = sentTimesMicros.size();
    sentTimesMicros.clear();
    return count;
  }

  private void removeBefore(long timeMicros) {
    while (!sentTimesMicros.isEmpty() && sentTimesMicros.peek() < timeMicros) {
      sentTimesMicros.poll();
    }
  }
}
