package lemondock.net.sse;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Incremental decoder of server-sent events from bytes split anywhere; no I/O. Lines may end in CR,
 * LF or CRLF. Not thread-safe.
 */
public final class SseDecoder {
  /** A buffer that grew beyond this size for a line or an event is replaced afterwards. */
  private static final int MAX_RETAINED_BYTES = 4_096;

  private static final int INITIAL_BYTES = 512;
  private static final byte[] DATA_FIELD = {'d', 'a', 't', 'a'};
  private static final byte[] BYTE_ORDER_MARK = {(byte) 0xef, (byte) 0xbb, (byte) 0xbf};

  private final int maxBytes;
  private byte[] line = new byte[INITIAL_BYTES];
  private int lineLength;
  private boolean afterCarriageReturn;
  private boolean firstLine = true;
  private byte[] data = new byte[INITIAL_BYTES];
  private int dataLength;
  private boolean hasData;
  private String type = "";
  private String id;

  /**
   * Creates a decoder.
   *
   * @param maxBytes maximum bytes of a line and of the data of an event
   */
  public SseDecoder(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Consumes all bytes and passes the events that they complete to the sink.
   *
   * @throws EventTooLongException if a line or an event exceeds the limit
   */
  public void decode(ByteBuffer in, SseEventSink sink) {
    while (in.hasRemaining()) {
      int length = lengthUntilLineEnd(in);
      if (length > 0) {
        afterCarriageReturn = false;
        appendToLine(in, length);
      }
      if (in.hasRemaining()) {
        handleLineEnd(in.get(), sink);
      }
    }
  }

  /**
   * Whether a part of an event's data was received whose end is still to come. Comments and other
   * fields do not count: they may come without any event.
   */
  public boolean hasIncompleteData() {
    int compared = Math.min(lineLength, DATA_FIELD.length);
    return hasData || compared > 0 && Arrays.equals(line, 0, compared, DATA_FIELD, 0, compared);
  }

  private static int lengthUntilLineEnd(ByteBuffer in) {
    int index = in.position();
    while (index < in.limit() && in.get(index) != '\n' && in.get(index) != '\r') {
      index++;
    }
    return index - in.position();
  }

  /** Ends the line, except at a line feed after a carriage return, which has already ended it. */
  private void handleLineEnd(byte lineEnd, SseEventSink sink) {
    if (lineEnd == '\n' && afterCarriageReturn) {
      afterCarriageReturn = false;
    } else {
      afterCarriageReturn = lineEnd == '\r';
      processLine(sink);
    }
  }

  private void appendToLine(ByteBuffer in, int count) {
    if (lineLength + count > maxBytes) {
      throw new EventTooLongException("a line of an event stream", maxBytes);
    }
    line = ensureCapacity(line, lineLength + count);
    in.get(line, lineLength, count);
    lineLength += count;
  }

  private byte[] ensureCapacity(byte[] bytes, int minCapacity) {
    return minCapacity <= bytes.length
        ? bytes
        : Arrays.copyOf(
            bytes,
            Math.min(Math.max(maxBytes, minCapacity), Math.max(minCapacity, bytes.length * 2)));
  }

  private void processLine(SseEventSink sink) {
    int from = firstLine && startsWith(0, BYTE_ORDER_MARK) ? BYTE_ORDER_MARK.length : 0;
    int end = lineLength;
    firstLine = false;
    lineLength = 0;
    if (end == from) {
      dispatch(sink);
      return;
    }
    int colon = from;
    while (colon < end && line[colon] != ':') {
      colon++;
    }
    int value = Math.min(end, colon + 1);
    if (value < end && line[value] == ' ') {
      value++;
    }
    if (colon - from == DATA_FIELD.length && startsWith(from, DATA_FIELD)) {
      appendData(value, end);
    } else {
      handleOtherField(
          new String(line, from, colon - from, StandardCharsets.UTF_8),
          new String(line, value, end - value, StandardCharsets.UTF_8));
    }
    line = line.length > MAX_RETAINED_BYTES ? new byte[INITIAL_BYTES] : line;
  }

  /** Appends a part of the line to the data of the event. */
  private void appendData(int from, int end) {
    int added = end - from + (hasData ? 1 : 0);
    if (dataLength + added > maxBytes) {
      throw new EventTooLongException("an event", maxBytes);
    }
    data = ensureCapacity(data, dataLength + added);
    if (hasData) {
      data[dataLength++] = '\n';
    }
    System.arraycopy(line, from, data, dataLength, end - from);
    dataLength += end - from;
    hasData = true;
  }

  private boolean startsWith(int from, byte[] prefix) {
    return Arrays.equals(
        line, from, Math.min(line.length, from + prefix.length), prefix, 0, prefix.length);
  }

  private void handleOtherField(String field, String value) {
    if (field.equals("event")) {
      type = value;
    } else if (field.equals("id") && value.indexOf('\0') < 0) {
      id = value;
    } // comments, the retry field and unknown fields are ignored
  }

  private void dispatch(SseEventSink sink) {
    final int count = dataLength;
    final boolean complete = hasData;
    final String eventType = type.isEmpty() ? "message" : type;
    dataLength = 0;
    hasData = false;
    type = "";
    if (complete) {
      sink.accept(id, eventType, data, count);
    }
    data = data.length > MAX_RETAINED_BYTES ? new byte[INITIAL_BYTES] : data;
  }
}
