package lemondock.net.sse;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads a stream of server-sent events from bytes split anywhere; no I/O. Lines may end in CR, LF
 * or both. For one thread at a time.
 */
public final class SseDecoder {
  /** A buffer that a single large line or event made longer is not kept. */
  private static final int MAX_KEPT_BYTES = 4_096;

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
   * Makes a decoder.
   *
   * @param maxBytes bounds the bytes of a line and of an event's data
   */
  public SseDecoder(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Takes all bytes and hands on the events that they complete.
   *
   * @throws EventTooLongException if a line or an event exceeds the bound
   */
  public void decode(ByteBuffer in, SseEventSink sink) {
    while (in.hasRemaining()) {
      int length = lengthUntilLineEnd(in);
      if (length > 0) {
        afterCarriageReturn = false;
        appendToLine(in, length);
      }
      if (in.hasRemaining()) {
        lineEndRead(in.get(), sink);
      }
    }
  }

  private static int lengthUntilLineEnd(ByteBuffer in) {
    int at = in.position();
    while (at < in.limit() && in.get(at) != '\n' && in.get(at) != '\r') {
      at++;
    }
    return at - in.position();
  }

  /** A line feed behind a carriage return belongs to the line that this one has ended. */
  private void lineEndRead(byte lineEnd, SseEventSink sink) {
    if (lineEnd == '\n' && afterCarriageReturn) {
      afterCarriageReturn = false;
    } else {
      afterCarriageReturn = lineEnd == '\r';
      endLine(sink);
    }
  }

  private void appendToLine(ByteBuffer in, int count) {
    if (lineLength + count > maxBytes) {
      throw new EventTooLongException("a line of an event stream", maxBytes);
    }
    line = grown(line, lineLength + count);
    in.get(line, lineLength, count);
    lineLength += count;
  }

  private byte[] grown(byte[] bytes, int needed) {
    return needed <= bytes.length
        ? bytes
        : Arrays.copyOf(
            bytes, Math.min(Math.max(maxBytes, needed), Math.max(needed, bytes.length * 2)));
  }

  private void endLine(SseEventSink sink) {
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
      otherField(
          new String(line, from, colon - from, StandardCharsets.UTF_8),
          new String(line, value, end - value, StandardCharsets.UTF_8));
    }
    line = line.length > MAX_KEPT_BYTES ? new byte[INITIAL_BYTES] : line;
  }

  /** Adds a part of the line to the event's data. */
  private void appendData(int from, int end) {
    int added = end - from + (hasData ? 1 : 0);
    if (dataLength + added > maxBytes) {
      throw new EventTooLongException("an event", maxBytes);
    }
    data = grown(data, dataLength + added);
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

  private void otherField(String field, String value) {
    if (field.equals("event")) {
      type = value;
    } else if (field.equals("id") && value.indexOf('\0') < 0) {
      id = value;
    } // comments, retry and what is not known
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
    data = data.length > MAX_KEPT_BYTES ? new byte[INITIAL_BYTES] : data;
  }
}
