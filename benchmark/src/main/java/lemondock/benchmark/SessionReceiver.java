package lemondock.benchmark;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import lemondock.net.http.HttpEvent;
import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;

/** Records the id of a session that a gateway was asked to open; null if it opened none. */
final class SessionReceiver implements ResponseReceiver {
  /** Guarded by itself. */
  private final List<String> ids;

  private final AtomicLong failures;
  private final CountDownLatch done;

  SessionReceiver(List<String> ids, AtomicLong failures, CountDownLatch done) {
    this.ids = ids;
    this.failures = failures;
    this.done = done;
  }

  @Override
  public void onHead(HttpEvent.ResponseHead head) {
    synchronized (ids) {
      ids.add(head.headers().firstValue("mcp-session-id").orElse(null));
    }
  }

  @Override
  public void onComplete() {
    done.countDown();
  }

  @Override
  public void onFailure(RequestFailure failure, String reason) {
    failures.incrementAndGet();
    done.countDown();
  }
}
