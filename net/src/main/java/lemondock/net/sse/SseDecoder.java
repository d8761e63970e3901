package lemondock.net.sse;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Reads an event stream from bytes split anywhere; no I/O. Lines may end in CR, LF or both. */
public final class SseDecoder {
  private static final int KEPT = 4_096;
  private static final byte[] DATA = {'d', 'a', 't', 'a'};
  private static final byte[] MARK = {(byte) 0xef, (byte) 0xbb, (byte) 0xbf};

  private final int most;
  private byte[] line = new byte[512];
  private int length;
  private boolean afterReturn;
  private boolean first = true;
  private byte[] data = new byte[512];
  private int dataLength;
  private boolean hasData;
  private String type = "";
  private String id;

  /** Makes a decoder; {@code most} bounds the bytes of a line and of an event's data. */
  public SseDecoder(int most) {
    this.most = most;
  }

  /**
   * Takes all bytes and hands on the events that they complete.
   *
   * @throws IllegalArgumentException if a line or an event exceeds the bound
   */
  public void decode(ByteBuffer in, SseEventSink out) {
    while (in.hasRemaining()) {
      int from = in.position();
      int at = from;
      while (at < in.limit() && in.get(at) != '\n' && in.get(at) != '\r') {
        at++;
      }
      if (at > from) {
        afterReturn = false;
        take(in, at - from);
      }
      if (at < in.limit()) {
        byte end = in.get();
        if (end == '\n' && afterReturn) {
          afterReturn = false;
        } else {
          afterReturn = end == '\r';
          line(out);
        }
      }
    }
  }

  private void take(ByteBuffer in, int count) {
    if (length + count > most) {
      throw new IllegalArgumentException("a line of an event stream is over " + most + " bytes");
    }
    line = grown(line, length + count);
    in.get(line, length, count);
    length += count;
  }

  private byte[] grown(byte[] bytes, int needed) {
    return needed <= bytes.length
        ? bytes
        : Arrays.copyOf(
            bytes, Math.min(Math.max(most, needed), Math.max(needed, bytes.length * 2)));
  }

  private void line(SseEventSink out) {
    int from = first && begins(0, MARK) ? MARK.length : 0;
    int end = length;
    first = false;
    length = 0;
    if (end == from) {
      dispatch(out);
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
    if (colon - from == DATA.length && begins(from, DATA)) {
      int more = end - value + (hasData ? 1 : 0);
      if (dataLength + more > most) {
        throw new IllegalArgumentException("an event is over " + most + " bytes");
      }
      data = grown(data, dataLength + more);
      if (hasData) {
        data[dataLength++] = '\n';
      }
      System.arraycopy(line, value, data, dataLength, end - value);
      dataLength += end - value;
      hasData = true;
    } else {
      named(
          new String(line, from, colon - from, StandardCharsets.UTF_8),
          new String(line, value, end - value, StandardCharsets.UTF_8));
    }
    line = line.length > KEPT ? new byte[512] : line;
  }

  private boolean begins(int from, byte[] with) {
    return Arrays.equals(
        line, from, Math.min(line.length, from + with.length), with, 0, with.length);
  }

  private void named(String field, String value) {
    if (field.equals("event")) {
      type = value;
    } else if (field.equals("id") && value.indexOf('\0') < 0) {
      id = value;
    } // comments, retry and what is not known
  }

  private void dispatch(SseEventSink out) {
    final int count = dataLength;
    final boolean whole = hasData;
    final String named = type.isEmpty() ? "message" : type;
    dataLength = 0;
    hasData = false;
    type = "";
    if (whole) {
      out.accept(id, named, data, count);
    }
    data = data.length > KEPT ? new byte[512] : data;
  }
}
