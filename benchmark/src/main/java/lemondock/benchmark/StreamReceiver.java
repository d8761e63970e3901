package lemondock.benchmark;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import lemondock.net.Loop;
import lemondock.net.http.HttpEvent;
import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;
import lemondock.net.sse.SseEvent;

/** Counts the words of one stream and records its latencies. Created when its request is sent. */
final class StreamReceiver implements ResponseReceiver {
  private static final String NO_WORD = "";

  private final StreamLoad load;
  private final Loop loop;
  private final StreamRequest request;
  private final CountDownLatch done;
  private final long sentMicros;

  /** Used on the event loop only. */
  private boolean firstWordReceived;

  StreamReceiver(StreamLoad load, Loop loop, StreamRequest request, CountDownLatch done) {
    this.load = load;
    this.loop = loop;
    this.request = request;
    this.done = done;
    this.sentMicros = loop.now();
  }

  @Override
  public void onHead(HttpEvent.ResponseHead head) {
    if (head.status() != 200) {
      load.countFailure();
    }
  }

  @Override
  public Object mapEvent(SseEvent event) {
    Optional<String> word = findWord(event.data());
    if (word.isPresent()) {
      recordWord(word.get());
    } else if (event.data().contains("\"error\"")) {
      load.countFailure();
    }
    return word.orElse(NO_WORD);
  }

  private Optional<String> findWord(String data) {
    String prefix = request.wordPrefix();
    int prefixAt = data.indexOf(prefix);
    if (prefixAt < 0) {
      return Optional.empty();
    }
    int wordAt = prefixAt + prefix.length();
    return Optional.of(data.substring(wordAt, data.indexOf('"', wordAt)));
  }

  private void recordWord(String word) {
    load.countEvent();
    if (request.hasTimestamps()) {
      long delayMicros = loop.now() - Long.parseLong(word);
      load.tokenDelayMicros()
          .recordValue(Math.max(0, Math.min(StreamLoad.MAX_RECORDED_MICROS, delayMicros)));
    }
  }

  @Override
  public void onEvent(Object mapped) {
    if (!firstWordReceived && !mapped.equals(NO_WORD)) {
      firstWordReceived = true;
      load.firstTokenMicros()
          .recordValue(Math.min(StreamLoad.MAX_RECORDED_MICROS, loop.now() - sentMicros));
    }
  }

  @Override
  public void onComplete() {
    done.countDown();
  }

  @Override
  public void onFailure(RequestFailure failure, String reason) {
    load.countFailure();
    done.countDown();
  }
}
